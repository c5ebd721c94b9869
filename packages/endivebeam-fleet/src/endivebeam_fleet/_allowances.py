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
    """What a node holds of an account's tokens and how many it wants in all.

    ``returned`` are tokens that it held and gives back unspent.
    """

    held: float
    wanted: float
    returned: float = 0.0


class _Pool:
    """Tokens of one account at its holder.

    ``spent`` has the tokens that nodes spent in the last window, ``held`` those that
    they may still spend, and ``level`` those that may be granted at once.
    """

    __slots__ = ("at", "held", "level", "rate_per_s", "spent")

    def __init__(self, *, level: float, rate_per_s: float, now: float) -> None:
        self.level = level
        self.rate_per_s = rate_per_s
        self.at = now
        self.held: dict[NodeId, float] = {}
        self.spent: deque[tuple[float, float]] = deque()

    def note_need(self, node_id: NodeId, need: TokenNeed, now: float) -> None:
        """Take a node's word about its tokens; what it does not hold it has spent."""
        known = self.held.get(node_id, 0.0)
        returned = min(known, max(0.0, need.returned))
        held = min(known - returned, max(0.0, need.held))
        self.held[node_id] = held
        self.level += returned
        self.note_spent(known - returned - held, now)

    def note_spent(self, tokens: float, now: float) -> None:
        """Count tokens as spent."""
        if tokens > TOKEN_EPSILON:
            self.spent.append((now, tokens))

    def end_loan(self, node_id: NodeId, left: float, now: float) -> None:
        """Take a node and its share of the tokens and of the past off the account."""
        self.note_spent(self.held.pop(node_id, 0.0), now)
        self.level *= left
        self.spent = deque((at, tokens * left) for at, tokens in self.spent)

    def adopt_rate(self, rate_per_s: float) -> None:
        """Count the past in proportion when the account's rate changes.

        Counted in full, it would fill a smaller window for its whole length, and the
        account would get nothing.
        """
        if rate_per_s != self.rate_per_s:
            ratio = rate_per_s / self.rate_per_s
            self.level *= ratio
            self.spent = deque((at, tokens * ratio) for at, tokens in self.spent)
            self.rate_per_s = rate_per_s

    def count_used(self, since: float) -> float:
        """Return the tokens that are held or were spent after a time."""
        while self.spent and self.spent[0][0] < since:
            self.spent.popleft()
        return sum(tokens for _, tokens in self.spent) + sum(self.held.values())


class _Loan(msgspec.Struct):
    """A node's parts: since when this holder has them, and until when."""

    since: float
    until: float


class AllowanceHolder:
    """Hands out the tokens of the parts that nodes lent to this one.

    An account may have its rate times the window plus its burst in any window, and
    its burst at once. Another holder may have granted a whole window from a part
    until it came here, so a part counts as used up until the window no longer reaches
    back to then. A part that leaves takes its share of the tokens and of the past
    along. So the bound holds for all holders together, however often parts move.
    """

    def __init__(self, *, tolerance: Tolerance) -> None:
        self._over = 1.0 + tolerance.over * USED_TOLERANCE
        self._slack = tolerance.slack * USED_TOLERANCE
        self._window_s = tolerance.window_s
        self._pools: dict[AccountId, _Pool] = {}
        self._loans: dict[NodeId, _Loan] = {}

    def lenders(self, now: float) -> int:
        """Return how many nodes lend their parts at present."""
        self._expire(now)
        return len(self._loans)

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
        loan = self._loans.get(node_id)
        if loan is None:
            loan = self._loans[node_id] = _Loan(since=now, until=now)
        loan.until = now + LEASE_S
        granted = {}
        for account, need in needs.items():
            limit = terms.get(account)
            if limit is not None and limit.rate_per_s > 0:
                granted[account] = self._grant(
                    node_id, limit, need, max(1, fleet_size), now
                )
        return granted

    def release(self, node_id: NodeId, now: float) -> None:
        """End a node's loan."""
        if self._loans.pop(node_id, None) is None:
            return
        left = len(self._loans) / (len(self._loans) + 1)
        for pool in self._pools.values():
            pool.end_loan(node_id, left, now)

    def _grant(
        self,
        node_id: NodeId,
        limit: AccountTerms,
        need: TokenNeed,
        fleet_size: int,
        now: float,
    ) -> float:
        part = min(1.0, len(self._loans) / fleet_size)
        burst = limit.burst * self._over + self._slack
        window = limit.rate_per_s * self._over * self._window_s + burst
        pool = self._pools.get(limit.account)
        if pool is None:
            pool = _Pool(level=burst, rate_per_s=limit.rate_per_s, now=now)
            self._pools[limit.account] = pool
        pool.adopt_rate(limit.rate_per_s)
        pool.note_need(node_id, need, now)
        added = max(0.0, now - pool.at) * window / self._window_s * part
        depth = max(0.0, burst * part - sum(pool.held.values()))
        pool.level = min(depth, pool.level + added)
        pool.at = now
        unknown = self._assume_used(window, burst, fleet_size, now)
        left = window * part - unknown - pool.count_used(now - self._window_s)
        tokens = max(0.0, min(pool.level, left, need.wanted - need.held))
        if not math.isfinite(tokens):
            return 0.0
        pool.level -= tokens
        pool.held[node_id] += tokens
        return tokens

    def _assume_used(
        self, window: float, burst: float, fleet_size: int, now: float
    ) -> float:
        """Return what earlier holders of the lent parts may have let through.

        A holder lets through at most a burst at once and then a window's tokens in
        each window.
        """
        per_s = window / self._window_s
        used = 0.0
        for loan in self._loans.values():
            reach_s = self._window_s - (now - loan.since)
            if reach_s > 0:
                used += min(window, burst + per_s * reach_s)
        return used / fleet_size

    def _expire(self, now: float) -> None:
        gone = [n for n, loan in self._loans.items() if loan.until <= now]
        for node_id in gone:
            self.release(node_id, now)


class _Wallet:
    """Tokens of one account at the node that spends them."""

    __slots__ = (
        "asked",
        "demand_per_s",
        "dry",
        "reported",
        "requests",
        "short",
        "tokens",
    )

    def __init__(self) -> None:
        self.tokens = 0.0
        # What the holder believes this node to hold.
        self.reported = 0.0
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
            wallet.tokens = wallet.reported = 0.0

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
            returned = max(0.0, wallet.tokens - wanted)
            wallet.tokens -= returned
            wallet.asked = wanted - wallet.tokens
            if wanted > MIN_WANTED or wallet.reported > TOKEN_EPSILON:
                needs[account] = TokenNeed(wallet.tokens, wanted, returned)
                wallet.reported = wallet.tokens
            else:
                wallet.dry = False
        return needs

    def receive(self, granted: Mapping[AccountId, float]) -> None:
        """Add the tokens of an answer."""
        for account, tokens in granted.items():
            wallet = self._wallets.get(account)
            if wallet is not None:
                wallet.tokens += tokens
                wallet.reported += tokens
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
