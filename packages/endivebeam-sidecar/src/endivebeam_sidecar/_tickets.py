"""Calls of nodes as the admission to a target sees them."""

from endivebeam_fleet import CallKind, Ticket
from endivebeam_wire import ForwardRequest


def make_ticket(call: ForwardRequest, now: float) -> Ticket:
    """Return the ticket of a call that arrives now."""
    return Ticket(
        rank=call.rank,
        kind=kind_of(call),
        arrived_at=now,
        objective_s=call.objective_ms / 1000,
        deadline=now + call.budget_ms / 1000,
    )


def kind_of(call: ForwardRequest) -> CallKind:
    """Return what a call is to the admission."""
    if call.internal:
        return CallKind(internal=True)
    return CallKind(internal=False, shed_order=call.shed_order)
