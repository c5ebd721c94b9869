"""Which runs at a target lead to calls to other services.

The calls of a target carry no word about the run that makes them. While runs of
several kinds go on side by side, the numbers of calls and the times of the runs in
many short intervals tell which kind makes them.
"""

from collections import defaultdict
from collections.abc import Mapping

from ._tickets import CallKind

# Calls for each second of a run, below which the runs are taken to make none.
MIN_CALLS_PER_S = 0.5
# The same as a part of the largest estimate, whose error the others share.
MIN_CALLS_FRACTION = 0.25
# Part of earlier intervals that is kept, so that changes are learned in time.
MEMORY = 0.995
# Run time, in seconds, without which an estimate stays near zero.
CAUTION_S = 0.5
SWEEPS = 24


class CallRateEstimator:
    """Estimates the calls that a second of a run of each kind leads to.

    The estimates are the least squares solution that is nowhere negative.
    """

    def __init__(self) -> None:
        self._rates: dict[CallKind, float] = {}
        self._products: dict[tuple[CallKind, CallKind], float] = defaultdict(float)
        self._calls: dict[CallKind, float] = defaultdict(float)

    def makes_calls(self, kind: CallKind) -> bool:
        """Return whether runs of a kind lead to calls."""
        largest = max(self._rates.values(), default=0.0)
        least = max(MIN_CALLS_PER_S, MIN_CALLS_FRACTION * largest)
        return self._rates.get(kind, 0.0) > least

    def learn(self, *, calls: int, run_s: Mapping[CallKind, float]) -> None:
        """Take the calls of one interval and the time for which each kind ran."""
        for kind in run_s:
            self._rates.setdefault(kind, 0.0)
        for kind in self._rates:
            self._calls[kind] *= MEMORY
            self._calls[kind] += calls * run_s.get(kind, 0.0)
            for other in self._rates:
                pair = (kind, other)
                self._products[pair] *= MEMORY
                self._products[pair] += run_s.get(kind, 0.0) * run_s.get(other, 0.0)
        # All at once and damped, so that kinds that always run together share alike.
        weight = 1.0 / max(1, len(self._rates))
        for _ in range(SWEEPS):
            solved = {kind: self._solve(kind) for kind in self._rates}
            for kind, rate in solved.items():
                self._rates[kind] += weight * (rate - self._rates[kind])

    def _solve(self, kind: CallKind) -> float:
        """Return the best estimate of one kind, given those of the others."""
        others = sum(
            self._products[kind, other] * rate
            for other, rate in self._rates.items()
            if other != kind
        )
        own = self._products[kind, kind] + CAUTION_S**2
        return max(0.0, (self._calls[kind] - others) / own)
