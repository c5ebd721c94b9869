"""Decision logic of the nodes that proxy calls between targets, without I/O.

Functions take the current time as an argument, in seconds of a monotonic clock
that keeps running while the instance is suspended.
"""

from ._admission_queue import AdmissionQueue
from ._allowance_requester import EXHAUSTED_PAUSE_S, AllowanceRequester
from ._allowances import (
    LEASE_S,
    AllowanceHolder,
    LeaseRenewal,
    TokenGrant,
    TokenNeed,
    Tolerance,
)
from ._call_outcomes import CallOutcome, CallOutcomes, CallState, SendId
from ._call_rates import CallRateEstimator
from ._config import (
    AccountTerms,
    AccountUse,
    ConfigIndex,
    Destination,
    FleetConfig,
    RequestLimits,
    RouteRule,
    digest_key,
)
from ._config_codec import UnreadableConfigError, decode_config, encode_config
from ._directory import Directory, record_version
from ._freshness import Freshness
from ._pressure import (
    FULL_PRESSURE,
    CallPressure,
    KindAdmission,
    compute_pressure,
)
from ._propagation import (
    JITTER,
    PropagationTimes,
    compute_call_timeout_s,
    compute_key_trust_s,
    compute_retry_delay_s,
    compute_takeover_age_s,
    compute_worst_case_s,
    plan_propagation,
)
from ._rendezvous import rank_by_incarnation, rank_for_key
from ._retry_budget import ChainLevel, FleetRetryBudget
from ._target_rate_limit import TargetRateLimit
from ._target_state import Announcement, TargetPhase, TargetRecord
from ._tickets import CallKind, Ticket, TicketState
from ._transfers import ConfigAssembler, TransferSlots
from ._weighted_selector import WeightedSelector

__all__ = [
    "EXHAUSTED_PAUSE_S",
    "FULL_PRESSURE",
    "JITTER",
    "LEASE_S",
    "AccountTerms",
    "AccountUse",
    "AdmissionQueue",
    "AllowanceHolder",
    "AllowanceRequester",
    "Announcement",
    "CallKind",
    "CallOutcome",
    "CallOutcomes",
    "CallPressure",
    "CallRateEstimator",
    "CallState",
    "ChainLevel",
    "ConfigAssembler",
    "ConfigIndex",
    "Destination",
    "Directory",
    "FleetConfig",
    "FleetRetryBudget",
    "Freshness",
    "KindAdmission",
    "LeaseRenewal",
    "PropagationTimes",
    "RequestLimits",
    "RouteRule",
    "SendId",
    "TargetPhase",
    "TargetRateLimit",
    "TargetRecord",
    "Ticket",
    "TicketState",
    "TokenGrant",
    "TokenNeed",
    "Tolerance",
    "TransferSlots",
    "UnreadableConfigError",
    "WeightedSelector",
    "compute_call_timeout_s",
    "compute_key_trust_s",
    "compute_pressure",
    "compute_retry_delay_s",
    "compute_takeover_age_s",
    "compute_worst_case_s",
    "decode_config",
    "digest_key",
    "encode_config",
    "plan_propagation",
    "rank_by_incarnation",
    "rank_for_key",
    "record_version",
]
