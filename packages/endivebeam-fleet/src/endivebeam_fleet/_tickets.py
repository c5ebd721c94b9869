"""Calls that wait in an order by urgency."""

import heapq
import itertools
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

# One step of rank outweighs this much earlier arrival, so that less urgent
# calls are delayed but never starved.
RANK_STEP_S = 0.2
# Internal calls wait for less time than requests of callers.
INTERNAL_RANK_STEP_S = 0.05
# Calls of a target belong to a request that has already cost work.
INTERNAL_HEADSTART_S = 0.04


class CallKind(NamedTuple):
    """Calls that an admission queue treats alike.

    ``internal`` calls are made by a target on behalf of a request that it runs.
    ``shed_order`` tells from 0 (last) to 1 (first) when requests of callers are shed.
    """

    internal: bool
    shed_order: float = 1.0


class TicketState(Enum):
    """Life cycle of a call in the admission queue."""

    WAITING = "waiting"
    RUNNING = "running"
    REFUSED = "refused"
    DONE = "done"


@dataclass(slots=True, kw_only=True, eq=False)
class Ticket:
    """One call in the admission queue; times are seconds of the node's clock.

    ``latest_start`` is when waiting longer is no use.
    """

    rank: float
    kind: CallKind
    arrived_at: float
    objective_s: float
    deadline: float
    state: TicketState = TicketState.WAITING
    started_at: float = 0.0
    latest_start: float = 0.0

    @property
    def urgency(self) -> float:
        """Key of the order; the smaller goes first."""
        if self.kind.internal:
            offset_s = self.rank * INTERNAL_RANK_STEP_S - INTERNAL_HEADSTART_S
        else:
            offset_s = self.rank * RANK_STEP_S
        return self.arrived_at + offset_s


class WaitingCalls:
    """Waiting calls of one kind; those that ended otherwise are passed over."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Ticket]] = []
        self._order = itertools.count()
        self._count = 0

    def __len__(self) -> int:
        """Return the number of calls that wait."""
        return self._count

    def add(self, ticket: Ticket) -> None:
        """Add a call."""
        heapq.heappush(self._heap, (ticket.urgency, next(self._order), ticket))
        self._count += 1

    def forget(self) -> None:
        """Count one call less, because its state changed outside."""
        self._count -= 1

    def count_ahead(self, urgency: float) -> int:
        """Return how many calls go before one of that urgency."""
        return sum(1 for key, _, s in self._heap if key <= urgency and _waits(s))

    def first(self) -> Ticket | None:
        """Return the call that goes first, or None."""
        while self._heap and not _waits(self._heap[0][2]):
            heapq.heappop(self._heap)
        return self._heap[0][2] if self._heap else None

    def take_first(self) -> Ticket:
        """Remove and return the call that goes first."""
        _, _, ticket = heapq.heappop(self._heap)
        self._count -= 1
        return ticket

    def clear(self) -> list[Ticket]:
        """Remove and return all calls that wait."""
        tickets = [ticket for _, _, ticket in self._heap if _waits(ticket)]
        self._heap.clear()
        self._count = 0
        return tickets


def _waits(ticket: Ticket) -> bool:
    return ticket.state is TicketState.WAITING
