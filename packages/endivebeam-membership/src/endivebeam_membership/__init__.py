"""Member records, overlay rings, failure detection, gossip and anti-entropy."""

from ._agent import Agent, ConfigState, ContactAges, StateSummary, SyncActions
from ._contacts import ContactTimes
from ._detector import Detector, DetectorResult
from ._overlay import DOMAIN_RINGS, Overlay, Ring
from ._records import is_ended, supersedes
from ._rumors import MAX_BATCH, MAX_QUEUED, RumorBatch, RumorQueues
from ._table import MAX_RECORDS, RECORD_LIFETIME_S, REFRESH_PERIOD_S, MemberTable
from ._tree import (
    DEPTH,
    FANOUT,
    LEAVES,
    MAX_INDEXES,
    DigestQuery,
    HashTree,
    find_differences,
)

__all__ = [
    "DEPTH",
    "DOMAIN_RINGS",
    "FANOUT",
    "LEAVES",
    "MAX_BATCH",
    "MAX_INDEXES",
    "MAX_QUEUED",
    "MAX_RECORDS",
    "RECORD_LIFETIME_S",
    "REFRESH_PERIOD_S",
    "Agent",
    "ConfigState",
    "ContactAges",
    "ContactTimes",
    "Detector",
    "DetectorResult",
    "DigestQuery",
    "HashTree",
    "MemberTable",
    "Overlay",
    "Ring",
    "RumorBatch",
    "RumorQueues",
    "StateSummary",
    "SyncActions",
    "find_differences",
    "is_ended",
    "supersedes",
]
