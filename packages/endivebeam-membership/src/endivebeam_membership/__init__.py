"""Member records, overlay rings, failure detection, rumors and repair."""

from ._agent import Advice, Agent, Ages, Beat, ConfigState
from ._contacts import Contacts
from ._detector import Detector, Verdicts
from ._overlay import DOMAIN_RINGS, Overlay, Ring
from ._records import is_ended, supersedes
from ._rumors import MAX_BATCH, MAX_QUEUED, Batch, Rumors
from ._table import MAX_RECORDS, RECORD_LIFETIME_S, REFRESH_PERIOD_S, MemberTable
from ._tree import (
    DEPTH,
    FANOUT,
    LEAVES,
    MAX_INDEXES,
    DigestQuery,
    HashTree,
    find_differences,
    hash64,
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
    "Advice",
    "Agent",
    "Ages",
    "Batch",
    "Beat",
    "ConfigState",
    "Contacts",
    "Detector",
    "DigestQuery",
    "HashTree",
    "MemberTable",
    "Overlay",
    "Ring",
    "Rumors",
    "Verdicts",
    "find_differences",
    "hash64",
    "is_ended",
    "supersedes",
]
