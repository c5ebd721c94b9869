"""Queue of calls by criticality class, with fair shares for client accounts."""

import bisect
import itertools
from collections import OrderedDict, deque

from endivebeam_model import AccountId, Criticality

from ._tickets import Ticket

# Smallest weight of an account; avoids a division by zero for a contract rate of 0.
MIN_WEIGHT = 0.1
MAX_IDLE_ACCOUNTS = 1024
# Queued calls of an account that do not count toward its excess, so that they are
# evicted last. Relative to the weight of a small account, even one queued call
# exceeds its share, and without this it would lose every call.
UNCOUNTED_CALLS = 3
# Largest deficit, in calls, that an account keeps while it has no queued call. Calls
# arrive unevenly, and an account that lost its deficit in each gap would get less
# than its share.
MAX_IDLE_DEFICIT = 2.0

SERVING_ORDER = (Criticality.CRITICAL, Criticality.NORMAL, Criticality.SHEDDABLE)


class _Backlog:
    """Queued calls of one account in one class, deepest first.

    The deepest call goes first because its chain has already used the most work.
    """

    __slots__ = ("deficit", "tickets", "weight")

    def __init__(self, *, weight: float, deficit: float) -> None:
        self.weight = weight
        self.deficit = deficit
        self.tickets: list[Ticket] = []

    def add(self, ticket: Ticket) -> None:
        bisect.insort(self.tickets, ticket, key=_rank)


class _ClassQueue:
    """Deficit round robin between the accounts of one class.

    In each round, the deficit of an account grows by its weight divided by the
    largest weight of the queued accounts; serving a call costs 1. The deficit of
    an account without queued calls grows further, up to ``MAX_IDLE_DEFICIT``
    calls, so that a small account with few calls does not wait for a full round
    with each of them.
    """

    def __init__(self) -> None:
        self.length = 0
        self._backlogs: dict[AccountId, _Backlog] = {}
        self._ready: deque[AccountId] = deque()
        self._round = 0
        # Deficit and current round at the time when an account became idle.
        self._idle: OrderedDict[AccountId, tuple[float, int]] = OrderedDict()

    def push(self, ticket: Ticket) -> None:
        backlog = self._backlogs.get(ticket.account)
        if backlog is None:
            backlog = self._activate(ticket)
        backlog.weight = _weight(ticket)
        backlog.add(ticket)
        self.length += 1

    def pop(self) -> Ticket:
        while not self._ready:
            self._start_round()
        account = self._ready[0]
        backlog = self._backlogs[account]
        ticket = backlog.tickets[0]
        backlog.deficit -= 1.0
        if backlog.deficit < 1.0:
            self._ready.popleft()
        self.remove(ticket)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        backlog = self._backlogs[ticket.account]
        index = bisect.bisect_left(backlog.tickets, _rank(ticket), key=_rank)
        del backlog.tickets[index]
        self.length -= 1
        if not backlog.tickets:
            self._deactivate(ticket.account, backlog)

    def refund(self, account: AccountId) -> None:
        backlog = self._backlogs.get(account)
        if backlog is None:
            deficit, idle_since_round = self._idle[account]
            self._idle[account] = (
                min(MAX_IDLE_DEFICIT, deficit + 1.0),
                idle_since_round,
            )
            return
        backlog.deficit += 1.0
        if account not in self._ready:
            self._ready.appendleft(account)

    def find_victim(self, arriving: Ticket | None) -> Ticket:
        """Return the call to evict, of the account furthest above its share."""
        excess = {
            account: _excess(len(backlog.tickets), backlog.weight)
            for account, backlog in self._backlogs.items()
        }
        if arriving is not None:
            own_backlog = self._backlogs.get(arriving.account)
            waiting = 1 + (len(own_backlog.tickets) if own_backlog else 0)
            excess[arriving.account] = _excess(waiting, _weight(arriving))
        victim_account = max(excess, key=lambda account: excess[account])
        backlog = self._backlogs.get(victim_account)
        if backlog is None:
            assert arriving is not None
            return arriving
        last = backlog.tickets[-1]
        if arriving is not None and arriving.account == victim_account:
            # At equal depth the arriving call is evicted, because it is the newest.
            return min(arriving, last, key=lambda ticket: ticket.depth)
        return last

    def count_ahead(self, ticket: Ticket) -> float:
        """Estimate how many calls of this class are served before a new call."""
        weights = {a: b.weight for a, b in self._backlogs.items()}
        weights[ticket.account] = _weight(ticket)
        own_backlog = self._backlogs.get(ticket.account)
        queued = len(own_backlog.tickets) if own_backlog else 0
        deficit = own_backlog.deficit if own_backlog else self._idle_deficit(ticket)
        needed = max(0.0, queued + 1.0 - deficit)
        ahead = needed * sum(weights.values()) / weights[ticket.account]
        return min(float(self.length), ahead)

    def _idle_deficit(self, ticket: Ticket) -> float:
        deficit, idle_since_round = self._idle.get(ticket.account, (0.0, self._round))
        weight = _weight(ticket)
        weights = [b.weight for b in self._backlogs.values()]
        earned = (self._round - idle_since_round) * weight / max([*weights, weight])
        return min(MAX_IDLE_DEFICIT, deficit + earned)

    def _start_round(self) -> None:
        self._round += 1
        largest = max(b.weight for b in self._backlogs.values())
        for account, backlog in self._backlogs.items():
            backlog.deficit += backlog.weight / largest
            if backlog.deficit >= 1.0:
                self._ready.append(account)

    def _activate(self, ticket: Ticket) -> _Backlog:
        deficit = self._idle_deficit(ticket)
        self._idle.pop(ticket.account, None)
        backlog = _Backlog(weight=_weight(ticket), deficit=deficit)
        self._backlogs[ticket.account] = backlog
        if deficit >= 1.0:
            self._ready.append(ticket.account)
        return backlog

    def _deactivate(self, account: AccountId, backlog: _Backlog) -> None:
        del self._backlogs[account]
        if account in self._ready:
            self._ready.remove(account)
        self._idle[account] = (
            min(MAX_IDLE_DEFICIT, backlog.deficit),
            self._round,
        )
        if len(self._idle) > MAX_IDLE_ACCOUNTS:
            self._idle.popitem(last=False)


class FairQueue:
    """Queued calls of one target.

    ``pop`` serves the most critical class first. ``find_victim`` returns the call
    to evict: in the least critical class, the shallowest and then newest call of
    the account that is furthest above its share.
    """

    def __init__(self) -> None:
        self._classes = {c: _ClassQueue() for c in SERVING_ORDER}
        self._order = itertools.count(1)

    def __len__(self) -> int:
        return sum(queue.length for queue in self._classes.values())

    def push(self, ticket: Ticket) -> None:
        """Add a call to the queue."""
        ticket.order = next(self._order)
        self._classes[ticket.criticality].push(ticket)

    def pop(self) -> Ticket | None:
        """Remove and return the next call to serve."""
        for queue in self._classes.values():
            if queue.length:
                return queue.pop()
        return None

    def refund(self, ticket: Ticket) -> None:
        """Refund an account the cost of a popped call that was not started."""
        self._classes[ticket.criticality].refund(ticket.account)

    def remove(self, ticket: Ticket) -> None:
        """Remove a call that was cancelled or evicted."""
        self._classes[ticket.criticality].remove(ticket)

    def find_victim(self, arriving: Ticket) -> Ticket:
        """Return the call to evict, which may be the arriving one."""
        for criticality in reversed(SERVING_ORDER):
            queue = self._classes[criticality]
            if criticality is arriving.criticality:
                return queue.find_victim(arriving)
            if queue.length:
                return queue.find_victim(None)
        raise AssertionError("arriving call has an unknown criticality class")

    def count_ahead(self, ticket: Ticket) -> float:
        """Estimate how many calls are served before a new call."""
        ahead = 0.0
        for criticality, queue in self._classes.items():
            if criticality is ticket.criticality:
                return ahead + queue.count_ahead(ticket)
            ahead += queue.length
        return ahead


def _rank(ticket: Ticket) -> tuple[int, int]:
    return -ticket.depth, ticket.order


def _excess(waiting: int, weight: float) -> float:
    return max(0, waiting - UNCOUNTED_CALLS) / weight


def _weight(ticket: Ticket) -> float:
    return max(MIN_WEIGHT, ticket.weight)
