"""Admission tickets of calls that other nodes forward."""

from endivebeam_fleet import CallKind, Ticket
from endivebeam_wire import ForwardRequest


def make_ticket(call: ForwardRequest, now: float, *, admitted_part: float) -> Ticket:
    """Return the ticket of a call that arrives at ``now``.

    ``admitted_part`` is that of the requests of callers; internal calls carry theirs.
    """
    return Ticket(
        rank=call.rank,
        kind=kind_of(call),
        arrived_at=now,
        objective_s=call.objective_ms / 1000,
        deadline=now + call.budget_ms / 1000,
        admitted_part=call.admitted_part if call.internal else admitted_part,
    )


def kind_of(call: ForwardRequest) -> CallKind:
    """Return the kind by which the admission queue limits a call."""
    if call.internal:
        return CallKind(internal=True)
    return CallKind(internal=False, shed_order=call.shed_order)
