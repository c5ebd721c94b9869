"""Retry budget of the fleet, divided between the nodes."""

from collections import deque
from enum import Enum

from endivebeam_model import ServiceName


class ChainLevel(Enum):
    """Position of a call in a call chain, which determines the cost of a retry.

    ``FIRST``: made by a caller; a retry repeats the whole chain. ``INNER``: made by a
    target, to a target that makes further calls. ``LAST``: to a target that makes no
    calls; a retry costs one call.
    """

    FIRST = "first"
    INNER = "inner"
    LAST = "last"


# Fraction of the retry ratio that each level of a call chain may use. The calls caused
# by a retry count as retries at the services that its target calls, so the fractions
# of all levels of a chain add up there.
LEVEL_FRACTIONS = {ChainLevel.FIRST: 0.1, ChainLevel.INNER: 0.125, ChainLevel.LAST: 0.5}
SLACK_FRACTION = 0.1


class _Window:
    __slots__ = ("calls", "retries")

    def __init__(self) -> None:
        self.calls: deque[float] = deque()
        self.retries: deque[float] = deque()

    def advance(self, oldest: float) -> None:
        for times in (self.calls, self.retries):
            while times and times[0] < oldest:
                times.popleft()


class FleetRetryBudget:
    """Limits the retries to each service in a sliding window.

    A retry is any send after the first one of a request. The fleet may retry
    ``ratio`` of the requests plus ``slack`` in any ``window_s`` seconds. Each of N
    nodes counts its own requests and uses 1/N of the slack, so the fleet stays within
    the bound without coordination. A call does not identify the requests that caused
    it, so each level of a chain uses a fixed fraction of the bound.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack * SLACK_FRACTION
        self._window_s = window_s
        self._windows: dict[ServiceName, _Window] = {}

    def record_call(self, service: ServiceName, now: float) -> None:
        """Count the first send of a request."""
        window = self._window(service, now)
        window.calls.append(now)

    def spend_retry(
        self, service: ServiceName, *, level: ChainLevel, fleet_size: int, now: float
    ) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        window = self._window(service, now)
        fraction = LEVEL_FRACTIONS[level]
        slack = self._slack / max(1, fleet_size)
        allowed = fraction * self._ratio * len(window.calls) + slack
        if len(window.retries) + 1 > allowed:
            return False
        window.retries.append(now)
        return True

    def _window(self, service: ServiceName, now: float) -> _Window:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window()
        window.advance(now - self._window_s)
        return window
