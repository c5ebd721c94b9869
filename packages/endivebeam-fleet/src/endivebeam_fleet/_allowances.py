"""Rate allowances of client accounts, divided over the fleet by leases.

Each of N nodes owns 1/N of the rate and burst of every account. It leases its
part to one holder at a time, and the holder grants tokens from the parts that
were leased to it. In a partition each side therefore spends at
most the parts of its own nodes, and the sum never exceeds the whole.
"""

import math
from collections.abc import Iterable, Mapping

import msgspec

from endivebeam_model import AccountId, NodeId

from ._config import AccountTerms
from ._spent_tokens import SpentTokens

LEASE_S = 0.8
# The rest of the tolerance is for the time after a restart, when it is not known what
# was spent before.
USED_TOLERANCE = 0.5
# Fractions of tokens are summed as floats; differences below this are equal.
TOKEN_EPSILON = 1e-6

RecentSpend = Mapping[AccountId, list[tuple[float, float]]]
"""Ages in seconds and numbers of the tokens that a node spent, for each account."""


class Tolerance(msgspec.Struct, frozen=True, kw_only=True):
    """What the operators accept above an allowance in any ``window_s`` seconds.

    ``over`` is a part of the allowance, ``slack`` a number of requests.
    """

    over: float = 0.0
    slack: float = 0.0
    window_s: float = 5.0


class TokenNeed(msgspec.Struct, frozen=True, array_like=True):
    """What a node holds of an account's tokens and how many it wants in all.

    ``returned`` are tokens that it held and gives back unspent.
    """

    held: float
    wanted: float
    returned: float = 0.0


class LeaseRenewal(msgspec.Struct, frozen=True, kw_only=True):
    """A node's renewal of the lease that the holder has on its part.

    A node that changes its holder reports what it spent: ``recent_spend`` covers the
    last ``memory_s`` seconds, for which the node has been running.
    """

    node_id: NodeId
    fleet_size: int
    needs: Mapping[AccountId, TokenNeed]
    memory_s: float = 0.0
    recent_spend: RecentSpend | None = None


class TokenGrant(msgspec.Struct, frozen=True):
    """Tokens for each account; ``wants_recent_spend`` asks for a report of spending."""

    tokens: dict[AccountId, float]
    wants_recent_spend: bool


class _Pool:
    """Tokens of one account at its holder.

    ``spent`` has what each node spent in the last window, ``held`` what it may still
    spend, and ``level`` what may be granted at once.
    """

    __slots__ = ("at", "held", "level", "rate_per_s", "spent")

    def __init__(self, *, level: float, rate_per_s: float, now: float) -> None:
        self.level = level
        self.rate_per_s = rate_per_s
        self.at = now
        self.held: dict[NodeId, float] = {}
        self.spent: dict[NodeId, SpentTokens] = {}

    def note_need(self, node_id: NodeId, need: TokenNeed, now: float) -> None:
        """Take a node's word about its tokens; what it does not hold it has spent."""
        known = self.held.get(node_id, 0.0)
        returned = min(known, max(0.0, need.returned))
        held = min(known - returned, max(0.0, need.held))
        self.held[node_id] = held
        self.level += returned
        self._note_spent(node_id, known - returned - held, now)

    def end_lease(self, node_id: NodeId, left: float, now: float) -> None:
        """Take a node's tokens off; they count as spent should it come back."""
        self._note_spent(node_id, self.held.pop(node_id, 0.0), now)
        self.level *= left

    def adopt_rate(self, rate_per_s: float) -> None:
        """Count the past in proportion when the account's rate changes.

        Counted in full, it would fill a smaller window for its whole length, and the
        account would get nothing.
        """
        if rate_per_s != self.rate_per_s:
            ratio = rate_per_s / self.rate_per_s
            self.level *= ratio
            for spent in self.spent.values():
                spent.scale(ratio)
            self.rate_per_s = rate_per_s

    def count_used(self, lease_count: Iterable[NodeId], since: float) -> float:
        """Return what the requesting nodes hold or spent after a time."""
        known = (self.spent[n].total(since) for n in lease_count if n in self.spent)
        return sum(known) + sum(self.held.values())

    def _note_spent(self, node_id: NodeId, tokens: float, now: float) -> None:
        if tokens > TOKEN_EPSILON:
            self.spent.setdefault(node_id, SpentTokens()).add(now, tokens)


class _Lease(msgspec.Struct):
    """A node's parts: until when this holder has them.

    What the node spent is known from ``known_since`` on.
    """

    known_since: float
    until: float


class AllowanceHolder:
    """Grants the tokens of the parts that nodes leased to this one.

    An account may have its rate times the window plus its burst in any window, and
    its burst at once. A node that comes from another holder says what it spent, so
    that its part goes on where it was. For a time that a node does not remember, its
    part counts as used up until the window no longer reaches back to it.
    """

    def __init__(self, *, tolerance: Tolerance) -> None:
        self._over = 1.0 + tolerance.over * USED_TOLERANCE
        self._slack = tolerance.slack * USED_TOLERANCE
        self._spare_over = tolerance.over * (1.0 - USED_TOLERANCE)
        self._spare_slack = tolerance.slack * (1.0 - USED_TOLERANCE)
        self._window_s = tolerance.window_s
        self._pools: dict[AccountId, _Pool] = {}
        self._leases: dict[NodeId, _Lease] = {}

    def lease_count(self, now: float) -> int:
        """Return how many nodes lease their parts to this holder at present."""
        self._expire(now)
        return len(self._leases)

    def renew_lease(
        self,
        renewal: LeaseRenewal,
        *,
        terms: Mapping[AccountId, AccountTerms],
        now: float,
    ) -> TokenGrant:
        """Renew a node's lease and return the tokens granted to it."""
        self._expire(now)
        lease = self._leases.get(renewal.node_id)
        is_new = lease is None
        if lease is None:
            lease = self._leases[renewal.node_id] = _Lease(known_since=now, until=now)
        lease.until = now + LEASE_S
        if renewal.recent_spend is not None:
            lease.known_since = min(lease.known_since, now - renewal.memory_s)
            self._record_recent_spend(renewal.node_id, renewal.recent_spend, terms, now)
        tokens = {}
        for account, need in renewal.needs.items():
            limit = terms.get(account)
            if limit is not None and limit.rate_per_s > 0:
                size = max(1, renewal.fleet_size)
                tokens[account] = self._grant(renewal.node_id, limit, need, size, now)
        return TokenGrant(tokens, is_new and renewal.recent_spend is None)

    def release(self, node_id: NodeId, now: float) -> None:
        """End a node's lease."""
        if self._leases.pop(node_id, None) is None:
            return
        left = len(self._leases) / (len(self._leases) + 1)
        for pool in self._pools.values():
            pool.end_lease(node_id, left, now)

    def _record_recent_spend(
        self,
        node_id: NodeId,
        recent_spend: RecentSpend,
        terms: Mapping[AccountId, AccountTerms],
        now: float,
    ) -> None:
        for account, entries in recent_spend.items():
            limit = terms.get(account)
            if limit is not None and limit.rate_per_s > 0:
                times = sorted((now - age_s, tokens) for age_s, tokens in entries)
                self._find_pool(limit, now).spent[node_id] = SpentTokens(times)

    def _find_pool(self, limit: AccountTerms, now: float) -> _Pool:
        pool = self._pools.get(limit.account)
        if pool is None:
            level = limit.burst * self._over + self._slack
            pool = _Pool(level=level, rate_per_s=limit.rate_per_s, now=now)
            self._pools[limit.account] = pool
        pool.adopt_rate(limit.rate_per_s)
        return pool

    def _grant(
        self,
        node_id: NodeId,
        limit: AccountTerms,
        need: TokenNeed,
        fleet_size: int,
        now: float,
    ) -> float:
        part = min(1.0, len(self._leases) / fleet_size)
        burst = limit.burst * self._over + self._slack
        window = limit.rate_per_s * self._over * self._window_s + burst
        pool = self._find_pool(limit, now)
        pool.note_need(node_id, need, now)
        added = max(0.0, now - pool.at) * window / self._window_s * part
        depth = max(0.0, burst * part - sum(pool.held.values()))
        pool.level = min(depth, pool.level + added)
        pool.at = now
        unknown = self._assume_used(window, burst, fleet_size, now)
        spare = self._spare_over * window + self._spare_slack
        used = pool.count_used(self._leases, now - self._window_s)
        left = window * part - max(0.0, unknown - spare * part) - used
        tokens = max(0.0, min(pool.level, left, need.wanted - need.held))
        if not math.isfinite(tokens):
            return 0.0
        pool.level -= tokens
        pool.held[node_id] += tokens
        return tokens

    def _assume_used(
        self, window: float, burst: float, fleet_size: int, now: float
    ) -> float:
        """Return what may have been spent from the leased parts and is not known.

        A holder lets through at most a burst at once and then a window's tokens in
        each window.
        """
        per_s = window / self._window_s
        used = 0.0
        for lease in self._leases.values():
            reach_s = self._window_s - (now - lease.known_since)
            if reach_s > 0:
                used += min(window, burst + per_s * reach_s)
        return used / fleet_size

    def _expire(self, now: float) -> None:
        gone = [n for n, lease in self._leases.items() if lease.until <= now]
        for node_id in gone:
            self.release(node_id, now)
