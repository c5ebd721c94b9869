"""Unions of all messages between nodes.

Every message is a msgpack array that starts with its tag. A request has a
``request_id`` that is never reused on the same stream, so that a late reply cannot
be delivered to another request.
"""

from ._call_messages import (
    CallAnswer,
    CallRefused,
    CallRequest,
    CancelCall,
    OutcomeReply,
    OutcomeRequest,
)
from ._count_messages import WriteCountsReply, WriteCountsRequest
from ._fleet_messages import (
    DigestReply,
    DigestRequest,
    EntriesReply,
    EntriesRequest,
    Heartbeat,
    HeartbeatEcho,
    Hello,
    LeavesReply,
    LeavesRequest,
    Rumor,
    RumorAck,
    SnapshotReply,
    SnapshotRequest,
)
from ._rate_messages import (
    GrantReply,
    GrantRequest,
    HandoverReply,
    HandoverRequest,
    RelayReply,
    RelayRequest,
)
from ._sidecar_messages import (
    ConfigReply,
    ConfigRequest,
    ForwardReply,
    ForwardRequest,
    OutcomeQuery,
    SyncReply,
    SyncRequest,
    TokenReply,
    TokenRequest,
)

Request = (
    Heartbeat
    | CallRequest
    | EntriesRequest
    | OutcomeRequest
    | GrantRequest
    | HandoverRequest
    | RelayRequest
    | Rumor
    | DigestRequest
    | LeavesRequest
    | SnapshotRequest
    | WriteCountsRequest
    | ForwardRequest
    | OutcomeQuery
    | SyncRequest
    | ConfigRequest
    | TokenRequest
)
Reply = (
    HeartbeatEcho
    | CallAnswer
    | CallRefused
    | EntriesReply
    | OutcomeReply
    | GrantReply
    | HandoverReply
    | RelayReply
    | RumorAck
    | DigestReply
    | LeavesReply
    | SnapshotReply
    | WriteCountsReply
    | ForwardReply
    | SyncReply
    | ConfigReply
    | TokenReply
)
Message = Hello | CancelCall | Request | Reply
