"""Outcomes specific to at-most-once calls."""

from endivebeam_model import RefusalReason, RunStatus
from endivebeam_store import StoredAnswer
from endivebeam_wire import CallAnswer, CallRefused, CallRequest, Header

from ._outcomes import NO_LOAD, RETRY_AFTER_S, refuse


def replay(call: CallRequest, answer: StoredAnswer) -> CallAnswer:
    """Return the stored answer of the first call as the outcome of a retry."""
    return CallAnswer(
        request_id=0,
        status=answer.status,
        headers=[Header(name, value) for name, value in answer.headers],
        body=answer.body,
        retry_credits=call.retry_credits,
        load=NO_LOAD,
    )


def refuse_store_unavailable(call: CallRequest, message: str) -> CallRefused:
    """Reject an attempt whose claim could not be written or confirmed."""
    return refuse(
        RefusalReason.STORE_UNAVAILABLE,
        f"{message}; this attempt did not run, but an earlier one with the same "
        "Idempotency-Key may have: retry with that key",
        retry_after_s=RETRY_AFTER_S,
        credits=call.retry_credits,
    )


def refuse_key_reused(call: CallRequest) -> CallRefused:
    """Reject a request whose idempotency key belongs to another request."""
    return refuse(
        RefusalReason.KEY_REUSED,
        "this Idempotency-Key belongs to another request; send a new key",
        credits=call.retry_credits,
    )


def refuse_in_progress(call: CallRequest) -> CallRefused:
    """Reject a retry whose first call has not ended or cannot be queried."""
    return refuse(
        RefusalReason.CALL_IN_PROGRESS,
        "a call with this Idempotency-Key is still running, or its node does not "
        "answer; retry with the same key",
        run=RunStatus.UNKNOWN,
        retry_after_s=RETRY_AFTER_S,
        credits=call.retry_credits,
    )


def refuse_not_readable(call: CallRequest) -> CallRefused:
    """Reject a retry if the record or answer of its first call is not readable."""
    return refuse(
        RefusalReason.CALL_IN_PROGRESS,
        "the outcome of the first call cannot be read now; retry with the same key",
        run=RunStatus.UNKNOWN,
        retry_after_s=RETRY_AFTER_S,
        credits=call.retry_credits,
    )


def refuse_outcome_unknown(call: CallRequest) -> CallRefused:
    """Reject a retry whose first call may have run but has no stored answer."""
    return refuse(
        RefusalReason.OUTCOME_UNKNOWN,
        "the first call with this Idempotency-Key was lost with its node or "
        "target; look up whether it ran before sending a new key",
        run=RunStatus.UNKNOWN,
        credits=call.retry_credits,
    )
