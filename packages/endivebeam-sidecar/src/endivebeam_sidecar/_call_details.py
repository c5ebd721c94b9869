"""Log details of calls that the local target does not run to their end."""

from endivebeam_fleet import AdmissionQueue, Ticket
from endivebeam_model import Semantics
from endivebeam_wire import ForwardRequest

from ._clock import read_clock
from ._decisions import CallRejectionDetail, CancellationDetail


def describe_rejection(
    call: ForwardRequest, reason: str, queue: AdmissionQueue
) -> CallRejectionDetail:
    """Return the detail of a call that was rejected before it was sent."""
    return CallRejectionDetail(
        id=call.call_id,
        reason=reason,
        rank=call.rank,
        running=queue.running,
        waiting=queue.waiting,
        limit=queue.limit(read_clock()),
        hold_ms=int(queue.hold_s * 1000),
        left_ms=call.budget_ms,
    )


def describe_cancellation(
    call: ForwardRequest, ticket: Ticket, *, was_sent: bool
) -> CancellationDetail:
    """Return the detail of a call that was cancelled by its caller."""
    return CancellationDetail(
        id=call.call_id,
        state="running" if was_sent else "waiting",
        held_ms=int((read_clock() - ticket.arrived_at) * 1000),
        goes_on=was_sent and call.semantics is Semantics.AT_MOST_ONCE,
    )
