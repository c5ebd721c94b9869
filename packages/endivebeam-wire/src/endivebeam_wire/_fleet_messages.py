"""Messages for membership and configuration."""

from collections.abc import Sequence
from typing import Annotated

import msgspec

from endivebeam_model import (
    AgedMember,
    ConfigVersion,
    DomainName,
    KeyDigest,
    LogEntry,
    Member,
    NodeId,
)

from ._base import Body, PeerMessage

RumorMembers = Annotated[tuple[Member, ...], msgspec.Meta(max_length=64)]
RumorEntries = Annotated[tuple[LogEntry, ...], msgspec.Meta(max_length=64)]
KeyDigests = Annotated[tuple[KeyDigest, ...], msgspec.Meta(max_length=4096)]
Indexes = Annotated[tuple[int, ...], msgspec.Meta(max_length=256)]
Digests = Annotated[list[int], msgspec.Meta(max_length=4096)]
AgedMembers = Annotated[list[AgedMember], msgspec.Meta(max_length=4096)]


class Hello(PeerMessage, frozen=True, kw_only=True, tag=1):
    """First message that each side of a stream sends.

    ``process_token`` differs between the processes that a node runs one after the
    other, or is 0.
    """

    protocol: int
    node_id: NodeId
    incarnation: int
    domain: DomainName
    process_token: int = 0


class Heartbeat(PeerMessage, frozen=True, kw_only=True, tag=2):
    """Requests an echo; has the sender's configuration version and member digest."""

    request_id: int
    config_version: ConfigVersion = ConfigVersion(0)
    member_digest: int = 0


class HeartbeatEcho(PeerMessage, frozen=True, kw_only=True, tag=3):
    """Reply to a heartbeat.

    ``store_age_ms`` is the age of the latest evidence that the platform's store
    responded to any node, -1 when there is none. ``domain_ages_ms`` has the age of
    the latest contact with each domain.
    """

    request_id: int
    config_version: ConfigVersion = ConfigVersion(0)
    member_digest: int = 0
    store_age_ms: int = -1
    domain_ages_ms: dict[DomainName, int] = {}


class EntriesRequest(PeerMessage, frozen=True, kw_only=True, tag=10):
    """Requests the committed changes after a version."""

    request_id: int
    after: ConfigVersion


class EntriesReply(PeerMessage, frozen=True, kw_only=True, tag=11):
    """Committed changes in order of version; not always all that were requested."""

    request_id: int
    entries: Sequence[LogEntry]


class Rumor(PeerMessage, frozen=True, kw_only=True, tag=30):
    """Updates that each node forwards once; the acknowledgement paces the sender."""

    request_id: int
    members: RumorMembers = ()
    entries: RumorEntries = ()
    withdrawn: KeyDigests = ()


class RumorAck(PeerMessage, frozen=True, kw_only=True, tag=31):
    """Acknowledges a ``Rumor``."""

    request_id: int


class DigestRequest(PeerMessage, frozen=True, kw_only=True, tag=32):
    """Requests digests from the receiver's hash tree of member records.

    ``indexes`` are the tree nodes of ``level`` whose children's digests are requested.
    ``withdrawn`` are the keys that the sender knows to be withdrawn ahead of the
    configuration log. Both sides send them with the first level only.
    """

    request_id: int
    level: int
    indexes: Indexes
    withdrawn: KeyDigests = ()


class DigestReply(PeerMessage, frozen=True, kw_only=True, tag=33):
    """Digests of the children, sixteen for each requested index."""

    request_id: int
    digests: Digests
    withdrawn: KeyDigests = ()


class LeavesRequest(PeerMessage, frozen=True, kw_only=True, tag=34):
    """Sends the records of leaves that differ and requests the receiver's records.

    ``leaves`` are indexes of leaves of the hash tree.
    """

    request_id: int
    leaves: Indexes
    records: AgedMembers


class LeavesReply(PeerMessage, frozen=True, kw_only=True, tag=35):
    """The receiver's records of the requested leaves."""

    request_id: int
    records: AgedMembers


class SnapshotRequest(PeerMessage, frozen=True, kw_only=True, tag=36):
    """Requests a part of an encoded snapshot.

    ``version`` 0 requests the first part of the snapshot in force.
    """

    request_id: int
    version: ConfigVersion = ConfigVersion(0)
    offset: int = 0


class SnapshotReply(PeerMessage, frozen=True, kw_only=True, tag=37):
    """A part of a snapshot that is encoded as JSON.

    When the snapshot has another version than the requested one, the part starts at
    offset 0 again. ``size`` is the length of the whole encoding in bytes.
    """

    request_id: int
    version: ConfigVersion
    offset: int
    size: int
    data: Body
    withdrawn: KeyDigests = ()
