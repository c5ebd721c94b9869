"""Admission of calls to the target beside a node.

The node is the only one that sends to its target, so it knows exactly how many
calls are at work there. Calls beyond the target's concurrency wait here in an
order by urgency, and are refused as soon as the wait would cost their worth.
"""

import math
from collections.abc import Callable

from ._tickets import CallKind, Ticket, TicketState, WaitingCalls

# Some targets slow down when nearly all of their slots are busy.
USED_SLOTS = 0.94
# A target that has just started is slower by about this factor.
COLD_SLOTS = 0.6
# A call may wait for this part of its objective. Work that is refused early can
# still be served elsewhere or by the caller's own retry.
WAIT_FRACTION = 0.25
# An internal call may wait for this part of its time, because its refusal would
# waste the work that its request has cost already.
INTERNAL_WAIT_FRACTION = 0.5
INITIAL_HOLD_S = 0.05
HOLD_WEIGHT = 0.05
MAX_WAITING = 256


class _Group:
    """Calls of one kind that run or wait, and how long one occupies the target."""

    __slots__ = ("hold_s", "running", "waiting")

    def __init__(self) -> None:
        self.running = 0
        self.waiting = WaitingCalls()
        self.hold_s = INITIAL_HOLD_S


def _no_limit(kind: CallKind) -> float:
    return math.inf


class AdmissionQueue:
    """Calls that wait for the local target or run there.

    ``limit_of`` tells how many calls of a kind may run at once, because the services
    that they lead to have no more room.
    """

    def __init__(self, *, limit_of: Callable[[CallKind], float] = _no_limit) -> None:
        self._limit_of = limit_of
        self._groups: dict[CallKind, _Group] = {}
        self._slots = 0
        self._rank_sum = 0.0
        self._cold_until = 0.0

    @property
    def running(self) -> int:
        """Number of calls that run."""
        return sum(group.running for group in self._groups.values())

    @property
    def waiting(self) -> int:
        """Number of calls that wait."""
        return sum(len(group.waiting) for group in self._groups.values())

    @property
    def hold_s(self) -> float:
        """Mean time for which a call occupies the target, of those that run."""
        running = self.running
        if not running:
            holds_s = [group.hold_s for group in self._groups.values()]
            return max(holds_s, default=INITIAL_HOLD_S)
        groups = self._groups.values()
        return sum(group.running * group.hold_s for group in groups) / running

    @property
    def longest_hold_s(self) -> float:
        """Longest mean time for which requests of callers occupy the target."""
        return max(
            (g.hold_s for kind, g in self._groups.items() if not kind.internal),
            default=0.0,
        )

    @property
    def mean_rank(self) -> float | None:
        """Mean rank of the calls that run; None when none does.

        The target's own calls carry no word about their request, so this is what
        is known about their urgency.
        """
        running = self.running
        return self._rank_sum / running if running else None

    def running_of(self, kind: CallKind) -> int:
        """Return how many calls of a kind run."""
        return self._group(kind).running

    def limit(self, now: float) -> int:
        """Return how many calls may run at once."""
        if not self._slots:
            return 0
        share = USED_SLOTS * (COLD_SLOTS if now < self._cold_until else 1.0)
        return max(1, int(self._slots * share))

    def configure(self, *, slots: int, cold_left_s: float, now: float) -> None:
        """Take the announced slots and the rest of the cold start."""
        self._slots = slots
        self._cold_until = now + cold_left_s

    def expected_wait_s(self, now: float, urgency: float, kind: CallKind) -> float:
        """Estimate the wait of a call of that urgency and kind."""
        groups = self._groups.values()
        ahead = sum(group.waiting.count_ahead(urgency) for group in groups)
        limit = max(1, self.limit(now))
        missing = self.running + ahead + 1 - limit
        wait_s = max(0.0, missing * self.hold_s / limit)
        kind_limit = self._limit_of(kind)
        if math.isinf(kind_limit):
            return wait_s
        group = self._group(kind)
        ahead_in_group = group.waiting.count_ahead(urgency)
        missing_in_group = group.running + ahead_in_group + 1 - kind_limit
        return max(wait_s, missing_in_group * group.hold_s / kind_limit)

    def arrive(self, ticket: Ticket, now: float) -> None:
        """Start, queue or refuse a call; its state tells which."""
        group = self._group(ticket.kind)
        ticket.latest_start = self._latest_start(ticket)
        if not group.waiting and self._has_room(ticket, now):
            self._start(ticket, now)
            return
        expected_s = self.expected_wait_s(now, ticket.urgency, ticket.kind)
        if now + expected_s > ticket.latest_start or self.waiting >= MAX_WAITING:
            ticket.state = TicketState.REFUSED
            return
        group.waiting.add(ticket)

    def release(self, ticket: Ticket, now: float, *, ran_to_end: bool) -> None:
        """End a call, wherever it was."""
        group = self._group(ticket.kind)
        state, ticket.state = ticket.state, TicketState.DONE
        if state is TicketState.WAITING:
            group.waiting.forget()
        elif state is TicketState.RUNNING:
            group.running -= 1
            self._rank_sum -= ticket.rank
            if ran_to_end:
                held_s = now - ticket.started_at
                group.hold_s += HOLD_WEIGHT * (held_s - group.hold_s)

    def next_changes(self, now: float) -> list[Ticket]:
        """Start and refuse waiting calls; return those that changed."""
        changed = []
        while (ticket := self._first(now)) is not None:
            self._group(ticket.kind).waiting.take_first()
            if now > ticket.latest_start:
                ticket.state = TicketState.REFUSED
            else:
                self._start(ticket, now)
            changed.append(ticket)
        return changed

    def refuse_all(self) -> list[Ticket]:
        """Refuse all waiting calls, because the target takes no more work."""
        tickets = [s for group in self._groups.values() for s in group.waiting.clear()]
        for ticket in tickets:
            ticket.state = TicketState.REFUSED
        return tickets

    def _first(self, now: float) -> Ticket | None:
        """Return the next call that may start or has waited too long."""
        firsts = (group.waiting.first() for group in self._groups.values())
        ready = [
            ticket
            for ticket in firsts
            if ticket is not None
            and (now > ticket.latest_start or self._has_room(ticket, now))
        ]
        return min(ready, key=_urgency, default=None)

    def _has_room(self, ticket: Ticket, now: float) -> bool:
        if self.running >= self.limit(now):
            return False
        return self._group(ticket.kind).running < self._limit_of(ticket.kind)

    def _latest_start(self, ticket: Ticket) -> float:
        if ticket.kind.internal:
            wait_s = INTERNAL_WAIT_FRACTION * (ticket.deadline - ticket.arrived_at)
        else:
            wait_s = WAIT_FRACTION * ticket.objective_s
        hold_s = self._group(ticket.kind).hold_s
        return min(ticket.arrived_at + wait_s, ticket.deadline - hold_s)

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.state = TicketState.RUNNING
        ticket.started_at = now
        self._group(ticket.kind).running += 1
        self._rank_sum += ticket.rank

    def _group(self, kind: CallKind) -> _Group:
        group = self._groups.get(kind)
        if group is None:
            group = self._groups[kind] = _Group()
        return group


def _urgency(ticket: Ticket) -> float:
    return ticket.urgency
