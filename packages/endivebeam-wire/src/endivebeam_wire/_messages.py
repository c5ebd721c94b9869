"""Typed messages between nodes.

Every message is a msgpack array that starts with its tag. A message that asks
for a reply has a ``request_id``, unique for the life of its stream and never
reused, so that a late reply cannot be taken for another one.
"""

from collections.abc import Sequence
from typing import Annotated, NamedTuple

import msgspec

from endivebeam_model import (
    AccountId,
    ChainId,
    ConfigVersion,
    Criticality,
    DomainName,
    LogEntry,
    Member,
    NodeId,
    OperationId,
    Refusal,
    Semantics,
    ServiceName,
)

PROTOCOL_VERSION = 1
MAX_BODY_BYTES = 1 << 20
MAX_FRAME_BYTES = MAX_BODY_BYTES + (64 << 10)
MAX_HEADERS = 128

ShortText = Annotated[str, msgspec.Meta(max_length=256)]
PathText = Annotated[str, msgspec.Meta(max_length=8192)]
Body = Annotated[bytes, msgspec.Meta(max_length=MAX_BODY_BYTES)]


class Header(NamedTuple):
    """One HTTP header field; the name is in lower case."""

    name: bytes
    value: bytes


Headers = Annotated[list[Header], msgspec.Meta(max_length=MAX_HEADERS)]


class _Message(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base of all messages."""


class Hello(_Message, frozen=True, kw_only=True, tag=1):
    """Opens a stream in both directions."""

    protocol: int
    node_id: NodeId
    incarnation: int
    domain: DomainName


class Heartbeat(_Message, frozen=True, kw_only=True, tag=2):
    """Asks for an echo; carries what may differ between two nodes."""

    request_id: int
    config_version: ConfigVersion = ConfigVersion(0)
    member_digest: int = 0


class HeartbeatEcho(_Message, frozen=True, kw_only=True, tag=3):
    """Answers a heartbeat.

    Ages are in milliseconds. ``store_age_ms`` is the age of the latest
    evidence that the platform's store answered anyone; -1 when there is none.
    ``domain_ages_ms`` has the age of the latest contact with each domain.
    """

    request_id: int
    config_version: ConfigVersion = ConfigVersion(0)
    member_digest: int = 0
    store_age_ms: int = -1
    domain_ages_ms: dict[DomainName, int] = {}


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of a target as its node sees it."""

    in_use: int
    limit: int


class CallRequest(_Message, frozen=True, kw_only=True, tag=4):
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


class CallAnswer(_Message, frozen=True, kw_only=True, tag=5):
    """The whole answer of a target."""

    request_id: int
    status: int
    headers: Headers
    body: Body
    retry_credits: int
    load: LoadReport


class CallRefused(_Message, frozen=True, kw_only=True, tag=6):
    """The call was not answered by a target."""

    request_id: int
    refusal: Refusal
    retry_credits: int
    load: LoadReport


class CancelCall(_Message, frozen=True, kw_only=True, tag=7):
    """The caller is gone; its call may stop."""

    request_id: int


class SyncMembers(_Message, frozen=True, kw_only=True, tag=8):
    """Sends member records and asks for those of the receiver."""

    request_id: int
    members: Sequence[Member]


class MemberList(_Message, frozen=True, kw_only=True, tag=9):
    """Member records of the sender."""

    request_id: int
    members: Sequence[Member]


class AskEntries(_Message, frozen=True, kw_only=True, tag=10):
    """Asks for committed changes after a version."""

    request_id: int
    after: ConfigVersion


class Entries(_Message, frozen=True, kw_only=True, tag=11):
    """Committed changes in order of version; may be fewer than asked for."""

    request_id: int
    entries: Sequence[LogEntry]


class GrantReport(msgspec.Struct, frozen=True, array_like=True):
    """Totals of spent and returned tokens of one grant since it was made."""

    grant_id: int
    spent: float
    returned: float


class AskGrant(_Message, frozen=True, kw_only=True, tag=20):
    """Asks the holder of a share for tokens and reports spent ones.

    At least ``need`` tokens are granted, or none. ``token`` names the holder's
    process that the reports are for. Without a need it only reports. Whole
    amounts are sent as integers, which are eight bytes shorter than floats.
    """

    request_id: int
    account: AccountId
    slot: int
    need: float = 0.0
    want: float = 0.0
    token: int = 0
    reports: Annotated[list[GrantReport], msgspec.Meta(max_length=1024)] = []


class Grant(_Message, frozen=True, kw_only=True, tag=21):
    """Answers ``AskGrant``.

    ``status`` is 0 for granted, 1 for declined, 2 for a holder that may not
    grant now and 3 for a node that is not the holder. ``level`` is what remains
    in the bucket, ``token`` names the holder's process, and ``holder`` is the
    node that holds the share as far as known.
    """

    request_id: int
    status: int
    grant_id: int = 0
    tokens: float = 0.0
    level: float = 0.0
    token: int = 0
    holder: NodeId = NodeId("")


class BucketLevel(msgspec.Struct, frozen=True, array_like=True):
    """Level and outstanding tokens of one account's bucket."""

    account: AccountId
    level: float
    outstanding: float


class HandOverShare(_Message, frozen=True, kw_only=True, tag=22):
    """Hands a share over to its next holder, which writes the row.

    The sender stops granting before it sends this. ``version`` is the row's
    version that the receiver's write depends on. ``age_ms`` is the time since
    which the buckets are complete, -1 since ever.
    """

    request_id: int
    group: int
    slot: int
    epoch: int
    version: int
    age_ms: int
    buckets: Annotated[list[BucketLevel], msgspec.Meta(max_length=16384)]


class ShareTaken(_Message, frozen=True, kw_only=True, tag=25):
    """Answers ``HandOverShare``: whether the receiver holds the share now."""

    request_id: int
    taken: bool


class RelayedRow(msgspec.Struct, frozen=True, array_like=True):
    """A table row; ``op_id`` names the operation that wrote it."""

    key: ShortText
    value: ShortText
    version: int
    op_id: OperationId = OperationId("")


class RelayStore(_Message, frozen=True, kw_only=True, tag=23):
    """Renews share leases through a node that reaches the store.

    ``version`` of a row is the one that the write depends on.
    """

    request_id: int
    op_id: OperationId
    rows: Annotated[list[RelayedRow], msgspec.Meta(max_length=1024)]


class RelayResult(_Message, frozen=True, kw_only=True, tag=24):
    """Answers ``RelayStore``.

    ``outcome`` is ``committed``, ``conflict`` (with the conflicting rows) or
    ``unavailable``.
    """

    request_id: int
    outcome: ShortText
    rows: Annotated[list[RelayedRow], msgspec.Meta(max_length=1024)] = []


Request = (
    Heartbeat
    | CallRequest
    | SyncMembers
    | AskEntries
    | AskGrant
    | HandOverShare
    | RelayStore
)
Reply = (
    HeartbeatEcho
    | CallAnswer
    | CallRefused
    | MemberList
    | Entries
    | Grant
    | ShareTaken
    | RelayResult
)
Message = Hello | CancelCall | Request | Reply
