"""Replies to a forwarded call, by what became of it at the target."""

import random
from collections.abc import Callable

from endivebeam_http import Response
from endivebeam_wire import ForwardOutcome, ForwardReply, ForwardRequest, TargetLoad

from ._target_http import encode_response_fields

MIN_RETRY_AFTER_S = 0.1
SHED_RETRY_AFTER_S = 1.0
MAX_REASON_LENGTH = 200

OnEnd = Callable[[ForwardReply], None]
"""Receives the outcome of a call."""


def ignore_end(reply: ForwardReply) -> None:
    """Do nothing with the outcome of a call that nobody asks for again."""


def make_answer(
    call: ForwardRequest, response: Response, load: TargetLoad
) -> ForwardReply:
    """Return the reply with the target's response."""
    return ForwardReply(
        request_id=call.request_id,
        outcome=ForwardOutcome.ANSWERED,
        load=load,
        status=response.status,
        encoded_fields=encode_response_fields(response, method=call.method),
        body=response.body,
    )


def make_failure(
    call: ForwardRequest, outcome: ForwardOutcome, reason: str, load: TargetLoad
) -> ForwardReply:
    """Return the reply for a call that was sent to the target and got no answer."""
    return ForwardReply(
        request_id=call.request_id,
        outcome=outcome,
        load=load,
        reason=reason[:MAX_REASON_LENGTH],
    )


def make_unknown(call: ForwardRequest, reason: str, load: TargetLoad) -> ForwardReply:
    """Return the reply for a call that was sent to the target and may have run."""
    return make_failure(call, ForwardOutcome.UNKNOWN, reason, load)


def make_shed(call: ForwardRequest, load: TargetLoad) -> ForwardReply:
    """Return the reply for a call that the services behind the target cannot serve.

    Callers that were rejected together are told to return at different times.
    """
    return ForwardReply(
        request_id=call.request_id,
        outcome=ForwardOutcome.REFUSED,
        load=load,
        reason="the services that the target calls are busy",
        retry_after_ms=int(SHED_RETRY_AFTER_S * random.uniform(0.5, 1.5) * 1000),
        shed=True,
    )


def make_rejection(
    call: ForwardRequest, reason: str, load: TargetLoad, *, wait_s: float, leaving: bool
) -> ForwardReply:
    """Return the reply for a call that was not sent to the target.

    ``wait_s`` is the expected time until the target has room.
    """
    return ForwardReply(
        request_id=call.request_id,
        outcome=ForwardOutcome.REFUSED,
        load=load,
        reason=reason,
        retry_after_ms=int(max(MIN_RETRY_AFTER_S, wait_s) * 1000),
        leaving=leaving,
    )


def make_cancellation(call: ForwardRequest, load: TargetLoad) -> ForwardReply:
    """Return the reply for a call that was cancelled before it was sent."""
    reason = "cancelled before it was sent"
    return make_rejection(call, reason, load, wait_s=0.0, leaving=False)
