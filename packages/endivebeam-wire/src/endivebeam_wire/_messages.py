"""All typed messages between nodes.

Every message is a msgpack array that starts with its tag. A message that asks
for a reply has a ``request_id``, unique for the life of its stream and never
reused, so that a late reply cannot be taken for another one.
"""

from ._burn_messages import CountsKept, SendCounts
from ._call_messages import (
    AskOutcome,
    CallAnswer,
    CallRefused,
    CallRequest,
    CancelCall,
    Outcome,
)
from ._fleet_messages import (
    AskEntries,
    AskSnapshot,
    DigestReply,
    DigestRequest,
    Entries,
    ExchangeLeaves,
    Heartbeat,
    HeartbeatEcho,
    Hello,
    LeafRecords,
    Rumor,
    RumorAck,
    SnapshotPiece,
)
from ._rate_messages import (
    AskGrant,
    Grant,
    HandOverShare,
    RelayResult,
    RelayStore,
    ShareTaken,
)
from ._sidecar_messages import (
    AllowanceTokens,
    AskConfigPart,
    AskFleetState,
    ConfigPart,
    FleetState,
    ForwardCall,
    ForwardReply,
    LendAllowances,
)

Request = (
    Heartbeat
    | CallRequest
    | AskEntries
    | AskOutcome
    | AskGrant
    | HandOverShare
    | RelayStore
    | Rumor
    | DigestRequest
    | ExchangeLeaves
    | AskSnapshot
    | SendCounts
    | ForwardCall
    | AskFleetState
    | AskConfigPart
    | LendAllowances
)
Reply = (
    HeartbeatEcho
    | CallAnswer
    | CallRefused
    | Entries
    | Outcome
    | Grant
    | ShareTaken
    | RelayResult
    | RumorAck
    | DigestReply
    | LeafRecords
    | SnapshotPiece
    | CountsKept
    | ForwardReply
    | FleetState
    | ConfigPart
    | AllowanceTokens
)
Message = Hello | CancelCall | Request | Reply
