"""Admission of calls to one target by its concurrency limit and queue."""

from dataclasses import dataclass, field

from ._concurrency import ConcurrencyLimit
from ._fair_queue import FairQueue
from ._tickets import Ticket, TicketState

QUEUE_PER_SLOT = 1
MIN_QUEUE = 16
MAX_QUEUE = 1024
# A call is started only if this fraction of the mean hold time remains until its
# deadline.
MIN_TIME_FRACTION = 1.0
# Weight of a new sample in the moving average of the hold time.
HOLD_WEIGHT = 0.05


@dataclass(slots=True)
class TicketChanges:
    """Tickets that an operation started or rejected; their calls must be notified."""

    started: list[Ticket] = field(default_factory=list)
    refused: list[Ticket] = field(default_factory=list)


class Admission:
    """Decides which calls get a slot of a target and which are queued or rejected.

    Every ticket passed to ``arrive`` must be released; releasing it again has no
    effect. Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self.limit = ConcurrencyLimit()
        self.queue = FairQueue()
        self.in_use = 0
        # Mean time that a call holds its slot, including its nested calls.
        self._mean_hold_s: float | None = None

    @property
    def queue_bound(self) -> int:
        """Maximum number of queued calls."""
        return min(MAX_QUEUE, max(MIN_QUEUE, QUEUE_PER_SLOT * self.limit.slots))

    def start_cold(self, slots: int, now: float) -> TicketChanges:
        """Reset the limit for a new target; running calls keep their slots."""
        self.limit.start_cold(slots, now)
        return self._start_queued(now, TicketChanges())

    def resize(self, slots: int, now: float) -> TicketChanges:
        """Adjust to a change of the announced slots."""
        self.limit.resize(slots)
        return self._start_queued(now, TicketChanges())

    def arrive(self, ticket: Ticket, now: float) -> TicketChanges:
        """Start, queue or reject a call.

        A queued call is in neither list of the result. A full queue may evict a
        queued call instead, which is then among the rejected ones.
        """
        changes = TicketChanges()
        if ticket.reentrant:
            return self._arrive_reentrant(ticket, now, changes)
        if self.in_use < self.limit.limit and not len(self.queue):
            self._start(ticket, now, changes)
            return changes
        if self.expected_wait_s(ticket) + self._min_time_s() > ticket.deadline - now:
            _refuse(ticket, changes)
            return changes
        if len(self.queue) >= self.queue_bound:
            victim = self.queue.find_victim(ticket)
            if victim is not ticket:
                self.queue.remove(victim)
            _refuse(victim, changes)
            if victim is ticket:
                return changes
        ticket.state = TicketState.QUEUED
        self.queue.push(ticket)
        return self._start_queued(now, changes)

    def release(self, ticket: Ticket, now: float) -> TicketChanges:
        """Release the slot of a running call, or remove a queued call."""
        state, ticket.state = ticket.state, TicketState.RELEASED
        if state is TicketState.QUEUED:
            self.queue.remove(ticket)
        if state is not TicketState.RUNNING:
            return TicketChanges()
        self.in_use -= 1
        self._record_hold_time(now - ticket.started)
        return self._start_queued(now, TicketChanges())

    def expected_wait_s(self, ticket: Ticket) -> float:
        """Estimate in seconds how long a new call would wait; 0 if unknown."""
        if self._mean_hold_s is None:
            return 0.0
        ahead = self.queue.count_ahead(ticket)
        return (ahead + 1.0) * self._mean_hold_s / self.limit.limit

    def _arrive_reentrant(
        self, ticket: Ticket, now: float, changes: TicketChanges
    ) -> TicketChanges:
        # The call that waits for this one holds its slot until this one ends. If
        # this one were queued, it could wait for that slot until the deadline.
        # Therefore it may exceed the adaptive limit, but not the announced slots.
        if self.in_use < self.limit.slots:
            self._start(ticket, now, changes)
        else:
            _refuse(ticket, changes)
        return changes

    def _record_hold_time(self, hold_s: float) -> None:
        if self._mean_hold_s is None:
            self._mean_hold_s = hold_s
        self._mean_hold_s += HOLD_WEIGHT * (hold_s - self._mean_hold_s)

    def _min_time_s(self) -> float:
        return MIN_TIME_FRACTION * (self._mean_hold_s or 0.0)

    def _start(self, ticket: Ticket, now: float, changes: TicketChanges) -> None:
        ticket.state = TicketState.RUNNING
        ticket.started = now
        self.in_use += 1
        self.limit.record_in_use(self.in_use)
        changes.started.append(ticket)

    def _start_queued(self, now: float, changes: TicketChanges) -> TicketChanges:
        while self.in_use < self.limit.limit:
            ticket = self.queue.pop()
            if ticket is None:
                break
            if now + self._min_time_s() > ticket.deadline:
                self.queue.refund(ticket)
                _refuse(ticket, changes)
            else:
                self._start(ticket, now, changes)
        return changes


def _refuse(ticket: Ticket, changes: TicketChanges) -> None:
    ticket.state = TicketState.REFUSED
    changes.refused.append(ticket)
