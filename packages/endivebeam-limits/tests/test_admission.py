"""Tests of the slots, criticality classes and fairness of the admission."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from endivebeam_limits import Admission, FairQueue, Ticket, TicketState
from endivebeam_model import AccountId, Criticality

CLASSES = [Criticality.CRITICAL, Criticality.NORMAL, Criticality.SHEDDABLE]
SLOTS = 6


def make_ticket(
    account: str = "a",
    weight: float = 1.0,
    criticality: Criticality = Criticality.NORMAL,
    depth: int = 1,
    deadline: float = 1e9,
    reentrant: bool = False,
) -> Ticket:
    return Ticket(
        account=AccountId(account),
        weight=weight,
        criticality=criticality,
        depth=depth,
        deadline=deadline,
        reentrant=reentrant,
    )


def pop(queue: FairQueue) -> Ticket:
    ticket = queue.pop()
    assert ticket is not None
    return ticket


class AdmissionMachine(RuleBasedStateMachine):
    """Compares the counts of the admission with the states of all tickets."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.admission = Admission()
        self.admission.start_cold(SLOTS, self.now)
        self.tickets: list[Ticket] = []

    def in_state(self, state: TicketState) -> list[Ticket]:
        return [t for t in self.tickets if t.state is state]

    @rule(
        account=st.sampled_from("abc"),
        criticality=st.sampled_from(CLASSES),
        depth=st.integers(1, 3),
        time_left=st.sampled_from([0.05, 1.0, 1e9]),
    )
    def arrive(
        self, account: str, criticality: Criticality, depth: int, time_left: float
    ) -> None:
        waiting = self.in_state(TicketState.QUEUED)
        deadline = self.now + time_left
        ticket = make_ticket(account, ord(account), criticality, depth, deadline)
        self.tickets.append(ticket)
        changes = self.admission.arrive(ticket, self.now)
        assert {t.state for t in changes.started} <= {TicketState.RUNNING}
        if ticket not in changes.refused:
            for victim in changes.refused:
                lower = CLASSES[CLASSES.index(victim.criticality) + 1 :]
                assert not [t for t in waiting if t.criticality in lower]

    @rule(data=st.data(), elapsed=st.sampled_from([0.01, 0.1, 2.0]))
    def release(self, data: st.DataObject, elapsed: float) -> None:
        if self.tickets:
            self.now += elapsed
            ticket = data.draw(st.sampled_from(self.tickets))
            ran = ticket.state is TicketState.RUNNING
            self.admission.release(ticket, self.now)
            if ran:
                self.admission.limit.observe(ticket.started, self.now)

    @rule(slots=st.integers(1, 2 * SLOTS))
    def resize(self, slots: int) -> None:
        self.admission.resize(slots, self.now)

    @invariant()
    def slots_match_tickets(self) -> None:
        assert self.admission.in_use == len(self.in_state(TicketState.RUNNING))
        assert len(self.admission.queue) == len(self.in_state(TicketState.QUEUED))
        assert 1 <= self.admission.limit.limit <= self.admission.limit.slots

    @invariant()
    def no_slot_is_idle_while_calls_are_queued(self) -> None:
        spare = self.admission.limit.limit - self.admission.in_use
        # The limit may have grown since the last release. The next operation
        # starts queued calls up to the new limit.
        if spare > 0 and len(self.admission.queue):
            self.admission.resize(self.admission.limit.slots, self.now)
            spare = self.admission.limit.limit - self.admission.in_use
            assert spare <= 0 or not len(self.admission.queue)


class TestSlots:
    def test_slots_match_tickets(self):
        """Guards against leaked slots, slots assigned twice, and idle slots."""
        run_state_machine_as_test(AdmissionMachine)

    def test_call_without_time_to_deadline_is_rejected_at_once(self):
        """Guards against queueing calls that cannot meet their deadline."""
        admission = Admission()
        admission.start_cold(2, 0.0)
        running = [make_ticket() for _ in range(2)]
        for ticket in running:
            admission.arrive(ticket, 0.0)
        admission.release(running[0], 1.0)
        admission.arrive(make_ticket(), 1.0)
        too_late = make_ticket(deadline=1.5)
        assert admission.arrive(too_late, 1.0).refused == [too_late]
        in_time = make_ticket(deadline=9.0)
        assert admission.arrive(in_time, 1.0).refused == []


class TestFairness:
    @given(
        weights=st.lists(st.integers(1, 50), min_size=2, max_size=6),
        served=st.integers(20, 200),
    )
    def test_backlogged_accounts_are_served_by_weight(
        self, weights: list[int], served: int
    ):
        """Guards against an account that gets more than its share by weight."""
        queue = FairQueue()
        for index, weight in enumerate(weights):
            for _ in range(served):
                queue.push(make_ticket(str(index), weight))
        counts = Counter(pop(queue).account for _ in range(served))
        for index, weight in enumerate(weights):
            share = served * weight / sum(weights)
            assert abs(counts[AccountId(str(index))] - share) <= len(weights)

    @given(order=st.permutations(CLASSES * 3))
    def test_critical_calls_are_served_first(self, order: list[Criticality]):
        """Guards against a critical call that waits behind a less critical one."""
        queue = FairQueue()
        for criticality in order:
            queue.push(make_ticket(criticality=criticality))
        popped = [pop(queue).criticality for _ in order]
        assert popped == sorted(order, key=CLASSES.index)

    def test_full_queue_evicts_the_account_above_its_share(self):
        """Guards against one account that occupies the queue and blocks others."""
        admission = Admission()
        admission.start_cold(1, 0.0)
        large = [make_ticket("large", 10.0) for _ in range(50)]
        for ticket in large:
            admission.arrive(ticket, 0.0)
        small = make_ticket("small", 1.0)
        changes = admission.arrive(small, 0.0)
        assert small.state is TicketState.QUEUED
        assert [t.account for t in changes.refused] == ["large"]

    def test_cost_of_rejected_call_is_refunded(self):
        """Guards against charging a small account for calls that never ran."""
        queue = FairQueue()
        queue.push(make_ticket("small", 1.0))
        for _ in range(40):
            queue.push(make_ticket("large", 20.0))
        popped = pop(queue)
        while popped.account != "small":
            popped = pop(queue)
        queue.refund(popped)
        queue.push(make_ticket("small", 1.0))
        # Without the refund it would wait for 20 calls of the other account.
        assert "small" in [pop(queue).account for _ in range(2)]


class TestReentrantTicket:
    def test_is_limited_only_by_announced_slots(self):
        """Guards against a chain that blocks itself, and against extra slots.

        A nested call runs beyond the adaptive limit, because the call that waits
        for it holds a slot, but not beyond the announced slots.
        """
        admission = Admission()
        admission.start_cold(SLOTS, 0.0)
        while admission.in_use < admission.limit.limit:
            admission.arrive(make_ticket(), 0.0)
        waiting = make_ticket()
        admission.arrive(waiting, 0.0)
        states = []
        for _ in range(SLOTS):
            nested = make_ticket(reentrant=True)
            admission.arrive(nested, 0.0)
            states.append(nested.state)
        free = SLOTS - admission.limit.limit
        assert states.count(TicketState.RUNNING) == free
        assert states.count(TicketState.REFUSED) == SLOTS - free
        assert admission.in_use == SLOTS
        assert waiting.state is TicketState.QUEUED
