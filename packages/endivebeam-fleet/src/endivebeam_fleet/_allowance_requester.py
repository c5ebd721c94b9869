"""The tokens of client accounts at the node that spends them."""

import math
from collections.abc import Mapping

from endivebeam_model import AccountId, NodeId

from ._allowances import LEASE_S, TOKEN_EPSILON, LeaseRenewal, TokenGrant, TokenNeed
from ._config import AccountTerms
from ._spent_tokens import SpentTokens

# A node asks for what it needs during about this time; the rest of its need is
# asked for when a request finds no token.
TOKEN_HORIZON_S = 0.4
DEMAND_WEIGHT = 0.3
DEMAND_PERIOD_S = 0.25
# Below this need a node asks for nothing until a request comes.
MIN_WANTED = 0.05


class _Wallet:
    """Tokens of one account; ``reported`` is what the holder believes to be here."""

    __slots__ = (
        "asked",
        "demand_per_s",
        "exhausted",
        "reported",
        "requests",
        "short",
        "spent",
        "tokens",
    )

    def __init__(self) -> None:
        self.tokens = 0.0
        self.reported = 0.0
        self.asked = 0.0
        self.exhausted = False
        self.short = 0
        self.requests = 0
        self.demand_per_s = 0.0
        self.spent = SpentTokens()

    def take(self, now: float) -> bool:
        """Take one token; return whether there was one."""
        if self.tokens < 1.0 - TOKEN_EPSILON:
            return False
        self.tokens -= 1.0
        self.spent.add(now, 1.0)
        return True


class AllowanceRequester:
    """Spends tokens and decides which holder this node requests them from.

    ``started_at`` is when the node began to remember what it spends.
    """

    def __init__(self, *, node_id: NodeId, window_s: float, started_at: float) -> None:
        self.holder: NodeId | None = None
        self._node_id = node_id
        self._window_s = window_s
        self._started_at = started_at
        self._lease_until = -math.inf
        self._previous_lease_until = -math.inf
        self._sends_recent_spend = True
        self._wallets: dict[AccountId, _Wallet] = {}
        self._measured_at = started_at

    def spend(self, terms: AccountTerms, now: float) -> bool:
        """Take one token of an account; return whether there was one."""
        wallet = self._wallets.get(terms.account)
        if wallet is None:
            wallet = self._wallets[terms.account] = _Wallet()
        wallet.requests += 1
        if self.has_lease(now) and wallet.take(now):
            return True
        wallet.short += 1
        return False

    def retry_spend(self, terms: AccountTerms, now: float) -> bool:
        """Take a token for a request that found none before."""
        wallet = self._wallets.get(terms.account)
        return wallet is not None and self.has_lease(now) and wallet.take(now)

    def refund(self, terms: AccountTerms) -> None:
        """Return the token of a request that did not reach a target."""
        wallet = self._wallets.get(terms.account)
        if wallet is not None:
            wallet.tokens += 1.0
            wallet.spent.take_back(1.0)

    def has_lease(self, now: float) -> bool:
        """Return whether a holder has a lease on this node's parts."""
        return now < self._lease_until

    def demand_per_s(self, terms: AccountTerms) -> float:
        """Return the recent requests of an account at this node, per second."""
        wallet = self._wallets.get(terms.account)
        return wallet.demand_per_s if wallet is not None else 0.0

    def is_exhausted(self, terms: AccountTerms) -> bool:
        """Return whether the holder granted less than was wanted last time."""
        wallet = self._wallets.get(terms.account)
        return wallet is not None and wallet.exhausted

    def choose_holder(self, preferred: NodeId | None, now: float) -> bool:
        """Take another holder once the lease has lapsed; return whether it did."""
        if preferred == self.holder or self.has_lease(now):
            return False
        self.holder = preferred
        return True

    def end_lease(self) -> None:
        """Discard all tokens, because the holder has ended the lease."""
        self._lease_until = -math.inf
        self._sends_recent_spend = True
        for wallet in self._wallets.values():
            wallet.tokens = wallet.reported = 0.0

    def make_renewal(self, *, fleet_size: int, now: float) -> LeaseRenewal:
        """Return a renewal of the lease to send to the holder."""
        if not self.has_lease(now):
            # The holder no longer counts the tokens of an expired lease.
            self.end_lease()
        self._previous_lease_until = self._lease_until
        self._lease_until = now + LEASE_S
        self._measure(now)
        needs = {}
        for account, wallet in self._wallets.items():
            need = _ask(wallet)
            if need is not None:
                needs[account] = need
        return LeaseRenewal(
            node_id=self._node_id,
            fleet_size=fleet_size,
            needs=needs,
            memory_s=now - self._started_at,
            recent_spend=self._recent_spend(now) if self._sends_recent_spend else None,
        )

    def note_not_sent(self) -> None:
        """Note that the last renewal certainly did not reach the holder."""
        self._lease_until = self._previous_lease_until

    def add_tokens(self, granted: TokenGrant) -> None:
        """Add the granted tokens."""
        self._sends_recent_spend = granted.wants_recent_spend
        for account, tokens in granted.tokens.items():
            wallet = self._wallets.get(account)
            if wallet is not None:
                wallet.tokens += tokens
                wallet.reported += tokens
                wallet.exhausted = tokens < wallet.asked - TOKEN_EPSILON

    def _recent_spend(
        self, now: float
    ) -> Mapping[AccountId, list[tuple[float, float]]]:
        since = now - self._window_s
        return {
            account: wallet.spent.ages(now)
            for account, wallet in self._wallets.items()
            if wallet.spent.total(since) > TOKEN_EPSILON
        }

    def _measure(self, now: float) -> None:
        elapsed_s = now - self._measured_at
        if elapsed_s < DEMAND_PERIOD_S / 2:
            return
        self._measured_at = now
        weight = min(1.0, DEMAND_WEIGHT * elapsed_s / DEMAND_PERIOD_S)
        for wallet in self._wallets.values():
            rate = wallet.requests / elapsed_s
            wallet.requests = 0
            wallet.demand_per_s += weight * (rate - wallet.demand_per_s)
            wallet.spent.total(now - self._window_s)


def _ask(wallet: _Wallet) -> TokenNeed | None:
    """Return what a wallet needs, or None when the holder need not know of it."""
    wanted = wallet.demand_per_s * TOKEN_HORIZON_S + wallet.short
    wallet.short = 0
    # Tokens beyond the need go back, so that other nodes can have them.
    returned = max(0.0, wallet.tokens - wanted)
    wallet.tokens -= returned
    wallet.asked = wanted - wallet.tokens
    if wanted <= MIN_WANTED and wallet.reported <= TOKEN_EPSILON:
        wallet.exhausted = False
        return None
    wallet.reported = wallet.tokens
    return TokenNeed(wallet.tokens, wanted, returned)
