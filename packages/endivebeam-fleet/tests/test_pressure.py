"""Pressure of busy services, and how many requests it lets in."""

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
    felt: float,
    running: int = 40,
    kinds: tuple[CallKind, ...] = (FIRST_SHED,),
) -> float:
    """Let runs of some kinds make one call each; return the time after it."""
    for kind in kinds:
        pressure.note_running(kind, running, now)
        for _ in range(running):
            pressure.note_call()
            pressure.note_answer(felt)
    now += HOLD_S
    assert pressure.update(hold_s=HOLD_S, now=now)
    return now


def warm_up(
    pressure: CallPressure, kinds: tuple[CallKind, ...] = (FIRST_SHED,)
) -> float:
    now = 0.0
    for _ in range(20):
        now = run_interval(pressure, now, felt=0.0, kinds=kinds)
    return now


class TestCallingKinds:
    @given(st.integers(0, 2**32), st.sampled_from([INTERNAL, FIRST_SHED]))
    def test_tells_runs_that_make_calls_from_those_that_make_none(
        self, seed: int, caller: CallKind
    ):
        # A target that serves both kinds held back the wrong one. Both kinds are
        # always there, in numbers that vary as random arrivals do.
        rng = random.Random(seed)
        callers = CallRateEstimator()
        for _ in range(200):
            run_s = {
                INTERNAL: max(0.0, rng.gauss(2.0, 0.6)),
                FIRST_SHED: max(0.0, rng.gauss(1.5, 0.5)),
            }
            calls = max(0, round(rng.gauss(5 * run_s[caller], 2.0)))
            callers.learn(calls=calls, run_s=run_s)
        other = FIRST_SHED if caller == INTERNAL else INTERNAL
        assert callers.makes_calls(caller)
        assert not callers.makes_calls(other)

    def test_both_kinds_may_make_calls(self):
        rng = random.Random(1)
        callers = CallRateEstimator()
        for _ in range(200):
            run_s = {INTERNAL: rng.uniform(0, 3), FIRST_SHED: rng.uniform(0, 3)}
            callers.learn(calls=round(4 * sum(run_s.values())), run_s=run_s)
        assert callers.makes_calls(INTERNAL)
        assert callers.makes_calls(FIRST_SHED)


class TestLimit:
    def test_is_infinite_without_pressure(self):
        pressure = CallPressure(now=0.0)
        warm_up(pressure)
        assert math.isinf(pressure.limit(FIRST_SHED))

    def test_falls_below_what_ran_under_pressure_and_rises_after_it(self):
        pressure = CallPressure(now=0.0)
        now = warm_up(pressure)
        now = run_interval(pressure, now, felt=0.5)
        low = pressure.limit(FIRST_SHED)
        assert low < 40
        now = run_interval(pressure, now, felt=0.0, running=int(low))
        assert pressure.limit(FIRST_SHED) > low

    def test_urgent_requests_are_held_back_only_by_heavy_pressure(self):
        kinds = (FIRST_SHED, LAST_SHED)
        pressure = CallPressure(now=0.0)
        now = warm_up(pressure, kinds)
        now = run_interval(pressure, now, felt=0.4, kinds=kinds)
        assert math.isinf(pressure.limit(LAST_SHED))
        assert math.isfinite(pressure.limit(FIRST_SHED))
        run_interval(pressure, now, felt=1.0, kinds=kinds)
        assert math.isfinite(pressure.limit(LAST_SHED))

    def test_no_kind_is_held_back_altogether(self):
        pressure = CallPressure(now=0.0)
        pressure.configure(slots=100)
        now = warm_up(pressure)
        for _ in range(50):
            now = run_interval(pressure, now, felt=1.0)
        assert pressure.limit(FIRST_SHED) >= 8

    def test_internal_calls_are_never_held_back(self):
        # Their requests have cost work already.
        pressure = CallPressure(now=0.0)
        now = warm_up(pressure, (INTERNAL,))
        for _ in range(5):
            now = run_interval(pressure, now, felt=1.0, kinds=(INTERNAL,))
        assert math.isinf(pressure.limit(INTERNAL))
        assert pressure.pressure_for_callers(INTERNAL) == 1.0

    def test_is_not_changed_before_its_last_change_was_felt(self):
        # A limit that changed sooner overshot: it fell for as long as the requests
        # let in before it went on to report pressure.
        pressure = CallPressure(now=0.0)
        now = warm_up(pressure)
        pressure.note_answer(1.0)
        assert not pressure.update(hold_s=2.0, now=now + 1.0)


class TestIntakeUnderALimit:
    @pytest.mark.parametrize("limit", [1, 3])
    def test_holds_back_one_kind_and_not_the_others(self, limit: int):
        queue = AdmissionQueue(
            limit_of=lambda k: limit if k == FIRST_SHED else math.inf
        )
        queue.configure(slots=20, cold_left_s=0.0, now=0.0)
        slots = [
            Ticket(rank=1, kind=kind, arrived_at=1.0, objective_s=9.0, deadline=9.0)
            for kind in (FIRST_SHED,) * 5 + (LAST_SHED, INTERNAL)
        ]
        for ticket in slots:
            queue.arrive(ticket, 1.0)
        running = [
            ticket.kind for ticket in slots if ticket.state is TicketState.RUNNING
        ]
        assert running == [FIRST_SHED] * limit + [LAST_SHED, INTERNAL]
        queue.release(slots[0], 1.1, ran_to_end=True)
        (started,) = queue.next_changes(1.1)
        assert started.kind == FIRST_SHED
