"""Contracts, routes, configuration and member records of endivebeam.

The node imports this package, so it does not depend on libraries that parse documents.
"""

from ._burn import (
    AccountCounts,
    Counts,
    MinuteCounts,
    add_counts,
    minute_object_name,
    sum_counts,
)
from ._changes import (
    Change,
    IssueKey,
    LogEntry,
    PutContract,
    PutService,
    RemoveContract,
    RemoveService,
    VersionGap,
    WithdrawKey,
    apply_entry,
)
from ._contracts import (
    DEFAULT_RETRY_CREDITS,
    DEFAULT_TIMEOUT_S,
    Contract,
    Key,
    Objectives,
    Route,
    Service,
    Snapshot,
)
from ._decoding import DECODE_ERRORS
from ._hashing import hash64
from ._ids import (
    AccountId,
    ChainId,
    ConfigVersion,
    DomainName,
    KeyDigest,
    NodeId,
    OperationId,
    RegionName,
    ServiceName,
)
from ._lookup import authenticate, digest_key, find_route
from ._members import Address, AgedMember, Member
from ._refusals import Refusal
from ._states import (
    Criticality,
    GrantStatus,
    MemberState,
    RefusalReason,
    RunStatus,
    Semantics,
)
from ._store_position import UNKNOWN_ERA, StoreEra, StorePosition, StoreVersion
from ._tags import ABSENT_TAG, find_object, make_tag

__all__ = [
    "ABSENT_TAG",
    "DECODE_ERRORS",
    "DEFAULT_RETRY_CREDITS",
    "DEFAULT_TIMEOUT_S",
    "UNKNOWN_ERA",
    "AccountCounts",
    "AccountId",
    "Address",
    "AgedMember",
    "ChainId",
    "Change",
    "ConfigVersion",
    "Contract",
    "Counts",
    "Criticality",
    "DomainName",
    "GrantStatus",
    "IssueKey",
    "Key",
    "KeyDigest",
    "LogEntry",
    "Member",
    "MemberState",
    "MinuteCounts",
    "NodeId",
    "Objectives",
    "OperationId",
    "PutContract",
    "PutService",
    "Refusal",
    "RefusalReason",
    "RegionName",
    "RemoveContract",
    "RemoveService",
    "Route",
    "RunStatus",
    "Semantics",
    "Service",
    "ServiceName",
    "Snapshot",
    "StoreEra",
    "StorePosition",
    "StoreVersion",
    "VersionGap",
    "WithdrawKey",
    "add_counts",
    "apply_entry",
    "authenticate",
    "digest_key",
    "find_object",
    "find_route",
    "hash64",
    "make_tag",
    "minute_object_name",
    "sum_counts",
]
