"""Rate allowances of client accounts, divided over the fleet by leases.

Each of N nodes owns 1/N of the rate and burst of every account. It leases its
part to one holder at a time, and the holder grants tokens from the parts leased
to it. In a network partition, each side therefore spends at most the parts of its
own nodes, and the total stays within the allowance.
"""

import math
from collections.abc import Iterable, Mapping

import msgspec

from endivebeam_model import AccountId, NodeId

from ._config import AccountTerms
from ._spent_tokens import SpentTokens

LEASE_S = 0.8
# Fraction of the tolerance that is used in normal operation. The rest is for the time
# after a restart, when earlier spending is unknown.
USED_TOLERANCE_FRACTION = 0.5
# Tolerance of comparisons, because fractions of tokens are summed as floats.
TOKEN_EPSILON = 1e-6

RecentSpend = Mapping[AccountId, list[tuple[float, float]]]
"""Age in seconds and number of tokens of each spending of a node, by account."""


class Tolerance(msgspec.Struct, frozen=True, kw_only=True):
    """Accepted excess over an allowance in any ``window_s`` seconds.

    ``over`` is a fraction of the allowance, ``slack`` a number of requests.
    """

    over: float = 0.0
    slack: float = 0.0
    window_s: float = 5.0


class TokenNeed(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of an account that a node has and the number it wants in total.

    ``returned`` is the number of tokens that it returns unspent, not included in
    ``held``.
    """

    held: float
    wanted: float
    returned: float = 0.0


class LeaseRenewal(msgspec.Struct, frozen=True, kw_only=True):
    """Renewal of the lease on a node's part, which the node sends to the holder.

    A node that changes its holder reports what it spent in ``recent_spend``. The
    node has recorded its spending for the last ``memory_s`` seconds.
    """

    node_id: NodeId
    fleet_size: int
    needs: Mapping[AccountId, TokenNeed]
    memory_s: float = 0.0
    recent_spend: RecentSpend | None = None


class TokenGrant(msgspec.Struct, frozen=True):
    """Granted tokens by account.

    ``wants_recent_spend`` requests ``recent_spend`` with the next renewal.
    """

    tokens: dict[AccountId, float]
    wants_recent_spend: bool


class _Pool:
    """Token bucket of one account at its holder.

    ``level`` is the number of tokens that may be granted at once, ``held`` the
    granted and unspent tokens of each node, ``spent`` what each node spent in the
    last window.
    """

    __slots__ = ("held", "level", "rate_per_s", "refilled_at", "spent")

    def __init__(self, *, level: float, rate_per_s: float, now: float) -> None:
        self.level = level
        self.rate_per_s = rate_per_s
        self.refilled_at = now
        self.held: dict[NodeId, float] = {}
        self.spent: dict[NodeId, SpentTokens] = {}

    def record_need(self, node_id: NodeId, need: TokenNeed, now: float) -> None:
        """Update a node's tokens; those neither held nor returned count as spent."""
        previous = self.held.get(node_id, 0.0)
        returned = min(previous, max(0.0, need.returned))
        held = min(previous - returned, max(0.0, need.held))
        self.held[node_id] = held
        self.level += returned
        self._record_spent(node_id, previous - returned - held, now)

    def end_lease(self, node_id: NodeId, remaining_fraction: float, now: float) -> None:
        """Remove a node's tokens; they count as spent if it leases its part again.

        ``remaining_fraction`` is the fraction of the leases that remain.
        """
        self._record_spent(node_id, self.held.pop(node_id, 0.0), now)
        self.level *= remaining_fraction

    def set_rate(self, rate_per_s: float) -> None:
        """Scale earlier spending in proportion to a change of the account's rate.

        Unscaled, the spending under a higher rate would exceed the new allowance for
        a whole window, and the account would get no tokens.
        """
        if rate_per_s != self.rate_per_s:
            ratio = rate_per_s / self.rate_per_s
            self.level *= ratio
            for spent in self.spent.values():
                spent.scale(ratio)
            self.rate_per_s = rate_per_s

    def count_used(self, node_ids: Iterable[NodeId], since: float) -> float:
        """Return what these nodes spent since a time plus all unspent tokens."""
        spent = (self.spent[n].total(since) for n in node_ids if n in self.spent)
        return sum(spent) + sum(self.held.values())

    def _record_spent(self, node_id: NodeId, tokens: float, now: float) -> None:
        if tokens > TOKEN_EPSILON:
            self.spent.setdefault(node_id, SpentTokens()).add(now, tokens)


class _Lease(msgspec.Struct):
    """Lease on a node's part.

    What the node spent is known since ``known_since``.
    """

    known_since: float
    expires_at: float


class AllowanceHolder:
    """Grants tokens from the parts that nodes lease to this node.

    An account may spend its rate times the window plus its burst in any window, and
    its burst at once. A node that changes to this holder reports what it spent, so
    that its part continues from that state. For a time without such a record, the
    node's part counts as used up, as long as the window includes that time.
    """

    def __init__(self, *, tolerance: Tolerance) -> None:
        self._over_factor = 1.0 + tolerance.over * USED_TOLERANCE_FRACTION
        self._slack = tolerance.slack * USED_TOLERANCE_FRACTION
        self._spare_over = tolerance.over * (1.0 - USED_TOLERANCE_FRACTION)
        self._spare_slack = tolerance.slack * (1.0 - USED_TOLERANCE_FRACTION)
        self._window_s = tolerance.window_s
        self._pools: dict[AccountId, _Pool] = {}
        self._leases: dict[NodeId, _Lease] = {}

    def lease_count(self, now: float) -> int:
        """Return how many nodes currently lease their parts to this holder."""
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
            lease = self._leases[renewal.node_id] = _Lease(
                known_since=now, expires_at=now
            )
        lease.expires_at = now + LEASE_S
        if renewal.recent_spend is not None:
            lease.known_since = min(lease.known_since, now - renewal.memory_s)
            self._record_recent_spend(renewal.node_id, renewal.recent_spend, terms, now)
        tokens = {}
        for account, need in renewal.needs.items():
            account_terms = terms.get(account)
            if account_terms is not None and account_terms.rate_per_s > 0:
                size = max(1, renewal.fleet_size)
                tokens[account] = self._grant(
                    renewal.node_id, account_terms, need, size, now
                )
        return TokenGrant(tokens, is_new and renewal.recent_spend is None)

    def release(self, node_id: NodeId, now: float) -> None:
        """End a node's lease."""
        if self._leases.pop(node_id, None) is None:
            return
        remaining_fraction = len(self._leases) / (len(self._leases) + 1)
        for pool in self._pools.values():
            pool.end_lease(node_id, remaining_fraction, now)

    def _record_recent_spend(
        self,
        node_id: NodeId,
        recent_spend: RecentSpend,
        terms: Mapping[AccountId, AccountTerms],
        now: float,
    ) -> None:
        for account, entries in recent_spend.items():
            account_terms = terms.get(account)
            if account_terms is not None and account_terms.rate_per_s > 0:
                times = sorted((now - age_s, tokens) for age_s, tokens in entries)
                self._get_pool(account_terms, now).spent[node_id] = SpentTokens(times)

    def _get_pool(self, account_terms: AccountTerms, now: float) -> _Pool:
        pool = self._pools.get(account_terms.account)
        if pool is None:
            level = account_terms.burst * self._over_factor + self._slack
            pool = _Pool(level=level, rate_per_s=account_terms.rate_per_s, now=now)
            self._pools[account_terms.account] = pool
        pool.set_rate(account_terms.rate_per_s)
        return pool

    def _grant(
        self,
        node_id: NodeId,
        account_terms: AccountTerms,
        need: TokenNeed,
        fleet_size: int,
        now: float,
    ) -> float:
        part = min(1.0, len(self._leases) / fleet_size)
        burst = account_terms.burst * self._over_factor + self._slack
        window_tokens = (
            account_terms.rate_per_s * self._over_factor * self._window_s + burst
        )
        pool = self._get_pool(account_terms, now)
        pool.record_need(node_id, need, now)
        added = max(0.0, now - pool.refilled_at) * window_tokens / self._window_s * part
        max_level = max(0.0, burst * part - sum(pool.held.values()))
        pool.level = min(max_level, pool.level + added)
        pool.refilled_at = now
        unknown = self._estimate_unknown(window_tokens, burst, fleet_size, now)
        spare = self._spare_over * window_tokens + self._spare_slack
        used = pool.count_used(self._leases, now - self._window_s)
        remaining = window_tokens * part - max(0.0, unknown - spare * part) - used
        tokens = max(0.0, min(pool.level, remaining, need.wanted - need.held))
        if not math.isfinite(tokens):
            return 0.0
        tokens = float(math.floor(tokens + TOKEN_EPSILON))
        pool.level -= tokens
        pool.held[node_id] += tokens
        return tokens

    def _estimate_unknown(
        self, window_tokens: float, burst: float, fleet_size: int, now: float
    ) -> float:
        """Return the maximum unrecorded spending from the leased parts.

        A holder grants at most a burst at once and then a window's tokens in each
        window.
        """
        tokens_per_s = window_tokens / self._window_s
        used = 0.0
        for lease in self._leases.values():
            unknown_s = self._window_s - (now - lease.known_since)
            if unknown_s > 0:
                used += min(window_tokens, burst + tokens_per_s * unknown_s)
        return used / fleet_size

    def _expire(self, now: float) -> None:
        expired = [n for n, lease in self._leases.items() if lease.expires_at <= now]
        for node_id in expired:
            self.release(node_id, now)
