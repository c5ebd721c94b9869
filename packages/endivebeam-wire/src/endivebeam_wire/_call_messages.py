"""Messages for calls and for the outcomes of at-most-once calls."""

from enum import Enum

import msgspec

from endivebeam_model import (
    AccountId,
    ChainId,
    Criticality,
    OperationId,
    Refusal,
    Semantics,
    ServiceName,
)

from ._base import Body, Headers, PathText, PeerMessage, ShortText


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of a target as its node measures it.

    ``in_use`` counts the calls that run at the target or wait for it.
    """

    in_use: int
    limit: int


class CallRequest(PeerMessage, frozen=True, kw_only=True, tag=4):
    """A call for the target of the receiving node.

    ``timeout_ms`` is the time left until the deadline of the call. The receiver
    may spend ``retry_credits`` and returns the rest with its reply.
    ``idempotency_key`` is empty when the caller sent none.
    """

    request_id: int
    service: ServiceName
    method: ShortText
    path: PathText
    headers: Headers
    body: Body
    account: AccountId
    chain_id: ChainId
    depth: int
    timeout_ms: int
    criticality: Criticality
    semantics: Semantics
    retry_credits: int
    idempotency_key: ShortText = ""


class CallAnswer(PeerMessage, frozen=True, kw_only=True, tag=5):
    """The complete response of a target."""

    request_id: int
    status: int
    headers: Headers
    body: Body
    retry_credits: int
    load: LoadReport


class CallRefused(PeerMessage, frozen=True, kw_only=True, tag=6):
    """The call got no response from a target; ``refusal`` has the reason."""

    request_id: int
    refusal: Refusal
    retry_credits: int
    load: LoadReport


class CancelCall(PeerMessage, frozen=True, kw_only=True, tag=7):
    """Cancels a request whose sender no longer waits for the reply."""

    request_id: int


class OutcomeState(Enum):
    """State of an at-most-once call, as known to the node that claimed it."""

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_DISPATCHED = "not_dispatched"
    UNKNOWN = "unknown"


class OutcomeRequest(PeerMessage, frozen=True, kw_only=True, tag=40):
    """Requests the outcome of an at-most-once call from the node that claimed it."""

    request_id: int
    op_id: OperationId


class OutcomeReply(PeerMessage, frozen=True, kw_only=True, tag=41):
    """Outcome of a claimed call; has the response in state ``ANSWERED``.

    ``NOT_DISPATCHED`` guarantees that the claim never leads to a dispatch.
    """

    request_id: int
    state: OutcomeState
    status: int = 0
    headers: Headers = []
    body: Body = b""
