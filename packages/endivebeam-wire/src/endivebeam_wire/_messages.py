"""Typed messages between nodes.

Every message is a msgpack array that starts with its tag. A message that asks
for a reply has a ``request_id``, unique for the life of its stream and never
reused, so that a late reply cannot be taken for another one.
"""

from collections.abc import Sequence
from typing import Annotated, NamedTuple

import msgspec

from endivebeam_model import (
    AccountCounts,
    AccountId,
    ChainId,
    ConfigVersion,
    Criticality,
    DomainName,
    LogEntry,
    Member,
    NodeId,
    Refusal,
    Semantics,
    ServiceName,
)

PROTOCOL_VERSION = 1
MAX_BODY_BYTES = 1 << 20
MAX_FRAME_BYTES = MAX_BODY_BYTES + (64 << 10)
MAX_HEADERS = 128
MAX_COUNTS = 2048

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


class SendCounts(_Message, frozen=True, kw_only=True, tag=30):
    """Sends a node's counts of one minute to the writer of its domain."""

    request_id: int
    sender: ShortText
    minute: int
    counts: Annotated[Sequence[AccountCounts], msgspec.Meta(max_length=MAX_COUNTS)]


class CountsKept(_Message, frozen=True, kw_only=True, tag=31):
    """Says whether the counts are in the object store."""

    request_id: int
    kept: bool


Request = Heartbeat | CallRequest | SyncMembers | AskEntries | SendCounts
Reply = HeartbeatEcho | CallAnswer | CallRefused | MemberList | Entries | CountsKept
Message = Hello | CancelCall | Request | Reply
