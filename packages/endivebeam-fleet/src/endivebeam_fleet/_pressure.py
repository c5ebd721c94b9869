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
from collections.abc import Mapping

from ._waiting import Kind

# Parts of its objective that a call waits at a target: below the first there is no
# pressure, from the second on there is all of it.
NO_PRESSURE_WAIT = 0.05
FULL_PRESSURE_WAIT = 0.35
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
# Nested calls for each run, below which the runs are taken to make none.
MIN_CALLS_PER_RUN = 0.2
LEARNING_RATE = 0.2


def rate_wait(wait_s: float, objective_s: float) -> float:
    """Return the pressure of a wait at a target, from 0 to 1.

    >>> rate_wait(0.0, 1.0), rate_wait(0.2, 1.0), rate_wait(1.0, 1.0)
    (0.0, 0.5, 1.0)
    """
    if objective_s <= 0:
        return 0.0
    part = wait_s / objective_s
    span = FULL_PRESSURE_WAIT - NO_PRESSURE_WAIT
    return round(min(1.0, max(0.0, (part - NO_PRESSURE_WAIT) / span)), 3)


class CallsPerRun:
    """Estimates how many calls a run of each kind leads to.

    A target's calls carry no word about the run that makes them, so the numbers are
    learned from the totals of each interval.
    """

    def __init__(self) -> None:
        self._estimates: dict[Kind, float] = defaultdict(float)

    def makes_calls(self, kind: Kind) -> bool:
        """Return whether runs of a kind lead to calls."""
        return self._estimates.get(kind, 0.0) > MIN_CALLS_PER_RUN

    def learn(self, *, calls: int, runs: Mapping[Kind, int]) -> None:
        """Take the calls and the ended runs of one interval."""
        size = sum(count**2 for count in runs.values())
        if not size:
            return
        expected = sum(self._estimates[k] * count for k, count in runs.items())
        step = LEARNING_RATE * (calls - expected) / size
        for kind, count in runs.items():
            self._estimates[kind] = max(0.0, self._estimates[kind] + step * count)


class CallPressure:
    """What a target's own calls meet below, and how many requests may run for it."""

    def __init__(self, *, now: float) -> None:
        self.pressure = 0.0
        self._floor = MIN_LIMIT
        self._limits: dict[Kind, float] = {}
        self._calls_per_run = CallsPerRun()
        self._since = now
        self._calls = 0
        self._answers = 0
        self._sum = 0.0
        self._runs: dict[Kind, int] = defaultdict(int)
        self._most_running: dict[Kind, int] = defaultdict(int)

    def limit(self, kind: Kind) -> float:
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

    def note_start(self, kind: Kind, running: int) -> None:
        """Note how many requests of a kind run, after one more has started."""
        self._most_running[kind] = max(self._most_running[kind], running)

    def note_end(self, kind: Kind) -> None:
        """Count a run that ended."""
        self._runs[kind] += 1

    def passes_on(self, kind: Kind) -> float:
        """Return the pressure that callers of such runs should feel."""
        return self.pressure if self._calls_per_run.makes_calls(kind) else 0.0

    def update(self, *, hold_s: float, now: float) -> bool:
        """Adapt the limits at the end of an interval; return whether one ended.

        ``hold_s`` is how long a request runs. A change of a limit is felt below only
        after that time, so that an earlier change would come too soon.
        """
        if now - self._since < max(INTERVAL_S, hold_s):
            return False
        self._calls_per_run.learn(calls=self._calls, runs=self._runs)
        self.pressure = self._sum / self._answers if self._answers else 0.0
        for kind in list(self._most_running):
            if not kind.internal:
                self._adapt(kind)
        self._since = now
        self._calls = self._answers = 0
        self._sum = 0.0
        self._runs.clear()
        self._most_running.clear()
        return True

    def _adapt(self, kind: Kind) -> None:
        most = self._most_running[kind]
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

    def _feel(self, kind: Kind) -> float:
        if not self._calls_per_run.makes_calls(kind):
            return 0.0
        tolerance = TOLERANCE_OF_LAST * (1.0 - kind.shed_order)
        return max(0.0, self.pressure - tolerance) / (1.0 - tolerance)
