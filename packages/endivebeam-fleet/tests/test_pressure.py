"""Tests of backpressure and the limits that it sets for requests."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from endivebeam_fleet import (
    AdmissionQueue,
    CallKind,
    CallPressure,
    CallRateEstimator,
    Ticket,
    TicketState,
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
    """Simulate an interval in which each running call makes one call.

    Returns the end of the interval.
    """
    for kind in kinds:
        pressure.record_running(kind, running, now)
        for _ in range(running):
            pressure.record_call()
            pressure.record_reply(reported)
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
            run_s = {
                INTERNAL: max(0.0, rng.gauss(2.0, 0.6)),
                FIRST_SHED: max(0.0, rng.gauss(1.5, 0.5)),
            }
            calls = max(0, round(rng.gauss(5 * run_s[caller], 2.0)))
            estimator.add_interval(calls=calls, run_s=run_s)
        other = FIRST_SHED if caller == INTERNAL else INTERNAL
        assert estimator.makes_calls(caller)
        assert not estimator.makes_calls(other)

    def test_identifies_both_kinds_if_both_make_calls(self):
        rng = random.Random(1)
        estimator = CallRateEstimator()
        for _ in range(200):
            run_s = {INTERNAL: rng.uniform(0, 3), FIRST_SHED: rng.uniform(0, 3)}
            estimator.add_interval(calls=round(4 * sum(run_s.values())), run_s=run_s)
        assert estimator.makes_calls(INTERNAL)
        assert estimator.makes_calls(FIRST_SHED)


class TestLimit:
    def test_is_infinite_without_pressure(self):
        pressure = CallPressure(now=0.0)
        warm_up(pressure)
        assert math.isinf(pressure.limit(FIRST_SHED))

    def test_falls_under_pressure_and_rises_after_it(self):
        pressure = CallPressure(now=0.0)
        now = warm_up(pressure)
        now = run_interval(pressure, now, reported=0.5)
        reduced = pressure.limit(FIRST_SHED)
        assert reduced < 40
        now = run_interval(pressure, now, reported=0.0, running=int(reduced))
        assert pressure.limit(FIRST_SHED) > reduced

    def test_urgent_requests_are_limited_only_under_heavy_pressure(self):
        kinds = (FIRST_SHED, LAST_SHED)
        pressure = CallPressure(now=0.0)
        now = warm_up(pressure, kinds)
        now = run_interval(pressure, now, reported=0.4, kinds=kinds)
        assert math.isinf(pressure.limit(LAST_SHED))
        assert math.isfinite(pressure.limit(FIRST_SHED))
        run_interval(pressure, now, reported=1.0, kinds=kinds)
        assert math.isfinite(pressure.limit(LAST_SHED))

    def test_no_kind_is_starved(self):
        pressure = CallPressure(now=0.0)
        pressure.configure(slots=100)
        now = warm_up(pressure)
        for _ in range(50):
            now = run_interval(pressure, now, reported=1.0)
        assert pressure.limit(FIRST_SHED) >= 8

    def test_internal_calls_are_never_limited(self):
        # Guards against wasting the work already done for their requests.
        pressure = CallPressure(now=0.0)
        now = warm_up(pressure, (INTERNAL,))
        for _ in range(5):
            now = run_interval(pressure, now, reported=1.0, kinds=(INTERNAL,))
        assert math.isinf(pressure.limit(INTERNAL))
        assert pressure.pressure_for_callers(INTERNAL) == 1.0

    def test_does_not_change_again_within_the_hold_time(self):
        # Guards against overshoot: a limit that changes sooner keeps falling for as
        # long as the requests admitted before still report pressure.
        pressure = CallPressure(now=0.0)
        now = warm_up(pressure)
        pressure.record_reply(1.0)
        assert not pressure.update(hold_s=2.0, now=now + 1.0)


class TestAdmissionUnderLimit:
    @pytest.mark.parametrize("limit", [1, 3])
    def test_limits_one_kind_and_not_the_others(self, limit: int):
        queue = AdmissionQueue(
            limit_of=lambda k: limit if k == FIRST_SHED else math.inf
        )
        queue.configure(slots=20, cold_left_s=0.0, now=0.0)
        tickets = [
            Ticket(rank=1, kind=kind, arrived_at=1.0, objective_s=9.0, deadline=9.0)
            for kind in (FIRST_SHED,) * 5 + (LAST_SHED, INTERNAL)
        ]
        for ticket in tickets:
            queue.arrive(ticket, 1.0)
        running = [
            ticket.kind for ticket in tickets if ticket.state is TicketState.RUNNING
        ]
        assert running == [FIRST_SHED] * limit + [LAST_SHED, INTERNAL]
        queue.release(tickets[0], 1.1, ran_to_end=True)
        (started,) = queue.next_changes(1.1)
        assert started.kind == FIRST_SHED
