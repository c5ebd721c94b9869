"""Gates in front of the targets of ``benchmarks.overload_model``."""

from collections import deque
from typing import Protocol

from endivebeam_limits import Admission, Ticket, TicketChanges, TicketState


class Gate(Protocol):
    """What decides at a target which calls run."""

    def arrive(self, ticket: Ticket, now: float) -> TicketChanges:
        """Start, queue or refuse a call."""

    def release(self, ticket: Ticket, now: float) -> TicketChanges:
        """Give up a slot or a place in the queue."""

    def load(self) -> float:
        """Return running and waiting calls per slot."""

    def ended(self, ticket: Ticket, now: float, nested_s: float) -> None:
        """Learn from a call that was answered."""

    def abandoned(self, ticket: Ticket, now: float, nested_s: float) -> None:
        """Learn from a call that was cancelled."""


class FifoGate:
    """First in, first out, with a bound on the waiting calls."""

    def __init__(self, slots: int, bound: float) -> None:
        self._slots = slots
        self._bound = bound
        self._running = 0
        self._waiting: deque[Ticket] = deque()

    def arrive(self, ticket: Ticket, now: float) -> TicketChanges:
        """Start, queue or refuse a call."""
        if self._running < self._slots:
            return TicketChanges(started=[self._start(ticket, now)])
        if len(self._waiting) >= self._bound:
            return TicketChanges(refused=[ticket])
        self._waiting.append(ticket)
        return TicketChanges()

    def release(self, ticket: Ticket, now: float) -> TicketChanges:
        """Give up a slot."""
        self._running -= 1
        if not self._waiting:
            return TicketChanges()
        return TicketChanges(started=[self._start(self._waiting.popleft(), now)])

    def load(self) -> float:
        """Return running and waiting calls per slot."""
        return (self._running + len(self._waiting) + 1) / self._slots

    def ended(self, ticket: Ticket, now: float, nested_s: float) -> None:
        """Learn nothing."""

    def abandoned(self, ticket: Ticket, now: float, nested_s: float) -> None:
        """Learn nothing."""

    def _start(self, ticket: Ticket, now: float) -> Ticket:
        self._running += 1
        ticket.state = TicketState.RUNNING
        ticket.started = now
        return ticket


class AdaptiveGate:
    """The mechanism under test."""

    def __init__(self, slots: int) -> None:
        self.admission = Admission()
        self.admission.start_cold(slots, 0.0)

    def arrive(self, ticket: Ticket, now: float) -> TicketChanges:
        """Start, queue or refuse a call."""
        return self.admission.arrive(ticket, now)

    def release(self, ticket: Ticket, now: float) -> TicketChanges:
        """Give up a slot or a place in the queue."""
        return self.admission.release(ticket, now)

    def load(self) -> float:
        """Return running and waiting calls per slot."""
        admission = self.admission
        return (admission.in_use + len(admission.queue) + 1) / admission.limit.limit

    def ended(self, ticket: Ticket, now: float, nested_s: float) -> None:
        """Adjust the limit."""
        self.admission.limit.observe(ticket.started, now, nested_s)

    def abandoned(self, ticket: Ticket, now: float, nested_s: float) -> None:
        """Adjust the limit."""
        self.admission.limit.observe_abandoned(ticket.started, now, nested_s)
