"""Backpressure from busy services along the call graph.

A call that is rejected deep in a call graph wastes the work of every call above it.
Each target's node therefore reports with every response how long a call would wait
there now, and forwards the pressure of the services that its target calls. Where a
request enters the graph, the node beside the first target admits only a part of the
requests under pressure, before any work is done for them. Requests that are shed first
are limited under light pressure already, those that are shed last only under heavy
pressure.

The limit is a part of the arriving requests, not a number of running ones: the calls of
one request may need far more of a deep service than of the first one, and in a large
fleet each target runs less than one request of a kind at a time.
"""

import math
from collections import defaultdict
from typing import NamedTuple

from ._call_rates import CallRateEstimator
from ._run_results import RunResults
from ._tickets import CallKind

# Pressure that counts for a call that was rejected or wasted.
FULL_PRESSURE = 1.0
# Expected waits at a target as fractions of the call's objective: pressure rises from 0
# at the first to 1 at the second.
NO_PRESSURE_WAIT = 0.08
FULL_PRESSURE_WAIT = 0.55
# Minimum time between two changes of the admitted parts.
INTERVAL_S = 0.25
# Time over which the pressures of replies are averaged, and the limits of the weight
# of one: where few replies arrive, more time is averaged.
SMOOTHING_S = 0.15
MIN_WEIGHT = 0.01
MAX_WEIGHT = 0.2
# Factor by which pressure falls in an interval without replies.
NO_REPLY_FACTOR = 0.5
# Pressure up to this is tolerated: by the requests that are shed first, and by those
# that are shed last.
FIRST_SHED_TOLERANCE = 0.05
LAST_SHED_TOLERANCE = 0.8
# Part of the runs of a kind that may be wasted before fewer of its requests are
# admitted, however urgent they are.
WASTED_TOLERANCE = 0.1
# Weight of one call in the part of the target's calls that are rejected, and factor by
# which that part falls in an interval without calls.
REJECTED_WEIGHT = 0.05
NO_CALL_FACTOR = 0.5
# Factor by which full pressure reduces the admitted part in one interval.
FULL_PRESSURE_FACTOR = 0.35
# Pressure below this fraction of that of the interval before is falling.
FALLING_FRACTION = 0.9
# The admitted part grows by these fractions in one interval; more carefully above this
# fraction of the part at which pressure began last.
FAST_GROWTH = 0.2
CAREFUL_GROWTH = 0.05
NEAR_CEILING = 0.85
# Intervals without pressure after which the careful growth has doubled.
CALM_INTERVALS = 4.0
# Each kind of request keeps this part under any pressure, so that none is starved; if
# its requests fail anyway, enough of them to notice when they don't.
MIN_ADMITTED = 0.1
MIN_PROBED = 0.02


def compute_pressure(wait_s: float, objective_s: float) -> float:
    """Return the pressure from 0 to 1 for an expected wait at a target.

    >>> [compute_pressure(wait_s, 1.0) for wait_s in (0.08, 0.315, 1.0)]
    [0.0, 0.5, 1.0]
    """
    if objective_s <= 0:
        return 0.0
    fraction = wait_s / objective_s
    if fraction <= NO_PRESSURE_WAIT:
        return 0.0
    span = FULL_PRESSURE_WAIT - NO_PRESSURE_WAIT
    return round(min(1.0, (fraction - NO_PRESSURE_WAIT) / span), 3)


class _RunCounts:
    """Runs of a kind that started and that ended in the current interval."""

    __slots__ = ("ended", "running", "started")

    def __init__(self) -> None:
        self.running = 0
        self.started = 0
        self.ended = 0

    def set_running(self, running: int) -> None:
        change = running - self.running
        self.running = running
        if change > 0:
            self.started += change
        else:
            self.ended -= change

    def collect(self) -> float:
        """Return the number of runs and reset it; a part of one counts half."""
        runs = (self.started + self.ended) / 2
        self.started = self.ended = 0
        return runs


class _Admission:
    """Admitted part of the requests of a kind, and the credit towards the next one.

    ``ceiling`` is the part that was admitted when pressure began last.
    """

    __slots__ = ("_calm_intervals", "_excess", "ceiling", "credit", "part")

    def __init__(self) -> None:
        self.part = 1.0
        self.ceiling = 1.0
        self.credit = 0.0
        self._excess = 0.0
        self._calm_intervals = 0

    def adapt(self, excess: float, *, wasted_part: float) -> None:
        """Adapt the admitted part to the pressure above the tolerated one.

        The least part is smaller where most of what is admitted is wasted.
        """
        before, self._excess = self._excess, excess
        if not excess:
            self._grow()
            return
        self._calm_intervals = 0
        if not before:
            self.ceiling = self.part
        if excess >= FALLING_FRACTION * before:
            # Falling pressure shows that the part is low enough already.
            factor = 1.0 - excess * (1.0 - FULL_PRESSURE_FACTOR)
            least = max(MIN_PROBED, MIN_ADMITTED * (1.0 - wasted_part))
            self.part = max(least, self.part * factor)

    def _grow(self) -> None:
        self._calm_intervals += 1
        growth = FAST_GROWTH
        if self.part > NEAR_CEILING * self.ceiling:
            careful = CAREFUL_GROWTH * (1.0 + self._calm_intervals / CALM_INTERVALS)
            growth = min(growth, careful)
        self.part = min(1.0, self.part * (1.0 + growth))


class KindAdmission(NamedTuple):
    """What is admitted of a kind of call, and the outgoing calls of one run of it."""

    kind: CallKind
    part: float
    calls_per_run: float


class CallPressure:
    """Pressure reported to a target's own calls, and what it admits under pressure."""

    def __init__(self, *, now: float) -> None:
        self.pressure = 0.0
        self._admissions: dict[CallKind, _Admission] = defaultdict(_Admission)
        self._estimator = CallRateEstimator()
        self._interval_started_at = now
        self._calls = 0
        self._replied_at = now
        self._runs: dict[CallKind, _RunCounts] = defaultdict(_RunCounts)
        self._results: dict[CallKind, RunResults] = defaultdict(RunResults)
        self._rejected_part = 0.0
        self._rejected_at = -math.inf

    def admitted_part(self, kind: CallKind) -> float:
        """Return which part of the requests of a kind is admitted, from 0 to 1."""
        return self._admissions[kind].part

    def calls_per_run(self, kind: CallKind) -> float:
        """Return the estimated outgoing calls of one run of a kind."""
        return self._estimator.rate_of(kind)

    def describe(self) -> list[KindAdmission]:
        """Return what is admitted of each kind that has run, for logs."""
        return [
            KindAdmission(kind, self.admitted_part(kind), self.calls_per_run(kind))
            for kind in self._runs
        ]

    def admits(self, kind: CallKind) -> bool:
        """Return whether to admit an arriving call, which counts as one.

        The admitted calls are spread evenly over the arriving ones.
        """
        admission = self._admissions[kind]
        if admission.part >= 1.0:
            return True
        admission.credit += admission.part
        if admission.credit < 1.0:
            return False
        admission.credit -= 1.0
        return True

    def record_call(self) -> None:
        """Count a call made by the target."""
        self._calls += 1

    def record_reply(self, pressure: float, now: float) -> None:
        """Record the pressure reported with the response to a call of the target."""
        weight = 1.0 - math.exp((self._replied_at - now) / SMOOTHING_S - MIN_WEIGHT)
        self._replied_at = now
        self.pressure += min(MAX_WEIGHT, weight) * (pressure - self.pressure)

    def record_call_end(self, *, rejected: bool, now: float) -> None:
        """Record the end of a call of the target.

        It counts as rejected if no target has room for it, or if it was wasted there.
        """
        self._rejected_part += REJECTED_WEIGHT * (rejected - self._rejected_part)
        if rejected:
            self._rejected_at = now

    def record_end(self, kind: CallKind, *, started_at: float, failed: bool) -> bool:
        """Record the end of a run of a kind; return whether it was wasted.

        It was if it failed and a call of the target was rejected since it started.
        """
        wasted = failed and self._rejected_at >= started_at
        self._results[kind].record(
            started_at=started_at, wasted=wasted, rejected_part=self._rejected_part
        )
        return wasted

    def record_running(self, kind: CallKind, running: int) -> None:
        """Record the number of running calls of a kind after a change."""
        self._runs[kind].set_running(running)

    def pressure_for_callers(self, kind: CallKind) -> float:
        """Return the pressure to report to the callers of a kind of call."""
        return self.pressure if self._depends_on_calls(kind) else 0.0

    def may_update(self, now: float) -> bool:
        """Return whether an interval may have ended, before its length is computed."""
        return now - self._interval_started_at >= INTERVAL_S

    def update(self, *, hold_s: float, now: float) -> bool:
        """Adapt the admitted parts at the end of an interval; return whether one ended.

        ``hold_s`` is the hold time of a request in seconds. An interval is at least
        as long, because a change takes that time to affect the called services.
        """
        if now - self._interval_started_at < max(INTERVAL_S, hold_s):
            return False
        if self._replied_at <= self._interval_started_at:
            # Where few requests arrive, a shed kind may make no calls for seconds.
            self.pressure *= NO_REPLY_FACTOR
        runs = {kind: counts.collect() for kind, counts in self._runs.items()}
        self._estimator.add_interval(calls=self._calls, runs=runs)
        for kind in runs:
            if not kind.internal:
                self._adapt(kind, now)
        self._end_interval_of_results()
        self._interval_started_at = now
        self._calls = 0
        return True

    def _adapt(self, kind: CallKind, now: float) -> None:
        results, admission = self._results[kind], self._admissions[kind]
        before = admission.part
        admission.adapt(self._excess_pressure(kind), wasted_part=results.wasted_part)
        if admission.part < before:
            results.restart_count(now)

    def _end_interval_of_results(self) -> None:
        if not self._calls:
            self._rejected_part *= NO_CALL_FACTOR
        for results in self._results.values():
            results.end_interval()

    def _excess_pressure(self, kind: CallKind) -> float:
        if not self._depends_on_calls(kind):
            return 0.0
        span = LAST_SHED_TOLERANCE - FIRST_SHED_TOLERANCE
        tolerance = LAST_SHED_TOLERANCE - span * kind.shed_order
        wasted = self._results[kind].wasted_part - WASTED_TOLERANCE
        return max(0.0, self.pressure - tolerance, wasted)

    def _depends_on_calls(self, kind: CallKind) -> bool:
        """Return whether runs of a kind need the services that the target calls.

        Their results tell it better than the estimate, but only while calls fail.
        """
        suffers = self._results[kind].suffers
        return self._estimator.makes_calls(kind) if suffers is None else suffers
