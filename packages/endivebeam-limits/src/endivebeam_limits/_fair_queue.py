"""Waiting calls: by criticality class, then fair between client accounts."""

import bisect
import itertools
from collections import OrderedDict, deque

from endivebeam_model import AccountId, Criticality

from ._tickets import Ticket

# Smallest weight of an account; keeps shares finite for a contract rate of 0.
MIN_WEIGHT = 0.1
MAX_REMEMBERED = 1024

SERVING_ORDER = (Criticality.CRITICAL, Criticality.NORMAL, Criticality.SHEDDABLE)


class _Backlog:
    """Waiting calls of one account in one class, deepest first.

    A deep call goes first because its chain has already cost the most work.
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

    In each round an account earns its weight divided by the largest weight
    that waits; one call costs 1. An account whose calls are all served keeps
    earning up to one call, so that a small account with few calls is not
    delayed by a full round for each of them.
    """

    def __init__(self) -> None:
        self.length = 0
        self._backlogs: dict[AccountId, _Backlog] = {}
        self._ready: deque[AccountId] = deque()
        self._round = 0
        self._idle: OrderedDict[AccountId, tuple[float, int]] = OrderedDict()

    def push(self, ticket: Ticket) -> None:
        backlog = self._backlogs.get(ticket.account)
        if backlog is None:
            backlog = self._resume(ticket)
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
            self._retire(ticket.account, backlog)

    def find_victim(self, arriving: Ticket | None) -> Ticket:
        """Return the call of the account furthest above its share to evict."""
        shares = {a: len(b.tickets) / b.weight for a, b in self._backlogs.items()}
        if arriving is not None:
            held = self._backlogs.get(arriving.account)
            waiting = 1 + (len(held.tickets) if held else 0)
            shares[arriving.account] = waiting / _weight(arriving)
        worst = max(shares, key=lambda account: shares[account])
        backlog = self._backlogs.get(worst)
        if backlog is None:
            assert arriving is not None
            return arriving
        last = backlog.tickets[-1]
        if arriving is not None and arriving.account == worst:
            # Equal depth: the arriving call is the newest.
            return min(arriving, last, key=lambda ticket: ticket.depth)
        return last

    def count_ahead(self, ticket: Ticket) -> float:
        """Estimate how many calls of this class are served before a new one."""
        weights = {a: b.weight for a, b in self._backlogs.items()}
        weights[ticket.account] = _weight(ticket)
        held = self._backlogs.get(ticket.account)
        own = len(held.tickets) if held else 0
        rounds = (own + 1) * sum(weights.values()) / weights[ticket.account]
        return min(float(self.length), rounds)

    def _start_round(self) -> None:
        self._round += 1
        largest = max(b.weight for b in self._backlogs.values())
        for account, backlog in self._backlogs.items():
            backlog.deficit += backlog.weight / largest
            if backlog.deficit >= 1.0:
                self._ready.append(account)

    def _resume(self, ticket: Ticket) -> _Backlog:
        deficit, left_in = self._idle.pop(ticket.account, (0.0, self._round))
        weight = _weight(ticket)
        waiting = [b.weight for b in self._backlogs.values()]
        earned = (self._round - left_in) * weight / max([*waiting, weight])
        deficit = min(1.0, deficit + earned)
        backlog = _Backlog(weight=weight, deficit=deficit)
        self._backlogs[ticket.account] = backlog
        if deficit >= 1.0:
            self._ready.append(ticket.account)
        return backlog

    def _retire(self, account: AccountId, backlog: _Backlog) -> None:
        del self._backlogs[account]
        if account in self._ready:
            self._ready.remove(account)
        self._idle[account] = (min(1.0, backlog.deficit), self._round)
        if len(self._idle) > MAX_REMEMBERED:
            self._idle.popitem(last=False)


class FairQueue:
    """Waiting calls of one target.

    ``pop`` takes the most critical class first. ``make_room`` names the call
    to evict: in the least critical class, the newest and shallowest call of
    the account that is furthest above its share.
    """

    def __init__(self) -> None:
        self._classes = {c: _ClassQueue() for c in SERVING_ORDER}
        self._orders = itertools.count(1)

    def __len__(self) -> int:
        return sum(queue.length for queue in self._classes.values())

    def push(self, ticket: Ticket) -> None:
        """Add a waiting call."""
        ticket.order = next(self._orders)
        self._classes[ticket.criticality].push(ticket)

    def pop(self) -> Ticket | None:
        """Remove and return the next call to serve."""
        for queue in self._classes.values():
            if queue.length:
                return queue.pop()
        return None

    def remove(self, ticket: Ticket) -> None:
        """Remove a call that gave up."""
        self._classes[ticket.criticality].remove(ticket)

    def make_room(self, arriving: Ticket) -> Ticket:
        """Return the call to refuse: a waiting one or the arriving one."""
        for criticality in reversed(SERVING_ORDER):
            queue = self._classes[criticality]
            if criticality is arriving.criticality:
                return queue.find_victim(arriving)
            if queue.length:
                return queue.find_victim(None)
        raise AssertionError("the arriving call belongs to one of the classes")

    def count_ahead(self, ticket: Ticket) -> float:
        """Estimate how many calls are served before an arriving one."""
        ahead = 0.0
        for criticality, queue in self._classes.items():
            if criticality is ticket.criticality:
                return ahead + queue.count_ahead(ticket)
            ahead += queue.length
        return ahead


def _rank(ticket: Ticket) -> tuple[int, int]:
    return -ticket.depth, ticket.order


def _weight(ticket: Ticket) -> float:
    return max(MIN_WEIGHT, ticket.weight)
