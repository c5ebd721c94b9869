"""Messages of the call path and of at-most-once outcomes."""

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
    """Load of a target as its node sees it."""

    in_use: int
    limit: int


class CallRequest(PeerMessage, frozen=True, kw_only=True, tag=4):
    """A call for the target beside the receiving node.

    ``timeout_ms`` is the time left until the deadline of the call.
    ``retry_credits`` are lent to the receiver and come back with the answer.
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
    """The whole answer of a target."""

    request_id: int
    status: int
    headers: Headers
    body: Body
    retry_credits: int
    load: LoadReport


class CallRefused(PeerMessage, frozen=True, kw_only=True, tag=6):
    """The call was not answered by a target."""

    request_id: int
    refusal: Refusal
    retry_credits: int
    load: LoadReport


class CancelCall(PeerMessage, frozen=True, kw_only=True, tag=7):
    """The caller is gone; its call may stop."""

    request_id: int


class OutcomeState(Enum):
    """What a node knows about the claim of an at-most-once call."""

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_DISPATCHED = "not_dispatched"
    UNKNOWN = "unknown"


class OutcomeRequest(PeerMessage, frozen=True, kw_only=True, tag=40):
    """Asks the node that claimed an at-most-once call how the call ended."""

    request_id: int
    op_id: OperationId


class OutcomeReply(PeerMessage, frozen=True, kw_only=True, tag=41):
    """What became of a claim; the answer is present in state ``ANSWERED``.

    ``NOT_DISPATCHED`` promises that the claim never leads to a dispatch.
    """

    request_id: int
    state: OutcomeState
    status: int = 0
    headers: Headers = []
    body: Body = b""
