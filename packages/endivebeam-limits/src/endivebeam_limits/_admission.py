"""Admission of calls to one target: concurrency limit and queue together."""

from dataclasses import dataclass, field

from ._concurrency import ConcurrencyLimit
from ._fair_queue import FairQueue
from ._tickets import Ticket, TicketState

QUEUE_PER_SLOT = 1
MIN_QUEUE = 16
MAX_QUEUE = 1024
# Part of the mean service time that must be left when a call is started.
LEAST_TIME_FRACTION = 1.0
HOLD_WEIGHT = 0.05


@dataclass(slots=True)
class TicketChanges:
    """Tickets that an operation started or refused, to be told to their calls."""

    started: list[Ticket] = field(default_factory=list)
    refused: list[Ticket] = field(default_factory=list)


class Admission:
    """Decides which calls hold the slots of a target and which wait.

    Every ticket that arrives must be released once; releasing it again has no
    effect. Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self.limit = ConcurrencyLimit()
        self.queue = FairQueue()
        self.in_use = 0
        # Mean time that a call holds its slot, nested calls included.
        self._hold_s: float | None = None

    @property
    def queue_bound(self) -> int:
        """Most calls that may wait."""
        return min(MAX_QUEUE, max(MIN_QUEUE, QUEUE_PER_SLOT * self.limit.slots))

    def start_cold(self, slots: int, now: float) -> TicketChanges:
        """Begin with a new target; calls that still run keep their slots."""
        self.limit.start_cold(slots, now)
        return self._fill(now, TicketChanges())

    def resize(self, slots: int, now: float) -> TicketChanges:
        """Follow a change of the announced slots."""
        self.limit.resize(slots)
        return self._fill(now, TicketChanges())

    def arrive(self, ticket: Ticket, now: float) -> TicketChanges:
        """Start, queue or refuse a call; a queued one is in no list."""
        changes = TicketChanges()
        if ticket.reentrant:
            return self._arrive_reentrant(ticket, now, changes)
        if self.in_use < self.limit.limit and not len(self.queue):
            self._start(ticket, now, changes)
            return changes
        if self.expected_wait_s(ticket) + self._least_time_s() > ticket.deadline - now:
            _refuse(ticket, changes)
            return changes
        if len(self.queue) >= self.queue_bound:
            victim = self.queue.make_room(ticket)
            if victim is not ticket:
                self.queue.remove(victim)
            _refuse(victim, changes)
            if victim is ticket:
                return changes
        ticket.state = TicketState.QUEUED
        self.queue.push(ticket)
        return self._fill(now, changes)

    def release(self, ticket: Ticket, now: float) -> TicketChanges:
        """Give up a slot or a place in the queue."""
        state, ticket.state = ticket.state, TicketState.RELEASED
        if state is TicketState.QUEUED:
            self.queue.remove(ticket)
        if state is not TicketState.RUNNING:
            return TicketChanges()
        self.in_use -= 1
        self._note_hold(now - ticket.started)
        return self._fill(now, TicketChanges())

    def expected_wait_s(self, ticket: Ticket) -> float:
        """Estimate how long an arriving call would wait; 0 when unknown."""
        if self._hold_s is None:
            return 0.0
        ahead = self.queue.count_ahead(ticket)
        return (ahead + 1.0) * self._hold_s / self.limit.limit

    def _arrive_reentrant(
        self, ticket: Ticket, now: float, changes: TicketChanges
    ) -> TicketChanges:
        # The call that waits for this one keeps its slot until this one ends, so
        # that waiting for that slot could last until the deadline. The adaptive
        # limit does not count here, the announced slots do.
        if self.in_use < self.limit.slots:
            self._start(ticket, now, changes)
        else:
            _refuse(ticket, changes)
        return changes

    def _note_hold(self, hold_s: float) -> None:
        if self._hold_s is None:
            self._hold_s = hold_s
        self._hold_s += HOLD_WEIGHT * (hold_s - self._hold_s)

    def _least_time_s(self) -> float:
        return LEAST_TIME_FRACTION * (self._hold_s or 0.0)

    def _start(self, ticket: Ticket, now: float, changes: TicketChanges) -> None:
        ticket.state = TicketState.RUNNING
        ticket.started = now
        self.in_use += 1
        self.limit.note_use(self.in_use)
        changes.started.append(ticket)

    def _fill(self, now: float, changes: TicketChanges) -> TicketChanges:
        while self.in_use < self.limit.limit:
            ticket = self.queue.pop()
            if ticket is None:
                break
            if now + self._least_time_s() > ticket.deadline:
                self.queue.refund(ticket)
                _refuse(ticket, changes)
            else:
                self._start(ticket, now, changes)
        return changes


def _refuse(ticket: Ticket, changes: TicketChanges) -> None:
    ticket.state = TicketState.REFUSED
    changes.refused.append(ticket)
