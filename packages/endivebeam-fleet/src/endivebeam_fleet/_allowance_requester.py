"""Tokens of client accounts on the node that spends them."""

import math
from collections.abc import Mapping

from endivebeam_model import AccountId, NodeId

from ._allowances import LEASE_S, TOKEN_EPSILON, LeaseRenewal, TokenGrant, TokenNeed
from ._config import AccountTerms
from ._spent_tokens import SpentTokens

# A node requests whole tokens for its expected demand during this time. It requests
# more when a request finds no token.
TOKEN_HORIZON_S = 0.4
# After a grant of less than was requested, a node requests no more for this long.
EXHAUSTED_PAUSE_S = 0.1
DEMAND_WEIGHT = 0.3
DEMAND_PERIOD_S = 0.25


class _TokenBalance:
    """Tokens and demand of one account.

    ``reported`` is the number of tokens that this node has according to the holder,
    ``unserved`` the number of requests that wait for the next renewal.
    ``exhausted_until`` is the time until which no request waits for a token.
    """

    __slots__ = (
        "demand_per_s",
        "exhausted_until",
        "reported",
        "requested",
        "requests",
        "spent",
        "tokens",
        "unserved",
    )

    def __init__(self) -> None:
        self.tokens = 0.0
        self.reported = 0.0
        self.requested = 0.0
        self.exhausted_until = -math.inf
        self.unserved = 0
        self.requests = 0
        self.demand_per_s = 0.0
        self.spent = SpentTokens()

    def spend(self, now: float) -> bool:
        """Spend one token; return whether there was one."""
        if self.tokens < 1.0 - TOKEN_EPSILON:
            return False
        self.tokens -= 1.0
        self.spent.add(now, 1.0)
        return True


class AllowanceRequester:
    """Spends tokens and chooses the holder to request them from.

    ``started_at`` is the time since which the node has recorded its spending.
    """

    def __init__(self, *, node_id: NodeId, window_s: float, started_at: float) -> None:
        self.holder: NodeId | None = None
        self._node_id = node_id
        self._window_s = window_s
        self._started_at = started_at
        self._lease_expires_at = -math.inf
        self._previous_lease_expires_at = -math.inf
        self._sends_recent_spend = True
        self._balances: dict[AccountId, _TokenBalance] = {}
        self._demand_updated_at = started_at

    def spend(self, terms: AccountTerms, now: float) -> bool:
        """Spend one token of an account; return whether there was one."""
        balance = self._balances.get(terms.account)
        if balance is None:
            balance = self._balances[terms.account] = _TokenBalance()
        balance.requests += 1
        return self.has_lease(now) and balance.spend(now)

    def await_token(self, terms: AccountTerms, now: float) -> bool:
        """Request a token for a request that found none, with the next renewal.

        Returns false if the holder had too few tokens just before; the request
        should then be rejected.
        """
        balance = self._balances.get(terms.account)
        if balance is None or now < balance.exhausted_until:
            return False
        balance.unserved += 1
        return True

    def spend_after_wait(self, terms: AccountTerms, now: float) -> bool:
        """Spend a token for a request that found none before."""
        balance = self._balances.get(terms.account)
        return balance is not None and self.has_lease(now) and balance.spend(now)

    def refund(self, terms: AccountTerms) -> None:
        """Return the token of a request that did not reach a target."""
        balance = self._balances.get(terms.account)
        if balance is not None:
            balance.tokens += 1.0
            balance.spent.refund(1.0)

    def has_lease(self, now: float) -> bool:
        """Return whether a holder has a lease on this node's part."""
        return now < self._lease_expires_at

    def balance(self, terms: AccountTerms) -> float:
        """Return the unspent tokens of an account at this node."""
        balance = self._balances.get(terms.account)
        return balance.tokens if balance is not None else 0.0

    def demand_per_s(self, terms: AccountTerms) -> float:
        """Return the recent request rate of an account at this node."""
        balance = self._balances.get(terms.account)
        return balance.demand_per_s if balance is not None else 0.0

    def choose_holder(self, preferred: NodeId | None, now: float) -> bool:
        """Switch to another holder once the lease expired; return whether it did."""
        if preferred == self.holder or self.has_lease(now):
            return False
        self.holder = preferred
        return True

    def end_lease(self) -> None:
        """Discard all tokens, because the holder has ended the lease."""
        self._lease_expires_at = -math.inf
        self._sends_recent_spend = True
        for balance in self._balances.values():
            balance.tokens = balance.reported = 0.0

    def make_renewal(self, *, fleet_size: int, now: float) -> LeaseRenewal:
        """Return a renewal of the lease to send to the holder."""
        if not self.has_lease(now):
            # The holder no longer counts the tokens of an expired lease.
            self.end_lease()
        self._previous_lease_expires_at = self._lease_expires_at
        self._lease_expires_at = now + LEASE_S
        self._update_demand(now)
        needs = {}
        for account, balance in self._balances.items():
            need = _compute_need(balance)
            if need is not None:
                needs[account] = need
        return LeaseRenewal(
            node_id=self._node_id,
            fleet_size=fleet_size,
            needs=needs,
            memory_s=now - self._started_at,
            recent_spend=self._recent_spend(now) if self._sends_recent_spend else None,
        )

    def record_not_sent(self) -> None:
        """Restore the lease expiry after a renewal that did not reach the holder.

        Must be called only if this is certain.
        """
        self._lease_expires_at = self._previous_lease_expires_at

    def add_tokens(self, grant: TokenGrant, now: float) -> None:
        """Add the granted tokens."""
        self._sends_recent_spend = grant.wants_recent_spend
        for account, tokens in grant.tokens.items():
            balance = self._balances.get(account)
            if balance is not None:
                balance.tokens += tokens
                balance.reported += tokens
                if tokens < balance.requested - TOKEN_EPSILON:
                    balance.exhausted_until = now + EXHAUSTED_PAUSE_S

    def _recent_spend(
        self, now: float
    ) -> Mapping[AccountId, list[tuple[float, float]]]:
        since = now - self._window_s
        return {
            account: balance.spent.ages(now)
            for account, balance in self._balances.items()
            if balance.spent.total(since) > TOKEN_EPSILON
        }

    def _update_demand(self, now: float) -> None:
        elapsed_s = now - self._demand_updated_at
        if elapsed_s < DEMAND_PERIOD_S / 2:
            return
        self._demand_updated_at = now
        weight = min(1.0, DEMAND_WEIGHT * elapsed_s / DEMAND_PERIOD_S)
        for balance in self._balances.values():
            rate = balance.requests / elapsed_s
            balance.requests = 0
            balance.demand_per_s += weight * (rate - balance.demand_per_s)
            balance.spent.total(now - self._window_s)


def _compute_need(balance: _TokenBalance) -> TokenNeed | None:
    """Return the need to report to the holder, or None if there is none."""
    # A fraction of a token serves no request. Where requests of an account arrive at
    # many nodes, the fractions that they hold would add up to most of its tokens.
    wanted = math.floor(balance.demand_per_s * TOKEN_HORIZON_S) + balance.unserved
    balance.unserved = 0
    # Tokens above the need are returned, so that other nodes can use them.
    returned = max(0.0, balance.tokens - wanted)
    balance.tokens -= returned
    balance.requested = wanted - balance.tokens
    if not wanted and balance.reported <= TOKEN_EPSILON:
        return None
    balance.reported = balance.tokens
    return TokenNeed(balance.tokens, wanted, returned)
