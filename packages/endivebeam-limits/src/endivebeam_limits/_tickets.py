"""A call that waits for a slot of a target or holds one."""

from dataclasses import dataclass
from enum import Enum

from endivebeam_model import AccountId, Criticality


class TicketState(Enum):
    """Life cycle of a ticket; a slot is held only while it is running."""

    NEW = "new"
    QUEUED = "queued"
    RUNNING = "running"
    REFUSED = "refused"
    RELEASED = "released"


@dataclass(slots=True, kw_only=True, eq=False)
class Ticket:
    """One call at the admission of a target.

    ``weight`` is the contract rate of the account, ``deadline`` monotonic.
    ``order`` is set when the ticket is queued. ``reentrant`` says that an
    earlier call of the same chain holds a slot of the same target.
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
