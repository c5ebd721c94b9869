"""Tickets of calls that wait for or hold a slot of a target."""

from dataclasses import dataclass
from enum import Enum

from endivebeam_model import AccountId, Criticality


class TicketState(Enum):
    """State of a ticket; it holds a slot only while it is running."""

    NEW = "new"
    QUEUED = "queued"
    RUNNING = "running"
    REFUSED = "refused"
    RELEASED = "released"


@dataclass(slots=True, kw_only=True, eq=False)
class Ticket:
    """One call in the admission of a target.

    ``weight`` is the contract rate of the account in calls per second. ``started``
    and ``deadline`` are monotonic seconds. ``order`` is the arrival order and is
    set when the ticket is queued. ``reentrant`` is true if an earlier call of the
    same chain holds a slot of the same target.
    """

    account: AccountId
    weight: float
    criticality: Criticality
    depth: int
    deadline: float
    reentrant: bool = False
    state: TicketState = TicketState.NEW
    started: float = 0.0
    order: int = 0
