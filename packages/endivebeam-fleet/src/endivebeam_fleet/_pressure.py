"""Pressure of busy services on the calls that lead to them.

A call that is refused deep in a call graph wastes the work of every call above it.
Each target's node therefore tells with every answer how long the call waited there,
and passes on what it hears from the services below. Where a request enters the
graph, the node beside the first target lets fewer requests run while there is
pressure, so that they wait or are refused before they cost anything. Requests that
are shed first feel a light pressure, those that are shed last only a heavy one.
"""

import math
from collections import defaultdict

from ._call_rates import CallRateEstimator
from ._tickets import CallKind

# Parts of its objective that a call waits at a target: below the first there is no
# pressure, from the second on there is all of it.
NO_PRESSURE_WAIT = 0.15
FULL_PRESSURE_WAIT = 0.55
# Least time over which answers are gathered before a limit changes.
INTERVAL_S = 0.25
# Pressure below this lets a limit grow.
CALM = 0.02
GROWTH = 0.1
MIN_LIMIT = 2.0
# Part of a target's slots that a kind of request keeps under any pressure, so that
# none gets nothing at all.
FLOOR_FRACTION = 0.08
# Pressure below this is not felt by requests that are shed last.
TOLERANCE_OF_LAST = 0.5


def compute_pressure(wait_s: float, objective_s: float) -> float:
    """Return the pressure of a wait at a target, from 0 to 1.

    >>> [compute_pressure(wait_s, 1.0) for wait_s in (0.1, 0.35, 1.0)]
    [0.0, 0.5, 1.0]
    """
    if objective_s <= 0:
        return 0.0
    part = wait_s / objective_s
    span = FULL_PRESSURE_WAIT - NO_PRESSURE_WAIT
    return round(min(1.0, max(0.0, (part - NO_PRESSURE_WAIT) / span)), 3)


class _Activity:
    """How many calls of a kind run, over the present interval."""

    __slots__ = ("_at", "_most", "_run_s", "_running")

    def __init__(self) -> None:
        self._running = 0
        self._most = 0
        self._run_s = 0.0
        self._at = 0.0

    def change(self, running: int, now: float) -> None:
        self._run_s += self._running * (now - self._at)
        self._at = now
        self._running = running
        self._most = max(self._most, running)

    def take_run_s(self, now: float) -> float:
        """Return the time for which calls ran, summed over them, and start anew."""
        self.change(self._running, now)
        run_s, self._run_s = self._run_s, 0.0
        return run_s

    def take_most(self) -> int:
        """Return the most that ran at once, and start anew."""
        most, self._most = self._most, self._running
        return most


class CallPressure:
    """What a target's own calls meet below, and how many requests may run for it."""

    def __init__(self, *, now: float) -> None:
        self.pressure = 0.0
        self._floor = MIN_LIMIT
        self._limits: dict[CallKind, float] = {}
        self._callers = CallRateEstimator()
        self._since = now
        self._calls = 0
        self._answers = 0
        self._sum = 0.0
        self._activity: dict[CallKind, _Activity] = defaultdict(_Activity)

    def limit(self, kind: CallKind) -> float:
        """Return how many requests of a kind may run; infinite without pressure."""
        return self._limits.get(kind, math.inf)

    def configure(self, *, slots: int) -> None:
        """Take the target's slots."""
        self._floor = max(MIN_LIMIT, slots * FLOOR_FRACTION)

    def note_call(self) -> None:
        """Count a call that the target makes."""
        self._calls += 1

    def note_answer(self, pressure: float) -> None:
        """Take the pressure that the answer to a call of the target tells."""
        self._answers += 1
        self._sum += pressure

    def note_running(self, kind: CallKind, running: int, now: float) -> None:
        """Note how many calls of a kind run from now on."""
        self._activity[kind].change(running, now)

    def pressure_for_callers(self, kind: CallKind) -> float:
        """Return the pressure that callers of such runs should feel."""
        return self.pressure if self._callers.makes_calls(kind) else 0.0

    def update(self, *, hold_s: float, now: float) -> bool:
        """Adapt the limits at the end of an interval; return whether one ended.

        ``hold_s`` is how long a request runs. A change of a limit is felt below only
        after that time, so that an earlier change would come too soon.
        """
        if now - self._since < max(INTERVAL_S, hold_s):
            return False
        run_s = {kind: a.take_run_s(now) for kind, a in self._activity.items()}
        self._callers.learn(calls=self._calls, run_s=run_s)
        self.pressure = self._sum / self._answers if self._answers else 0.0
        for kind, activity in self._activity.items():
            if not kind.internal:
                self._adapt(kind, activity.take_most())
        self._since = now
        self._calls = self._answers = 0
        self._sum = 0.0
        return True

    def _adapt(self, kind: CallKind, most: int) -> None:
        limit = self._limits.get(kind, math.inf)
        felt = self._feel(kind)
        if felt > CALM:
            start = min(limit, float(most))
            self._limits[kind] = max(self._floor, start * (1.0 - felt / 2))
        elif most < limit / 2:
            # A limit that is far from reached holds nothing back.
            self._limits.pop(kind, None)
        elif math.isfinite(limit):
            self._limits[kind] = limit + max(1.0, limit * GROWTH)

    def _feel(self, kind: CallKind) -> float:
        if not self._callers.makes_calls(kind):
            return 0.0
        tolerance = TOLERANCE_OF_LAST * (1.0 - kind.shed_order)
        return max(0.0, self.pressure - tolerance) / (1.0 - tolerance)
