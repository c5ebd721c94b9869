"""Decisions of a fleet of nodes that carry calls between targets, without I/O.

Every function takes the time as an argument. Times are seconds of a clock that
also counts suspension of the instance.
"""

from ._allowances import (
    LEASE_S,
    AllowanceHolder,
    Granted,
    Lending,
    TokenNeed,
    Tolerance,
)
from ._callers import CallingKinds
from ._config import (
    AccountTerms,
    ConfigIndex,
    Destination,
    FleetConfig,
    RequestLimits,
    RouteRule,
    UnreadableConfigError,
    decode_config,
    digest_key,
    encode_config,
)
from ._directory import Directory, order_of
from ._freshness import Freshness
from ._intake import Intake
from ._pressure import CallPressure, rate_wait
from ._rendezvous import rank_for_key, rank_steady_nodes
from ._repeats import Level, RepeatBudget
from ._splits import SplitCursor
from ._target_state import Announcement, TargetPhase, TargetRecord
from ._transfers import Assembly, TransferSlots
from ._waiting import Kind, Slot, SlotState
from ._wallets import AllowanceBorrower

__all__ = [
    "LEASE_S",
    "AccountTerms",
    "AllowanceBorrower",
    "AllowanceHolder",
    "Announcement",
    "Assembly",
    "CallPressure",
    "CallingKinds",
    "ConfigIndex",
    "Destination",
    "Directory",
    "FleetConfig",
    "Freshness",
    "Granted",
    "Intake",
    "Kind",
    "Lending",
    "Level",
    "RepeatBudget",
    "RequestLimits",
    "RouteRule",
    "Slot",
    "SlotState",
    "SplitCursor",
    "TargetPhase",
    "TargetRecord",
    "TokenNeed",
    "Tolerance",
    "TransferSlots",
    "UnreadableConfigError",
    "decode_config",
    "digest_key",
    "encode_config",
    "order_of",
    "rank_for_key",
    "rank_steady_nodes",
    "rate_wait",
]
