"""Rate shares, concurrency limits, admission queues and retry budgets."""

from ._admission import Admission, TicketChanges
from ._bucket import GRANT_LIFETIME_S, GRANT_VALIDITY_S, Bucket, BucketState
from ._concurrency import ConcurrencyLimit
from ._fair_queue import FairQueue
from ._grants import GrantCache, HolderKey, TokenReport
from ._leases import HolderLease, LeaseTimes, Reachability, TakeoverWatch
from ._placement import Candidate, PreferredHolders, ShareId, ShareLayout, rank_holders
from ._retries import RetryBudget, RetryBudgets
from ._shares import GrantResult, HeldShare
from ._tickets import Ticket, TicketState

__all__ = [
    "GRANT_LIFETIME_S",
    "GRANT_VALIDITY_S",
    "Admission",
    "Bucket",
    "BucketState",
    "Candidate",
    "ConcurrencyLimit",
    "FairQueue",
    "GrantCache",
    "GrantResult",
    "HeldShare",
    "HolderKey",
    "HolderLease",
    "LeaseTimes",
    "PreferredHolders",
    "Reachability",
    "RetryBudget",
    "RetryBudgets",
    "ShareId",
    "ShareLayout",
    "TakeoverWatch",
    "Ticket",
    "TicketChanges",
    "TicketState",
    "TokenReport",
    "rank_holders",
]
