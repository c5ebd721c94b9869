"""HTTP request to a target for a call, and the meaning of its response."""

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from endivebeam_http import HOP_BY_HOP, Response, encode_end_to_end
from endivebeam_wire import ForwardOutcome, ForwardRequest

from ._settings import HeaderNames

_METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
_DROPPED_WITH_BODY = HOP_BY_HOP | {b"content-length"}
# Statuses from which a caller concludes that its request never ran. The response of a
# target that may have run the call must not be forwarded with one of them.
_NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


class CallResult(NamedTuple):
    """How far a call got according to the response; ``reason`` is for the log."""

    outcome: ForwardOutcome
    reason: str = ""


def encode_request(
    call: ForwardRequest, *, names: HeaderNames, instance: str, left_s: float
) -> bytes:
    """Return the encoded request to a target, with the time that is left for it."""
    parts = [f"{call.method} {call.path} HTTP/1.1\r\n".encode("latin-1")]
    parts.append(call.encoded_fields)
    parts.append(
        b"%b: %b\r\n%b: %d\r\n%b: %b\r\n"
        % (
            names.call_id,
            call.call_id.encode("latin-1"),
            names.deadline_ms,
            max(1, int(left_s * 1000)),
            names.expected_instance,
            instance.encode(),
        )
    )
    if call.account:
        parts.append(b"%b: %b\r\n" % (names.account, call.account.encode()))
    if call.body or call.method in _METHODS_WITH_BODY:
        parts.append(b"content-length: %d\r\n" % len(call.body))
    parts.append(b"\r\n")
    parts.append(call.body)
    return b"".join(parts)


def encode_response_fields(response: Response, *, method: str) -> bytes:
    """Return the encoded header fields of a target's response for its caller.

    Keeps ``Content-Length`` only where it is not the length of the body that follows.
    """
    describes_other = method == "HEAD" or response.status == HTTPStatus.NOT_MODIFIED
    dropped = HOP_BY_HOP if describes_other else _DROPPED_WITH_BODY
    return encode_end_to_end(response.fields, dropped=dropped)


def match_response(call_id: str, *, names: HeaderNames) -> Callable[[Response], bool]:
    """Return a predicate that tests whether a response belongs to a call."""
    wanted = call_id.encode("latin-1")
    return lambda response: response.get(names.call_id) == wanted


def classify_response(
    response: Response, *, names: HeaderNames, after_other_responses: bool = False
) -> CallResult:
    """Return the result of a call from the target's complete response.

    ``after_other_responses`` tells that the target sent responses to other requests
    before this one. It is then not trusted that the call did not run.
    """
    status = response.status
    misdirected = status == HTTPStatus.MISDIRECTED_REQUEST
    if misdirected or response.get(names.not_executed) is not None:
        if after_other_responses:
            reason = f"target answered {status} after an answer to another request"
            return CallResult(ForwardOutcome.UNKNOWN, reason)
        reason = f"target answered {status} without running the call"
        return CallResult(ForwardOutcome.NOT_EXECUTED, reason)
    proven = response.get(names.proof) is not None
    if status < HTTPStatus.BAD_REQUEST and not proven:
        reason = "the answer has no proof of the target"
        return CallResult(ForwardOutcome.UNKNOWN, reason)
    if response.get(b"content-encoding") is not None:
        reason = "the answer is encoded, which was not asked for"
        return CallResult(ForwardOutcome.UNKNOWN, reason)
    if status in _NOT_RUN_STATUSES:
        return CallResult(ForwardOutcome.UNKNOWN, f"target answered {status}")
    return CallResult(ForwardOutcome.ANSWERED)
