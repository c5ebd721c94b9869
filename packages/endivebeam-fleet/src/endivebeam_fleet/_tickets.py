"""Tickets of calls in the admission queue, ordered by urgency."""

import heapq
import itertools
from enum import Enum
from typing import NamedTuple

import msgspec

# One step of rank is worth this much earlier arrival. As waiting time counts too,
# less urgent calls are delayed but never starved.
RANK_STEP_S = 0.2
# Smaller for internal calls, which wait for less time than requests of callers.
INTERNAL_RANK_STEP_S = 0.05
# Internal calls are ordered as if they had arrived this much earlier, because work
# has already been done for their request.
INTERNAL_HEADSTART_S = 0.04


class CallKind(NamedTuple):
    """Class of calls that share a limit in the admission queue.

    ``internal`` calls are made by a target on behalf of a request that it processes.
    ``shed_order`` is the order in which requests of callers are shed, from 0 (last)
    to 1 (first).
    """

    internal: bool
    shed_order: float = 1.0


class TicketState(Enum):
    """Life cycle of a call in the admission queue."""

    WAITING = "waiting"
    RUNNING = "running"
    REFUSED = "refused"
    DONE = "done"


class Ticket(msgspec.Struct, kw_only=True, eq=False):
    """One call in the admission queue; times are seconds of the node's clock.

    A call that has not started by ``latest_start`` is rejected. ``admitted_part`` is
    the part of the requests like that of the call that was admitted before it arrived.
    """

    rank: float
    kind: CallKind
    arrived_at: float
    objective_s: float
    deadline: float
    state: TicketState = TicketState.WAITING
    started_at: float = 0.0
    latest_start: float = 0.0
    admitted_part: float = 1.0

    @property
    def urgency(self) -> float:
        """Sort key of the queue in seconds; the smallest is served first."""
        if self.kind.internal:
            offset_s = self.rank * INTERNAL_RANK_STEP_S - INTERNAL_HEADSTART_S
        else:
            offset_s = self.rank * RANK_STEP_S
        return self.arrived_at + offset_s


class WaitingCalls:
    """Priority queue of the waiting calls of one kind.

    Tickets whose state changed while they were queued are skipped.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Ticket]] = []
        self._sequence = itertools.count()
        self._count = 0

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return self._count

    def add(self, ticket: Ticket) -> None:
        """Add a call."""
        heapq.heappush(self._heap, (ticket.urgency, next(self._sequence), ticket))
        self._count += 1

    def decrement(self) -> None:
        """Reduce the count by a queued call that ended while it waited."""
        self._count -= 1

    def count_ahead(self, urgency: float) -> int:
        """Return how many calls are served before one of that urgency."""
        return sum(
            1 for key, _, ticket in self._heap if key <= urgency and _is_waiting(ticket)
        )

    def first(self) -> Ticket | None:
        """Return the most urgent call, or None."""
        while self._heap and not _is_waiting(self._heap[0][2]):
            heapq.heappop(self._heap)
        return self._heap[0][2] if self._heap else None

    def pop_first(self) -> Ticket:
        """Remove and return the most urgent call."""
        _, _, ticket = heapq.heappop(self._heap)
        self._count -= 1
        return ticket

    def clear(self) -> list[Ticket]:
        """Remove and return all waiting calls."""
        tickets = [ticket for _, _, ticket in self._heap if _is_waiting(ticket)]
        self._heap.clear()
        self._count = 0
        return tickets


def _is_waiting(ticket: Ticket) -> bool:
    return ticket.state is TicketState.WAITING
