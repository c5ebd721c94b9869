"""Admission gates of the targets in ``benchmarks.overload_model``."""

from collections import deque
from typing import Protocol

from endivebeam_limits import Admission, Ticket, TicketChanges, TicketState


class Gate(Protocol):
    """Admission policy of a target, which decides which calls run."""

    def arrive(self, ticket: Ticket, now: float) -> TicketChanges:
        """Start, queue or reject a call."""

    def release(self, ticket: Ticket, now: float) -> TicketChanges:
        """Release the slot of a running call or remove a queued call."""

    def load(self) -> float:
        """Return running and queued calls per slot."""

    def record_answered(self, ticket: Ticket, now: float, nested_s: float) -> None:
        """Record a call that was answered."""

    def record_cancelled(self, ticket: Ticket, now: float, nested_s: float) -> None:
        """Record a call that was cancelled."""


class FifoGate:
    """Fixed limit of one call per slot and a bounded first-in-first-out queue."""

    def __init__(self, slots: int, bound: float) -> None:
        self._slots = slots
        self._bound = bound
        self._running = 0
        self._waiting: deque[Ticket] = deque()

    def arrive(self, ticket: Ticket, now: float) -> TicketChanges:
        """Start, queue or reject a call."""
        if self._running < self._slots:
            return TicketChanges(started=[self._start(ticket, now)])
        if len(self._waiting) >= self._bound:
            return TicketChanges(refused=[ticket])
        self._waiting.append(ticket)
        return TicketChanges()

    def release(self, ticket: Ticket, now: float) -> TicketChanges:
        """Release a slot and start the next queued call."""
        self._running -= 1
        if not self._waiting:
            return TicketChanges()
        return TicketChanges(started=[self._start(self._waiting.popleft(), now)])

    def load(self) -> float:
        """Return running and queued calls per slot."""
        return (self._running + len(self._waiting) + 1) / self._slots

    def record_answered(self, ticket: Ticket, now: float, nested_s: float) -> None:
        """Ignore the call, since the limit is fixed."""

    def record_cancelled(self, ticket: Ticket, now: float, nested_s: float) -> None:
        """Ignore the call, since the limit is fixed."""

    def _start(self, ticket: Ticket, now: float) -> Ticket:
        self._running += 1
        ticket.state = TicketState.RUNNING
        ticket.started = now
        return ticket


class AdaptiveGate:
    """Admission of the node, with its adaptive limit and fair queue."""

    def __init__(self, slots: int) -> None:
        self.admission = Admission()
        self.admission.start_cold(slots, 0.0)

    def arrive(self, ticket: Ticket, now: float) -> TicketChanges:
        """Start, queue or reject a call."""
        return self.admission.arrive(ticket, now)

    def release(self, ticket: Ticket, now: float) -> TicketChanges:
        """Release the slot of a running call or remove a queued call."""
        return self.admission.release(ticket, now)

    def load(self) -> float:
        """Return running and queued calls per slot of the current limit."""
        admission = self.admission
        return (admission.in_use + len(admission.queue) + 1) / admission.limit.limit

    def record_answered(self, ticket: Ticket, now: float, nested_s: float) -> None:
        """Adjust the limit to the duration of an answered call."""
        self.admission.limit.observe(ticket.started, now, nested_s)

    def record_cancelled(self, ticket: Ticket, now: float, nested_s: float) -> None:
        """Adjust the limit to the duration of a cancelled call."""
        self.admission.limit.observe_abandoned(ticket.started, now, nested_s)
