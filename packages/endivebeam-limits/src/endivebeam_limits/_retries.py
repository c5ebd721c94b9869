"""Retry budgets, which limit retries to a fraction of the calls to a service."""

import math
from collections import OrderedDict

from endivebeam_model import ServiceName

WINDOW_S = 10
RETRY_FRACTION = 0.1
MIN_RETRIES_PER_S = 1.0
MAX_SERVICES = 4096


class RetryBudget:
    """Counts calls and retries to one service over the last ``WINDOW_S`` seconds."""

    __slots__ = ("_calls", "_retries", "_second")

    def __init__(self) -> None:
        self._calls = [0] * WINDOW_S
        self._retries = [0] * WINDOW_S
        self._second = 0

    def record_call(self, now: float) -> None:
        """Count a first attempt."""
        self._advance(now)
        self._calls[self._second % WINDOW_S] += 1

    def spend_retry(self, now: float) -> bool:
        """Count a retry if the budget allows it, and return whether it does."""
        self._advance(now)
        allowed = max(RETRY_FRACTION * sum(self._calls), MIN_RETRIES_PER_S * WINDOW_S)
        if sum(self._retries) + 1 > allowed:
            return False
        self._retries[self._second % WINDOW_S] += 1
        return True

    def _advance(self, now: float) -> None:
        second = math.floor(now)
        for passed in range(max(self._second + 1, second - WINDOW_S + 1), second + 1):
            self._calls[passed % WINDOW_S] = 0
            self._retries[passed % WINDOW_S] = 0
        self._second = max(self._second, second)


class RetryBudgets:
    """One budget per destination service; evicts the least recently used one."""

    def __init__(self) -> None:
        self._budgets: OrderedDict[ServiceName, RetryBudget] = OrderedDict()

    def of(self, service: ServiceName) -> RetryBudget:
        """Return the budget of a service, which is created on first use."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget()
            if len(self._budgets) > MAX_SERVICES:
                self._budgets.popitem(last=False)
        else:
            self._budgets.move_to_end(service)
        return budget
