"""Tests of admission to a target."""

from hypothesis import given
from hypothesis import strategies as st

from endivebeam_fleet import Intake, Kind, Slot, SlotState

SLOTS = 16


def make_slot(
    now: float, rank: int = 1, internal: bool = False, objective_s: float = 1.0
) -> Slot:
    return Slot(
        rank=rank,
        kind=Kind(internal=internal),
        arrived_at=now,
        objective_s=objective_s,
        deadline=now + 5.0,
    )


def make_intake(slots: int = SLOTS) -> Intake:
    intake = Intake()
    intake.configure(slots=slots, cold_left_s=0.0, now=0.0)
    return intake


def fill(intake: Intake, now: float = 1.0) -> list[Slot]:
    running = []
    while intake.running < intake.limit(now):
        slot = make_slot(now)
        intake.arrive(slot, now)
        running.append(slot)
    return running


class TestConcurrency:
    @given(st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=80))
    def test_never_runs_more_than_the_target_has_slots_for(
        self, steps: list[tuple[int, bool]]
    ):
        # A target that is full hangs and never answers on that connection.
        intake = make_intake()
        now = 1.0
        running: list[Slot] = []
        waiting: list[Slot] = []
        for rank, is_arrival in steps:
            now += 0.01
            if is_arrival:
                slot = make_slot(now, rank=rank)
                intake.arrive(slot, now)
                (running if slot.state is SlotState.RUNNING else waiting).append(slot)
            elif running:
                intake.release(running.pop(0), now, ran_to_end=True)
            for slot in intake.next_changes(now):
                if slot.state is SlotState.RUNNING:
                    running.append(slot)
            assert intake.running == len(running) <= SLOTS
            still = [s for s in waiting if s.state is SlotState.WAITING]
            assert intake.waiting == len(still)

    def test_cold_target_gets_fewer_calls_until_it_is_warm(self):
        intake = Intake()
        intake.configure(slots=20, cold_left_s=3.0, now=0.0)
        assert intake.limit(1.0) < intake.limit(4.0)

    def test_unknown_target_gets_none(self):
        intake = Intake()
        slot = make_slot(0.0)
        intake.arrive(slot, 0.0)
        assert slot.state is not SlotState.RUNNING


class TestOrder:
    def test_urgent_and_internal_calls_go_first(self):
        intake = make_intake()
        running = fill(intake)
        slots = [
            make_slot(1.0, rank=2),
            make_slot(1.0, rank=0),
            make_slot(1.0, rank=0, internal=True),
        ]
        for slot in slots:
            intake.arrive(slot, 1.0)
        order = []
        for held in running[:3]:
            intake.release(held, 1.01, ran_to_end=True)
            order += intake.next_changes(1.01)
        assert order == [slots[2], slots[1], slots[0]]

    def test_waiting_outweighs_rank_in_the_end(self):
        # Otherwise a kind of request would get nothing while others keep coming.
        intake = make_intake()
        running = fill(intake)
        old = make_slot(1.0, rank=2, objective_s=10.0)
        intake.arrive(old, 1.0)
        new = make_slot(1.9, rank=0, objective_s=10.0)
        intake.arrive(new, 1.9)
        intake.release(running[0], 1.9, ran_to_end=True)
        assert intake.next_changes(1.9) == [old]


class TestRankOfInternalCalls:
    def test_is_the_mean_of_the_calls_that_run(self):
        # Calls for less urgent requests went ahead of charges (scale-2 of
        # opravna-mesh: half of the charges were refused).
        intake = make_intake()
        slots = [make_slot(1.0, rank=rank) for rank in (0, 2, 2, 0)]
        for slot in slots:
            intake.arrive(slot, 1.0)
        assert intake.mean_rank == 1.0
        intake.release(slots[0], 1.1, ran_to_end=True)
        intake.release(slots[3], 1.1, ran_to_end=False)
        assert intake.mean_rank == 2.0

    def test_is_unknown_when_none_runs(self):
        intake = make_intake()
        slot = make_slot(1.0)
        intake.arrive(slot, 1.0)
        intake.release(slot, 1.1, ran_to_end=True)
        assert intake.mean_rank is None

    def test_urgent_call_goes_before_an_internal_call_of_a_lesser_request(self):
        intake = make_intake()
        running = fill(intake)
        internal = make_slot(1.0, rank=2, internal=True)
        urgent = make_slot(1.05, rank=0)
        intake.arrive(internal, 1.0)
        intake.arrive(urgent, 1.05)
        intake.release(running[0], 1.06, ran_to_end=True)
        assert intake.next_changes(1.06) == [urgent]


class TestRefusal:
    def test_refuses_at_once_what_could_only_start_too_late(self):
        intake = make_intake()
        running = fill(intake)
        for slot in running:
            slot.started_at = -9.0
        for slot in running:
            intake.release(slot, 1.0, ran_to_end=True)
        fill(intake)
        refused = make_slot(1.0, objective_s=0.1)
        intake.arrive(refused, 1.0)
        assert refused.state is SlotState.REFUSED

    def test_refuses_a_waiting_call_whose_time_is_over(self):
        intake = make_intake()
        fill(intake)
        slot = make_slot(1.0)
        intake.arrive(slot, 1.0)
        assert intake.next_changes(slot.latest_start + 0.01) == [slot]
        assert slot.state is SlotState.REFUSED
        assert intake.waiting == 0

    def test_refuses_all_waiting_calls_when_the_target_leaves(self):
        intake = make_intake()
        fill(intake)
        slots = [make_slot(1.0) for _ in range(3)]
        for slot in slots:
            intake.arrive(slot, 1.0)
        assert set(map(id, intake.refuse_all())) == set(map(id, slots))
        assert intake.waiting == 0
