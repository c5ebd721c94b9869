"""Rate allowances of client accounts, divided over the fleet by lending.

Each of N nodes owns 1/N of the rate and burst of every account. It lends its
part to one holder at a time, for as long as a lease, and the holder hands out
tokens from the parts it was lent. In a partition each side therefore spends at
most the parts of its own nodes, and the sum never exceeds the whole.
"""

import math
from collections import deque
from collections.abc import Mapping

import msgspec

from endivebeam_model import AccountId, NodeId

from ._config import AccountTerms

# A node asks for what it needs during about this time; the rest of its need is
# asked for when a request finds no token.
TOKEN_HORIZON_S = 0.4
DEMAND_WEIGHT = 0.3
# Below this need a node asks for nothing until a request comes.
MIN_WANTED = 0.05
# Fractions of tokens are summed as floats; differences below this are equal.
TOKEN_EPSILON = 1e-6
LEASE_S = 1.5


# The rest of the tolerance covers tokens that nodes hold while a holder changes.
USED_TOLERANCE = 0.6


class Tolerance(msgspec.Struct, frozen=True, kw_only=True):
    """What the operators accept above an allowance in any ``window_s`` seconds.

    ``over`` is a part of the allowance, ``slack`` a number of requests.
    """

    over: float = 0.0
    slack: float = 0.0
    window_s: float = 5.0


class TokenNeed(msgspec.Struct, frozen=True, array_like=True):
    """What a node holds of an account's tokens and how many it wants in all."""

    held: float
    wanted: float


class _Terms(msgspec.Struct, frozen=True):
    """What one account may have of the parts lent to the holder.

    ``burst`` bounds the tokens that wait or are held, ``window`` all that is granted
    in one window.
    """

    rate_per_s: float
    burst: float
    window: float


class _Pool:
    """Tokens of one account at its holder."""

    __slots__ = ("_scale", "_since", "at", "granted", "held", "level")

    def __init__(self, *, now: float) -> None:
        self.level = 0.0
        self.at = now
        self.held: dict[NodeId, float] = {}
        self.granted: deque[tuple[float, float]] = deque()
        self._since = now
        self._scale = 0.0

    def rescale(self, window: float) -> None:
        """Count earlier grants in proportion when the account's terms change.

        Counted in full, they would fill a smaller window for its whole length, and
        the account would get nothing.
        """
        if self._scale and window != self._scale:
            ratio = window / self._scale
            self.level *= ratio
            self.granted = deque((t, tokens * ratio) for t, tokens in self.granted)
        self._scale = window

    def count_granted(self, terms: _Terms, window_s: float, now: float) -> float:
        """Return the tokens granted in the window that ends now.

        An earlier holder may have granted whole windows until this pool began, so
        its grants are assumed until the window no longer reaches back to them.
        """
        while self.granted and self.granted[0][0] < now - window_s:
            self.granted.popleft()
        known = sum(tokens for _, tokens in self.granted)
        age_s = now - self._since
        if age_s >= window_s:
            return known
        return known + terms.window - terms.rate_per_s * age_s


class AllowanceHolder:
    """Hands out the tokens of the parts that nodes lent to this one.

    An account may have its rate times the window plus its burst in any window.
    The tokens of a window are refilled evenly over it; what nodes hold counts
    against the burst, and all that was granted counts against the window.
    """

    def __init__(self, *, tolerance: Tolerance) -> None:
        self._over = 1.0 + tolerance.over * USED_TOLERANCE
        self._slack = tolerance.slack * USED_TOLERANCE
        self._window_s = tolerance.window_s
        self._pools: dict[AccountId, _Pool] = {}
        self._lenders: dict[NodeId, float] = {}

    def lenders(self, now: float) -> int:
        """Return how many nodes lend their parts at present."""
        self._expire(now)
        return len(self._lenders)

    def exchange(
        self,
        *,
        node_id: NodeId,
        fleet_size: int,
        needs: Mapping[AccountId, TokenNeed],
        terms: Mapping[AccountId, AccountTerms],
        now: float,
    ) -> dict[AccountId, float]:
        """Renew a node's loan and return the tokens granted to it."""
        self._expire(now)
        self._lenders[node_id] = now + LEASE_S
        part = min(1.0, len(self._lenders) / max(1, fleet_size))
        granted = {}
        for account, need in needs.items():
            limit = terms.get(account)
            if limit is not None and limit.rate_per_s > 0:
                granted[account] = self._grant(node_id, limit, need, part, now)
        return granted

    def release(self, node_id: NodeId) -> None:
        """End a node's loan; its tokens are spent or returned already."""
        self._lenders.pop(node_id, None)
        for pool in self._pools.values():
            pool.held.pop(node_id, None)

    def _grant(
        self,
        node_id: NodeId,
        limit: AccountTerms,
        need: TokenNeed,
        part: float,
        now: float,
    ) -> float:
        pool = self._pools.get(limit.account)
        if pool is None:
            pool = self._pools[limit.account] = _Pool(now=now)
        terms = self._terms_of(limit, part)
        full = self._terms_of(limit, 1.0)
        pool.rescale(full.window)
        pool.held[node_id] = max(0.0, need.held)
        room = max(0.0, terms.burst - sum(pool.held.values()))
        refill = max(0.0, now - pool.at) * terms.window / self._window_s
        pool.level = min(room, pool.level + refill)
        pool.at = now
        left = terms.window - pool.count_granted(terms, self._window_s, now)
        tokens = max(0.0, min(pool.level, left, need.wanted - need.held))
        if not math.isfinite(tokens) or not tokens:
            return 0.0
        pool.granted.append((now, tokens))
        pool.level -= tokens
        pool.held[node_id] += tokens
        return tokens

    def _terms_of(self, limit: AccountTerms, part: float) -> _Terms:
        rate_per_s = limit.rate_per_s * self._over * part
        burst = (limit.burst * self._over + self._slack) * part
        return _Terms(rate_per_s, burst, rate_per_s * self._window_s + burst)

    def _expire(self, now: float) -> None:
        gone = [n for n, until in self._lenders.items() if until <= now]
        for node_id in gone:
            self.release(node_id)


class _Wallet:
    """Tokens of one account at the node that spends them."""

    __slots__ = ("asked", "demand_per_s", "dry", "requests", "short", "tokens")

    def __init__(self) -> None:
        self.tokens = 0.0
        self.asked = 0.0
        self.dry = False
        self.short = 0
        self.requests = 0
        self.demand_per_s = 0.0


class AllowanceBorrower:
    """Spends tokens and decides to which holder this node lends its parts."""

    def __init__(self) -> None:
        self.holder: NodeId | None = None
        self._lent_until = -math.inf
        self._wallets: dict[AccountId, _Wallet] = {}
        self._measured_at = 0.0

    def spend(self, terms: AccountTerms) -> bool:
        """Take one token of an account; return whether there was one."""
        wallet = self._wallets.get(terms.account)
        if wallet is None:
            wallet = self._wallets[terms.account] = _Wallet()
        wallet.requests += 1
        if self._take(wallet):
            return True
        wallet.short += 1
        return False

    def demand_per_s(self, terms: AccountTerms) -> float:
        """Return the recent requests of an account at this node, per second."""
        wallet = self._wallets.get(terms.account)
        return wallet.demand_per_s if wallet is not None else 0.0

    def is_dry(self, terms: AccountTerms) -> bool:
        """Return whether the holder gave less than was asked at the last exchange."""
        wallet = self._wallets.get(terms.account)
        return wallet is not None and wallet.dry

    def spend_again(self, terms: AccountTerms) -> bool:
        """Take a token for a request that found none before."""
        wallet = self._wallets.get(terms.account)
        return wallet is not None and self._take(wallet)

    def refund(self, terms: AccountTerms) -> None:
        """Return the token of a request that did not reach a target."""
        wallet = self._wallets.get(terms.account)
        if wallet is not None:
            wallet.tokens += 1.0

    def choose_holder(self, preferred: NodeId | None, now: float) -> bool:
        """Take another holder once the lease has lapsed; return whether it did."""
        if preferred == self.holder or now < self._lent_until:
            return False
        self.holder = preferred
        return True

    def withdraw(self) -> None:
        """Give up all tokens, because the holder has ended the loan."""
        self._lent_until = -math.inf
        for wallet in self._wallets.values():
            wallet.tokens = 0.0

    def lend(self, now: float) -> dict[AccountId, TokenNeed]:
        """Start an exchange with the holder; return what this node needs."""
        if now >= self._lent_until:
            # The holder no longer counts the tokens of a lapsed loan.
            self.withdraw()
        self._lent_until = now + LEASE_S
        self._measure(now)
        needs = {}
        for account, wallet in self._wallets.items():
            wanted = wallet.demand_per_s * TOKEN_HORIZON_S + wallet.short
            wallet.short = 0
            # Tokens beyond the need go back, so that other nodes can have them.
            wallet.tokens = min(wallet.tokens, wanted)
            wallet.asked = wanted - wallet.tokens
            if wanted > MIN_WANTED:
                needs[account] = TokenNeed(held=wallet.tokens, wanted=wanted)
            else:
                wallet.dry = False
        return needs

    def receive(self, granted: Mapping[AccountId, float]) -> None:
        """Add the tokens of an answer."""
        for account, tokens in granted.items():
            wallet = self._wallets.get(account)
            if wallet is not None:
                wallet.tokens += tokens
                wallet.dry = tokens < wallet.asked - TOKEN_EPSILON

    def _measure(self, now: float) -> None:
        elapsed_s = now - self._measured_at
        if elapsed_s < 0.1:
            return
        self._measured_at = now
        weight = min(1.0, DEMAND_WEIGHT * elapsed_s / 0.25)
        for wallet in self._wallets.values():
            rate = wallet.requests / elapsed_s
            wallet.requests = 0
            wallet.demand_per_s += weight * (rate - wallet.demand_per_s)

    @staticmethod
    def _take(wallet: _Wallet) -> bool:
        if wallet.tokens < 1.0 - TOKEN_EPSILON:
            return False
        wallet.tokens -= 1.0
        return True
