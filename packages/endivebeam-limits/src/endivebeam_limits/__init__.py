"""Rate shares, concurrency limits, admission queue and retry budgets."""

from ._bucket import GRANT_LIFE_S, GRANT_VALIDITY_S, Bucket, BucketState
from ._grants import GrantCache, HolderKey, Report
from ._leases import HolderLease, LeaseTimes, Surroundings, TakeoverWatch
from ._placement import (
    Candidate,
    PreferredHolders,
    ShareId,
    ShareLayout,
    rank_holders,
)
from ._shares import GrantAnswer, GrantStatus, HeldShare

__all__ = [
    "GRANT_LIFE_S",
    "GRANT_VALIDITY_S",
    "Bucket",
    "BucketState",
    "Candidate",
    "GrantAnswer",
    "GrantCache",
    "GrantStatus",
    "HeldShare",
    "HolderKey",
    "HolderLease",
    "LeaseTimes",
    "PreferredHolders",
    "Report",
    "ShareId",
    "ShareLayout",
    "Surroundings",
    "TakeoverWatch",
    "rank_holders",
]
