"""Calls of nodes as the admission to a target sees them."""

from endivebeam_fleet import Kind, Slot
from endivebeam_wire import ForwardRequest


def make_slot(call: ForwardRequest, now: float) -> Slot:
    """Return the place of a call that arrives now."""
    return Slot(
        rank=call.rank,
        kind=kind_of(call),
        arrived_at=now,
        objective_s=call.objective_ms / 1000,
        deadline=now + call.budget_ms / 1000,
    )


def kind_of(call: ForwardRequest) -> Kind:
    """Return what a call is to the admission."""
    if call.internal:
        return Kind(internal=True)
    return Kind(internal=False, shed_order=call.shed_order)
