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
    AgedMember,
    ChainId,
    ConfigVersion,
    Criticality,
    DomainName,
    KeyDigest,
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

ShortText = Annotated[str, msgspec.Meta(max_length=256)]
PathText = Annotated[str, msgspec.Meta(max_length=8192)]
Body = Annotated[bytes, msgspec.Meta(max_length=MAX_BODY_BYTES)]

RumorMembers = Annotated[tuple[Member, ...], msgspec.Meta(max_length=64)]
RumorEntries = Annotated[tuple[LogEntry, ...], msgspec.Meta(max_length=64)]
KeyDigests = Annotated[tuple[KeyDigest, ...], msgspec.Meta(max_length=4096)]
Indexes = Annotated[tuple[int, ...], msgspec.Meta(max_length=256)]
Digests = Annotated[list[int], msgspec.Meta(max_length=4096)]
AgedMembers = Annotated[list[AgedMember], msgspec.Meta(max_length=4096)]


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


class AskEntries(_Message, frozen=True, kw_only=True, tag=10):
    """Asks for committed changes after a version."""

    request_id: int
    after: ConfigVersion


class Entries(_Message, frozen=True, kw_only=True, tag=11):
    """Committed changes in order of version; may be fewer than asked for."""

    request_id: int
    entries: Sequence[LogEntry]


class Rumor(_Message, frozen=True, kw_only=True, tag=30):
    """News that each node passes on once; the acknowledgement paces the sender."""

    request_id: int
    members: RumorMembers = ()
    entries: RumorEntries = ()
    withdrawn: KeyDigests = ()


class RumorAck(_Message, frozen=True, kw_only=True, tag=31):
    """The rumors arrived."""

    request_id: int


class DigestRequest(_Message, frozen=True, kw_only=True, tag=32):
    """Asks for the digests below nodes of the receiver's hash tree.

    ``withdrawn`` are the keys that the sender knows to be withdrawn ahead of
    the configuration log. The sets are exchanged with the first level.
    """

    request_id: int
    level: int
    indexes: Indexes
    withdrawn: KeyDigests = ()


class DigestReply(_Message, frozen=True, kw_only=True, tag=33):
    """Digests of the children, sixteen for each index that was asked for."""

    request_id: int
    digests: Digests
    withdrawn: KeyDigests = ()


class ExchangeLeaves(_Message, frozen=True, kw_only=True, tag=34):
    """Sends the records of differing leaves and asks for the receiver's."""

    request_id: int
    leaves: Indexes
    records: AgedMembers


class LeafRecords(_Message, frozen=True, kw_only=True, tag=35):
    """The receiver's records of the leaves."""

    request_id: int
    records: AgedMembers


class AskSnapshot(_Message, frozen=True, kw_only=True, tag=36):
    """Asks for a piece of an encoded snapshot.

    ``version`` 0 asks for the first piece of the snapshot in force.
    """

    request_id: int
    version: ConfigVersion = ConfigVersion(0)
    offset: int = 0


class SnapshotPiece(_Message, frozen=True, kw_only=True, tag=37):
    """A piece of the snapshot of a version; its encoding is JSON.

    A piece of another version than was asked for starts at offset 0 again.
    ``size`` is the length of the whole encoding.
    """

    request_id: int
    version: ConfigVersion
    offset: int
    size: int
    data: Body
    withdrawn: KeyDigests = ()


Request = (
    Heartbeat
    | CallRequest
    | AskEntries
    | Rumor
    | DigestRequest
    | ExchangeLeaves
    | AskSnapshot
)
Reply = (
    HeartbeatEcho
    | CallAnswer
    | CallRefused
    | Entries
    | RumorAck
    | DigestReply
    | LeafRecords
    | SnapshotPiece
)
Message = Hello | CancelCall | Request | Reply
