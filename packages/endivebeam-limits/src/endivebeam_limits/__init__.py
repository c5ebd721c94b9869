"""Rate shares, concurrency limits, admission queue and retry budgets."""

from ._admission import Admission, Changes
from ._concurrency import ConcurrencyLimit
from ._fair_queue import FairQueue
from ._retries import RetryBudget, RetryBudgets
from ._tickets import Ticket, TicketState

__all__ = [
    "Admission",
    "Changes",
    "ConcurrencyLimit",
    "FairQueue",
    "RetryBudget",
    "RetryBudgets",
    "Ticket",
    "TicketState",
]
