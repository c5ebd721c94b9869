"""Backpressure from busy services along the call graph.

A call that is rejected deep in a call graph wastes the work of every call above it.
Each target's node therefore reports with every response how long the call waited
there, and forwards the pressure of the services that its target calls. Where a
request enters the graph, the node beside the first target reduces the number of
running requests under pressure, so that requests wait or are rejected before any
work is done for them. Requests that are shed first are limited under light pressure
already, those that are shed last only under heavy pressure.
"""

import math
from collections import defaultdict

from ._call_rates import CallRateEstimator
from ._tickets import CallKind

# Waits at a target as fractions of the call's objective: pressure rises from 0 at the
# first to 1 at the second.
NO_PRESSURE_WAIT = 0.15
FULL_PRESSURE_WAIT = 0.55
# Minimum time over which responses are collected before a limit changes.
INTERVAL_S = 0.25
# Up to this pressure a limit may grow.
LOW_PRESSURE = 0.02
GROWTH_FRACTION = 0.1
MIN_LIMIT = 2.0
# Fraction of a target's slots that each kind of request keeps under any pressure, so
# that no kind is starved.
MIN_LIMIT_FRACTION = 0.08
# Pressure up to this does not limit the requests that are shed last.
LAST_SHED_TOLERANCE = 0.5


def compute_pressure(wait_s: float, objective_s: float) -> float:
    """Return the pressure from 0 to 1 for a wait at a target.

    >>> [compute_pressure(wait_s, 1.0) for wait_s in (0.1, 0.35, 1.0)]
    [0.0, 0.5, 1.0]
    """
    if objective_s <= 0:
        return 0.0
    fraction = wait_s / objective_s
    if fraction <= NO_PRESSURE_WAIT:
        return 0.0
    span = FULL_PRESSURE_WAIT - NO_PRESSURE_WAIT
    return round(min(1.0, (fraction - NO_PRESSURE_WAIT) / span), 3)


class _RunStats:
    """Running time and peak concurrency of a kind in the current interval."""

    __slots__ = ("_peak", "_run_s", "_running", "_updated_at")

    def __init__(self) -> None:
        self._running = 0
        self._peak = 0
        self._run_s = 0.0
        self._updated_at = 0.0

    def set_running(self, running: int, now: float) -> None:
        self._run_s += self._running * (now - self._updated_at)
        self._updated_at = now
        self._running = running
        self._peak = max(self._peak, running)

    def collect_run_s(self, now: float) -> float:
        """Return the total running time of the calls in seconds and reset it."""
        self.set_running(self._running, now)
        run_s, self._run_s = self._run_s, 0.0
        return run_s

    def collect_peak(self) -> int:
        """Return the peak number of running calls and reset it."""
        peak, self._peak = self._peak, self._running
        return peak


class CallPressure:
    """Pressure reported to a target's own calls, and the request limits it causes."""

    def __init__(self, *, now: float) -> None:
        self.pressure = 0.0
        self._min_limit = MIN_LIMIT
        self._limits: dict[CallKind, float] = {}
        self._estimator = CallRateEstimator()
        self._interval_started_at = now
        self._calls = 0
        self._responses = 0
        self._pressure_sum = 0.0
        self._run_stats: dict[CallKind, _RunStats] = defaultdict(_RunStats)

    def limit(self, kind: CallKind) -> float:
        """Return how many requests of a kind may run; infinite without a limit."""
        return self._limits.get(kind, math.inf)

    def configure(self, *, slots: int) -> None:
        """Set the number of the target's slots."""
        self._min_limit = max(MIN_LIMIT, slots * MIN_LIMIT_FRACTION)

    def record_call(self) -> None:
        """Count a call made by the target."""
        self._calls += 1

    def record_reply(self, pressure: float) -> None:
        """Record the pressure reported with the response to a call of the target."""
        self._responses += 1
        self._pressure_sum += pressure

    def record_running(self, kind: CallKind, running: int, now: float) -> None:
        """Record the number of running calls of a kind after a change."""
        self._run_stats[kind].set_running(running, now)

    def pressure_for_callers(self, kind: CallKind) -> float:
        """Return the pressure to report to the callers of a kind of call."""
        return self.pressure if self._estimator.makes_calls(kind) else 0.0

    def may_update(self, now: float) -> bool:
        """Return whether an interval may have ended, before its length is computed."""
        return now - self._interval_started_at >= INTERVAL_S

    def update(self, *, hold_s: float, now: float) -> bool:
        """Adapt the limits at the end of an interval; return whether one ended.

        ``hold_s`` is the hold time of a request in seconds. An interval is at least
        as long, because a change of a limit takes that time to affect the called
        services.
        """
        if now - self._interval_started_at < max(INTERVAL_S, hold_s):
            return False
        run_s = {
            kind: stats.collect_run_s(now) for kind, stats in self._run_stats.items()
        }
        self._estimator.add_interval(calls=self._calls, run_s=run_s)
        self.pressure = self._pressure_sum / self._responses if self._responses else 0.0
        for kind, stats in self._run_stats.items():
            if not kind.internal:
                self._adapt(kind, stats.collect_peak())
        self._interval_started_at = now
        self._calls = self._responses = 0
        self._pressure_sum = 0.0
        return True

    def _adapt(self, kind: CallKind, peak: int) -> None:
        limit = self._limits.get(kind, math.inf)
        excess = self._excess_pressure(kind)
        if excess > LOW_PRESSURE:
            base = min(limit, float(peak))
            self._limits[kind] = max(self._min_limit, base * (1.0 - excess / 2))
        elif peak < limit / 2:
            # A limit that is far from reached has no effect.
            self._limits.pop(kind, None)
        elif math.isfinite(limit):
            self._limits[kind] = limit + max(1.0, limit * GROWTH_FRACTION)

    def _excess_pressure(self, kind: CallKind) -> float:
        if not self._estimator.makes_calls(kind):
            return 0.0
        tolerance = LAST_SHED_TOLERANCE * (1.0 - kind.shed_order)
        return max(0.0, self.pressure - tolerance) / (1.0 - tolerance)
