"""Refusals: why a request was rejected and whether it may have run."""

from http import HTTPStatus

import msgspec

from ._states import RefusalReason, RunStatus

_STATUS_CODES = {
    RefusalReason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    RefusalReason.CONTEXT_MISSING: HTTPStatus.BAD_REQUEST,
    RefusalReason.CHAIN_TOO_DEEP: HTTPStatus.BAD_REQUEST,
    RefusalReason.KEY_MISSING: HTTPStatus.UNAUTHORIZED,
    RefusalReason.KEY_UNKNOWN: HTTPStatus.UNAUTHORIZED,
    RefusalReason.KEY_WITHDRAWN: HTTPStatus.UNAUTHORIZED,
    RefusalReason.SERVICE_NOT_ALLOWED: HTTPStatus.FORBIDDEN,
    RefusalReason.NO_ROUTE: HTTPStatus.NOT_FOUND,
    RefusalReason.REQUEST_TIMEOUT: HTTPStatus.REQUEST_TIMEOUT,
    RefusalReason.CALL_IN_PROGRESS: HTTPStatus.CONFLICT,
    RefusalReason.OUTCOME_UNKNOWN: HTTPStatus.CONFLICT,
    RefusalReason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    RefusalReason.HEADERS_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    RefusalReason.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    RefusalReason.IDEMPOTENCY_KEY_REQUIRED: HTTPStatus.PRECONDITION_REQUIRED,
    RefusalReason.RATE_EXCEEDED: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalReason.TARGET_FAILED: HTTPStatus.BAD_GATEWAY,
    RefusalReason.OVERLOADED: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.NO_TARGET: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.STORE_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.ISOLATED: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.DRAINING: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.DEADLINE_EXCEEDED: HTTPStatus.GATEWAY_TIMEOUT,
}


class Refusal(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The error sent to a caller whose request got no response from a target.

    ``run`` tells whether the request is known not to have run. ``retry_after_s`` is
    None if the request should not be retried.
    """

    reason: RefusalReason
    message: str
    run: RunStatus = RunStatus.NOT_RUN
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """HTTP status code of the refusal."""
        return int(_STATUS_CODES[self.reason])

    def to_json(self) -> bytes:
        """Return the JSON body of the response to the caller."""
        retry_after_ms = None
        if self.retry_after_s is not None:
            retry_after_ms = round(self.retry_after_s * 1000)
        error = {
            "reason": self.reason.value,
            "run": self.run.value,
            "message": self.message,
            "retry_after_ms": retry_after_ms,
        }
        return msgspec.json.encode({"error": error})
