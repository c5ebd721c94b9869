"""Messages of rate shares: grants, handover and relayed leases."""

from enum import Enum
from typing import Annotated

import msgspec

from endivebeam_model import AccountId, GrantStatus, NodeId, OperationId

from ._base import PeerMessage, ShortText


class GrantReport(msgspec.Struct, frozen=True, array_like=True):
    """Totals of spent and returned tokens of one grant since it was made."""

    grant_id: int
    spent: float
    returned: float


class GrantRequest(PeerMessage, frozen=True, kw_only=True, tag=20):
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


class GrantReply(PeerMessage, frozen=True, kw_only=True, tag=21):
    """Answers ``GrantRequest``.

    ``level`` is what remains in the bucket, ``token`` names the holder's
    process, and ``holder`` is the node that holds the share as far as known.
    """

    request_id: int
    status: GrantStatus
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


class HandoverRequest(PeerMessage, frozen=True, kw_only=True, tag=22):
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


class HandoverReply(PeerMessage, frozen=True, kw_only=True, tag=25):
    """Answers ``HandoverRequest``: whether the receiver holds the share now."""

    request_id: int
    taken: bool


class RelayedRow(msgspec.Struct, frozen=True, array_like=True):
    """A table row; ``op_id`` names the operation that wrote it."""

    key: ShortText
    value: ShortText
    version: int
    op_id: OperationId = OperationId("")


class RelayRequest(PeerMessage, frozen=True, kw_only=True, tag=23):
    """Renews share leases through a node that reaches the store.

    ``version`` of a row is the one that the write depends on.
    """

    request_id: int
    op_id: OperationId
    rows: Annotated[list[RelayedRow], msgspec.Meta(max_length=1024)]


class RelayOutcome(Enum):
    """What became of relayed writes."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"


class RelayReply(PeerMessage, frozen=True, kw_only=True, tag=24):
    """Answers ``RelayRequest``; ``rows`` are the conflicting rows."""

    request_id: int
    outcome: RelayOutcome
    rows: Annotated[list[RelayedRow], msgspec.Meta(max_length=1024)] = []
