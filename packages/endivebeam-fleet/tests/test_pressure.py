"""Tests of backpressure and the part of the requests that is admitted under it."""

import itertools
import random

from hypothesis import given
from hypothesis import strategies as st

from endivebeam_fleet import (
    CallKind,
    CallPressure,
    CallRateEstimator,
)

INTERNAL = CallKind(internal=True)
FIRST_SHED = CallKind(internal=False, shed_order=1.0)
LAST_SHED = CallKind(internal=False, shed_order=0.0)
HOLD_S = 0.25


def run_interval(
    pressure: CallPressure,
    now: float,
    *,
    reported: float,
    running: int = 40,
    kinds: tuple[CallKind, ...] = (FIRST_SHED,),
) -> float:
    """Simulate an interval in which each running call ends and makes one call.

    Returns the end of the interval.
    """
    for kind in kinds:
        pressure.record_running(kind, running)
        for step in range(running):
            pressure.record_call()
            pressure.record_reply(reported, now + HOLD_S * step / running)
        pressure.record_running(kind, 0)
    now += HOLD_S
    assert pressure.update(hold_s=HOLD_S, now=now)
    return now


def warm_up(
    pressure: CallPressure, kinds: tuple[CallKind, ...] = (FIRST_SHED,)
) -> float:
    now = 0.0
    for _ in range(20):
        now = run_interval(pressure, now, reported=0.0, kinds=kinds)
    return now


class TestCallRateEstimator:
    @given(st.integers(0, 2**32), st.sampled_from([INTERNAL, FIRST_SHED]))
    def test_identifies_the_kind_that_makes_calls(self, seed: int, caller: CallKind):
        # Guards against a limit on the wrong kind at a target that serves both. Both
        # kinds are always running, in numbers that vary like random arrivals.
        rng = random.Random(seed)
        estimator = CallRateEstimator()
        for _ in range(200):
            runs = {
                INTERNAL: max(0.0, rng.gauss(20.0, 6.0)),
                FIRST_SHED: max(0.0, rng.gauss(15.0, 5.0)),
            }
            calls = max(0, round(rng.gauss(runs[caller] / 2, 2.0)))
            estimator.add_interval(calls=calls, runs=runs)
        other = FIRST_SHED if caller == INTERNAL else INTERNAL
        assert estimator.makes_calls(caller)
        assert not estimator.makes_calls(other)

    def test_identifies_both_kinds_if_both_make_calls(self):
        rng = random.Random(1)
        estimator = CallRateEstimator()
        for _ in range(200):
            runs = {INTERNAL: rng.uniform(0, 30), FIRST_SHED: rng.uniform(0, 30)}
            estimator.add_interval(calls=round(sum(runs.values()) / 2), runs=runs)
        assert estimator.makes_calls(INTERNAL)
        assert estimator.makes_calls(FIRST_SHED)

    def test_estimate_holds_while_called_service_is_slow(self):
        """Guards against blame for a kind whose runs don't last longer.

        The runs of the kind that makes calls last ten times as long, those of the other
        kind as long as before. Pressure was no longer passed on to the callers.
        """
        rng = random.Random(1)
        estimator = CallRateEstimator()
        for interval in range(300):
            waits = interval >= 200
            started = 100 + rng.gauss(0, 10)
            runs = {INTERNAL: started / (4 if waits else 1), LAST_SHED: 45.0}
            runs[LAST_SHED] += rng.gauss(0, 5)
            calls = max(0, round(4 * runs[INTERNAL] + rng.gauss(0, 10)))
            estimator.add_interval(calls=calls, runs=runs)
        assert estimator.makes_calls(INTERNAL)
        assert not estimator.makes_calls(LAST_SHED)


class TestAdmittedPart:
    def test_is_whole_without_pressure(self):
        pressure = CallPressure(now=0.0)
        warm_up(pressure)
        assert pressure.admitted_part(FIRST_SHED) == 1.0
        assert all(pressure.admits(FIRST_SHED) for _ in range(100))

    def test_falls_under_pressure_and_rises_after_it(self):
        pressure = CallPressure(now=0.0)
        now = warm_up(pressure)
        now = run_interval(pressure, now, reported=0.5)
        reduced = pressure.admitted_part(FIRST_SHED)
        assert reduced < 1.0
        for _ in range(3):
            now = run_interval(pressure, now, reported=0.0)
        assert pressure.admitted_part(FIRST_SHED) > reduced

    def test_is_held_while_pressure_falls(self):
        """Guards against overshoot while the calls of admitted requests still wait."""
        pressure = CallPressure(now=0.0)
        now = warm_up(pressure)
        now = run_interval(pressure, now, reported=1.0)
        reduced = pressure.admitted_part(FIRST_SHED)
        run_interval(pressure, now, reported=0.3)
        assert pressure.admitted_part(FIRST_SHED) == reduced

    def test_grows_carefully_near_the_part_at_which_pressure_began(self):
        far, near = [], []
        for reported in (0.5, 0.6, 0.7, 0.8, 0.9):
            pressure = CallPressure(now=0.0)
            now = warm_up(pressure)
            now = run_interval(pressure, now, reported=reported)
            now = run_interval(pressure, now, reported=0.0)
            parts = [pressure.admitted_part(FIRST_SHED)]
            while parts[-1] < 1.0:
                now = run_interval(pressure, now, reported=0.0)
                parts.append(pressure.admitted_part(FIRST_SHED))
            for before, after in itertools.pairwise(parts):
                if after < 1.0:
                    (far if before < 0.85 else near).append(after / before)
        assert min(far) > max(near)

    def test_admitted_requests_are_spread_over_the_arriving_ones(self):
        pressure = CallPressure(now=0.0)
        run_interval(pressure, warm_up(pressure), reported=1.0)
        part = pressure.admitted_part(FIRST_SHED)
        admitted = [pressure.admits(FIRST_SHED) for _ in range(1000)]
        for start in range(0, 1000, 100):
            assert abs(sum(admitted[start : start + 100]) - 100 * part) <= 1.0

    def test_urgent_requests_are_shed_only_under_heavy_pressure(self):
        kinds = (FIRST_SHED, LAST_SHED)
        pressure = CallPressure(now=0.0)
        now = warm_up(pressure, kinds)
        now = run_interval(pressure, now, reported=0.4, kinds=kinds)
        assert pressure.admitted_part(LAST_SHED) == 1.0
        assert pressure.admitted_part(FIRST_SHED) < 1.0
        run_interval(pressure, now, reported=1.0, kinds=kinds)
        assert pressure.admitted_part(LAST_SHED) < 1.0

    def test_no_kind_is_starved(self):
        pressure = CallPressure(now=0.0)
        now = warm_up(pressure)
        for _ in range(50):
            now = run_interval(pressure, now, reported=1.0)
        assert sum(pressure.admits(FIRST_SHED) for _ in range(100)) >= 9

    def test_internal_calls_are_never_shed(self):
        """Guards against wasting the work already done for their requests."""
        pressure = CallPressure(now=0.0)
        now = warm_up(pressure, (INTERNAL,))
        for _ in range(5):
            now = run_interval(pressure, now, reported=1.0, kinds=(INTERNAL,))
        assert all(pressure.admits(INTERNAL) for _ in range(100))
        assert pressure.pressure_for_callers(INTERNAL) > 0.99

    def test_does_not_change_again_within_the_hold_time(self):
        """Guards against overshoot: requests admitted before still report pressure."""
        pressure = CallPressure(now=0.0)
        now = warm_up(pressure)
        pressure.record_reply(1.0, now)
        assert not pressure.update(hold_s=2.0, now=now + 1.0)

    def test_pressure_is_passed_on_before_the_interval_ends(self):
        """Guards against a delay of an interval at each service of a chain."""
        pressure = CallPressure(now=0.0)
        now = warm_up(pressure)
        for step in range(20):
            pressure.record_reply(1.0, now + 0.01 * step)
        assert pressure.pressure_for_callers(FIRST_SHED) > 0.5

    def test_pressure_fades_without_replies(self):
        """Guards against a node with few requests that sheds long after an overload."""
        pressure = CallPressure(now=0.0)
        now = run_interval(pressure, warm_up(pressure), reported=1.0)
        reduced = pressure.admitted_part(FIRST_SHED)
        for _ in range(6):
            now += HOLD_S
            assert pressure.update(hold_s=HOLD_S, now=now)
        assert pressure.pressure < 0.05
        assert pressure.admitted_part(FIRST_SHED) > reduced
