"""Budget of repeated sends, of which every node holds its part."""

from collections import deque
from enum import Enum

from endivebeam_model import ServiceName


class ChainLevel(Enum):
    """Where in a call chain a call stands, as far as its repeat is concerned.

    ``LAST``: its target makes no calls of its own, so a repeat costs one run.
    ``INNER``: made by a target, and its target makes further calls. ``FIRST``:
    made by a caller, so a repeat repeats the whole chain.
    """

    FIRST = "first"
    INNER = "inner"
    LAST = "last"


# Parts of the promised ratio that one level of a call chain uses. The calls that a
# repeated run makes count as repeats at the services below, so the parts of all
# levels of a chain add up there.
LEVEL_FRACTIONS = {ChainLevel.FIRST: 0.1, ChainLevel.INNER: 0.125, ChainLevel.LAST: 0.5}
SLACK_FRACTION = 0.1


class _Window:
    __slots__ = ("calls", "repeats")

    def __init__(self) -> None:
        self.calls: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def advance(self, oldest: float) -> None:
        for times in (self.calls, self.repeats):
            while times and times[0] < oldest:
                times.popleft()


class FleetRetryBudget:
    """Repeats to each service in a sliding window.

    A repeat is any send after the first one of a request. The fleet may repeat
    ``ratio`` of the requests plus ``slack``; each of N nodes uses its own
    requests and 1/N of the slack, so the sum keeps the bound without messages.
    A call carries no word about the requests above it, so each level of a chain
    uses a fixed part of the bound.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack * SLACK_FRACTION
        self._window_s = window_s
        self._windows: dict[ServiceName, _Window] = {}

    def note_call(self, service: ServiceName, now: float) -> None:
        """Count the first send of a request."""
        window = self._window(service, now)
        window.calls.append(now)

    def take(
        self, service: ServiceName, *, level: ChainLevel, fleet_size: int, now: float
    ) -> bool:
        """Count a repeat if the budget allows it; return whether it does."""
        window = self._window(service, now)
        part = LEVEL_FRACTIONS[level]
        slack = self._slack / max(1, fleet_size)
        allowed = part * self._ratio * len(window.calls) + slack
        if len(window.repeats) + 1 > allowed:
            return False
        window.repeats.append(now)
        return True

    def _window(self, service: ServiceName, now: float) -> _Window:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window()
        window.advance(now - self._window_s)
        return window
