"""Calls that the local target makes to other services, and the pressure they report."""

import math

from endivebeam_fleet import AdmissionQueue, CallPressure

from ._clock import read_clock
from ._pressure_log import make_pressure_log

# A target is reported as calling other services for this long after its last call.
MAKES_CALLS_WINDOW_S = 30.0


class OwnCalls:
    """Records the local target's own calls and adapts what is admitted to it."""

    def __init__(self, *, queue: AdmissionQueue) -> None:
        self.pressure = CallPressure(now=read_clock())
        self._queue = queue
        self._log_pressure = make_pressure_log(self.pressure)
        self._last_call_at = -math.inf

    def makes_calls(self, now: float) -> bool:
        """Return whether the target calls other services."""
        return now - self._last_call_at < MAKES_CALLS_WINDOW_S

    @property
    def admitted_part(self) -> float:
        """Part of the requests that was admitted for which the target makes calls."""
        return self._queue.mean_admitted_part(self.pressure.calls_per_run)

    def record_call(self) -> None:
        """Record a call that the target makes to another service."""
        self._last_call_at = read_clock()
        self.pressure.record_call()

    def record_reply(self, pressure: float) -> None:
        """Record the pressure that the reply to a call of the target reports."""
        now = read_clock()
        self.pressure.record_reply(pressure, now)
        self.adapt_admission(now)

    def record_call_end(self, *, rejected: bool) -> None:
        """Record the end of a call that the target made.

        ``rejected`` tells that no target had room for it or for the calls it made.
        """
        self.pressure.record_call_end(rejected=rejected, now=read_clock())

    def adapt_admission(self, now: float) -> None:
        """Adapt what is admitted if an interval has ended."""
        if not self.pressure.may_update(now):
            return
        if self.pressure.update(hold_s=self._queue.longest_hold_s, now=now):
            self._log_pressure(now)
