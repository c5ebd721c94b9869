"""Messages for rate shares: token grants, handover and relayed lease renewals."""

from enum import Enum
from typing import Annotated

import msgspec

from endivebeam_model import AccountId, GrantStatus, NodeId, OperationId

from ._base import PeerMessage, ShortText


class GrantReport(msgspec.Struct, frozen=True, array_like=True):
    """Total tokens of one grant that were spent and returned since it was made."""

    grant_id: int
    spent: float
    returned: float


class GrantRequest(PeerMessage, frozen=True, kw_only=True, tag=20):
    """Requests tokens from the holder of a share and reports spent tokens.

    Either at least ``need`` and at most ``want`` tokens are granted or none; with
    ``need`` 0 the request only reports. ``token`` identifies the process of the
    holder that made the reported grants. Whole amounts are sent as integers, which
    are eight bytes shorter than floats.
    """

    request_id: int
    account: AccountId
    slot: int
    need: float = 0.0
    want: float = 0.0
    token: int = 0
    reports: Annotated[list[GrantReport], msgspec.Meta(max_length=1024)] = []


class GrantReply(PeerMessage, frozen=True, kw_only=True, tag=21):
    """Reply to a ``GrantRequest``.

    ``level`` is the number of tokens left in the bucket, ``token`` identifies the
    holder's process, and ``holder`` is the node that last was known to hold the
    share.
    """

    request_id: int
    status: GrantStatus
    grant_id: int = 0
    tokens: float = 0.0
    level: float = 0.0
    token: int = 0
    holder: NodeId = NodeId("")


class BucketLevel(msgspec.Struct, frozen=True, array_like=True):
    """Level and outstanding tokens of an account's bucket."""

    account: AccountId
    level: float
    outstanding: float


class HandoverRequest(PeerMessage, frozen=True, kw_only=True, tag=22):
    """Hands a share over to its next holder, which writes the row.

    The sender stops granting tokens before it sends this. The receiver writes the
    row only if it still has ``version``. For the last ``age_ms``
    milliseconds the buckets are known to have granted all tokens of the share; -1
    means that no tokens were granted before them.
    """

    request_id: int
    group: int
    slot: int
    epoch: int
    version: int
    age_ms: int
    buckets: Annotated[list[BucketLevel], msgspec.Meta(max_length=16384)]


class HandoverReply(PeerMessage, frozen=True, kw_only=True, tag=25):
    """Reports whether the receiver of a ``HandoverRequest`` holds the share now."""

    request_id: int
    acquired: bool


class RelayedRow(msgspec.Struct, frozen=True, array_like=True):
    """A table row; ``op_id`` identifies the operation that wrote it."""

    key: ShortText
    value: ShortText
    version: int
    op_id: OperationId = OperationId("")


class RelayRequest(PeerMessage, frozen=True, kw_only=True, tag=23):
    """Requests that a node that reaches the store renews share leases.

    A row is written only if it still has the ``version`` given.
    """

    request_id: int
    op_id: OperationId
    rows: Annotated[list[RelayedRow], msgspec.Meta(max_length=1024)]


class RelayOutcome(Enum):
    """Result of relayed writes."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"


class RelayReply(PeerMessage, frozen=True, kw_only=True, tag=24):
    """Reply to a ``RelayRequest``; ``rows`` are the conflicting rows."""

    request_id: int
    outcome: RelayOutcome
    rows: Annotated[list[RelayedRow], msgspec.Meta(max_length=1024)] = []
