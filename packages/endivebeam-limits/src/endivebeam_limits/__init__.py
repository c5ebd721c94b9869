"""Rate shares, concurrency limits, admission queue and retry budgets."""

from ._admission import Admission, Changes
from ._bucket import GRANT_LIFE_S, GRANT_VALIDITY_S, Bucket, BucketState
from ._concurrency import ConcurrencyLimit
from ._fair_queue import FairQueue
from ._grants import GrantCache, HolderKey, Report
from ._leases import HolderLease, LeaseTimes, Surroundings, TakeoverWatch
from ._placement import Candidate, PreferredHolders, ShareId, ShareLayout, rank_holders
from ._retries import RetryBudget, RetryBudgets
from ._shares import GrantAnswer, HeldShare
from ._tickets import Ticket, TicketState

__all__ = [
    "GRANT_LIFE_S",
    "GRANT_VALIDITY_S",
    "Admission",
    "Bucket",
    "BucketState",
    "Candidate",
    "Changes",
    "ConcurrencyLimit",
    "FairQueue",
    "GrantAnswer",
    "GrantCache",
    "HeldShare",
    "HolderKey",
    "HolderLease",
    "LeaseTimes",
    "PreferredHolders",
    "Report",
    "RetryBudget",
    "RetryBudgets",
    "ShareId",
    "ShareLayout",
    "Surroundings",
    "TakeoverWatch",
    "Ticket",
    "TicketState",
    "rank_holders",
]
