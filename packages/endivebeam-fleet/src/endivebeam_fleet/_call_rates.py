"""Estimation of which calls make a target call other services.

The outgoing calls of a target do not identify the incoming call that caused them.
When calls of several kinds run concurrently, a regression over many short intervals
of the number of outgoing calls on the number of runs of each kind attributes them.
A run makes the same calls however long they take, so that the estimates hold while a
called service is slow.
"""

from collections import defaultdict
from collections.abc import Mapping

from ._tickets import CallKind

# Estimates up to this many outgoing calls of a run count as none.
MIN_CALLS_PER_RUN = 0.1
# The same threshold relative to the largest estimate, whose error spreads to others.
MIN_CALLS_FRACTION = 0.25
# Weight of the earlier intervals in each update, so that estimates follow changes.
FORGETTING_FACTOR = 0.995
# Number of runs below which an estimate stays near zero.
REGULARIZATION_RUNS = 1.0
ITERATIONS = 24


class CallRateEstimator:
    """Estimates the outgoing calls of a run for each kind of call.

    The estimates are a non-negative least squares solution.
    """

    def __init__(self) -> None:
        self._rates: dict[CallKind, float] = {}
        self._calling_kinds: set[CallKind] = set()
        self._run_products: dict[tuple[CallKind, CallKind], float] = defaultdict(float)
        self._call_products: dict[CallKind, float] = defaultdict(float)

    def makes_calls(self, kind: CallKind) -> bool:
        """Return whether calls of a kind cause outgoing calls."""
        return kind in self._calling_kinds

    def rate_of(self, kind: CallKind) -> float:
        """Return the estimated outgoing calls of one run of a kind."""
        return self._rates.get(kind, 0.0)

    def add_interval(self, *, calls: int, runs: Mapping[CallKind, float]) -> None:
        """Update the estimates with one interval.

        ``calls`` is the number of outgoing calls, ``runs`` the number of runs of each
        kind. A run that lasts longer than the interval counts as a part of one.
        """
        for kind in runs:
            self._rates.setdefault(kind, 0.0)
        for kind in self._rates:
            self._call_products[kind] *= FORGETTING_FACTOR
            self._call_products[kind] += calls * runs.get(kind, 0.0)
            for other in self._rates:
                pair = (kind, other)
                self._run_products[pair] *= FORGETTING_FACTOR
                self._run_products[pair] += runs.get(kind, 0.0) * runs.get(other, 0.0)
        if any(self._call_products.values()):
            self._update_rates()

    def _update_rates(self) -> None:
        # Damped simultaneous updates, so that kinds that always run together get
        # equal estimates.
        weight = 1.0 / max(1, len(self._rates))
        for _ in range(ITERATIONS):
            solved = {kind: self._solve(kind) for kind in self._rates}
            for kind, rate in solved.items():
                self._rates[kind] += weight * (rate - self._rates[kind])
        threshold = max(
            MIN_CALLS_PER_RUN, MIN_CALLS_FRACTION * max(self._rates.values())
        )
        self._calling_kinds = {
            kind for kind, rate in self._rates.items() if rate > threshold
        }

    def _solve(self, kind: CallKind) -> float:
        """Return the least squares estimate of a kind, given those of the others."""
        others = sum(
            self._run_products[kind, other] * rate
            for other, rate in self._rates.items()
            if other != kind
        )
        own = self._run_products[kind, kind] + REGULARIZATION_RUNS**2
        return max(0.0, (self._call_products[kind] - others) / own)
