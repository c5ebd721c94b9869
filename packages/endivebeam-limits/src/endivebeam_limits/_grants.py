"""Tokens granted to a requesting node, and how many it requests in advance."""

import math

import msgspec

from ._bucket import GRANT_VALIDITY_S, MAX_GRANT_FRACTION, TOKEN_EPSILON

PREFETCH_S = 0.1
DEMAND_WINDOW_S = 0.5

# Unspent tokens are returned to their holder if no call requested one for this long.
IDLE_RETURN_S = 0.3
REPORT_DELAY_S = 0.25

# Fraction of a bucket's burst whose spending is reported without delay, because
# unreported tokens prevent a small bucket from refilling.
REPORT_FRACTION = 0.125
MAX_REPORTS = 512


class HolderKey(msgspec.Struct, frozen=True):
    """Slot of a share and the process that granted tokens from it.

    ``token`` is random per process start. A process ignores reports about grants
    of another process.
    """

    slot: int
    token: int


class TokenReport(msgspec.Struct, frozen=True, array_like=True):
    """Total spent and returned tokens of one grant."""

    grant_id: int
    spent: float
    returned: float


class _CachedGrant:
    __slots__ = (
        "expires_at",
        "grant_id",
        "holder",
        "remaining",
        "reported",
        "returned",
        "spent",
        "unreported_since",
    )

    def __init__(
        self, *, holder: HolderKey, grant_id: int, tokens: float, expires_at: float
    ) -> None:
        self.holder = holder
        self.grant_id = grant_id
        self.remaining = tokens
        self.spent = 0.0
        self.returned = 0.0
        self.reported = 0.0
        # Infinity if nothing is unreported, minus infinity to report at once.
        self.unreported_since = math.inf
        self.expires_at = expires_at


class GrantCache:
    """Granted tokens of one client account on one requesting node.

    Tokens are valid for one second on this node's clock, measured from before
    the request was sent. They are discarded afterwards, so that a node that was
    paused cannot spend tokens that its holder counts as expired. ``burst_share``
    is the burst of the account's bucket on one share.
    """

    __slots__ = (
        "_demand_at",
        "_demand_per_s",
        "_grants",
        "_last_spend_at",
        "burst_share",
    )

    def __init__(self, *, now: float) -> None:
        self.burst_share = 0.0
        self._grants: list[_CachedGrant] = []
        self._demand_per_s = 0.0
        self._demand_at = now
        self._last_spend_at = now

    def spend(self, now: float) -> bool:
        """Spend one token; return False if there is none."""
        self._last_spend_at = now
        for grant in self._grants:
            if grant.remaining >= 1.0 and grant.expires_at > now:
                grant.remaining -= 1.0
                grant.spent += 1.0
                if grant.unreported_since > now:
                    grant.unreported_since = now
                return True
        return self._spend_fractions(now)

    def count_demand(self, now: float) -> None:
        """Count one call in the estimate of recent demand."""
        decay = math.exp((self._demand_at - now) / DEMAND_WINDOW_S)
        self._demand_per_s = self._demand_per_s * decay + 1.0 / DEMAND_WINDOW_S
        self._demand_at = now

    def missing_tokens(self, now: float) -> float:
        """Return the fraction of a token that is missing for one whole token."""
        return max(0.0, 1.0 - self.remaining(now))

    def remaining(self, now: float) -> float:
        """Return the number of tokens that may still be spent."""
        return sum(grant.remaining for grant in self._grants if grant.expires_at > now)

    def prefetch_tokens(self, now: float) -> int:
        """Return how many tokens to request in advance; 0 if enough remain.

        A node keeps tokens for about 100 ms of its recent demand, but at most a
        quarter of the bucket's burst, and requests more when less than half of
        that number remains.
        """
        target = self.target_tokens(now)
        if target < 1:
            return 0
        remaining = self.remaining(now)
        return 0 if remaining >= target / 2 else max(0, math.ceil(target - remaining))

    def target_tokens(self, now: float) -> int:
        """Return how many tokens to keep in advance at the recent demand."""
        decay = math.exp((self._demand_at - now) / DEMAND_WINDOW_S)
        tokens = min(
            self._demand_per_s * decay * PREFETCH_S,
            self.burst_share * MAX_GRANT_FRACTION,
        )
        return math.floor(tokens)

    def add(
        self, holder: HolderKey, *, grant_id: int, tokens: float, requested_at: float
    ) -> None:
        """Add granted tokens.

        ``requested_at`` is the time just before the request was sent.
        """
        if tokens <= 0:
            return
        self._grants.append(
            _CachedGrant(
                holder=holder,
                grant_id=grant_id,
                tokens=tokens,
                expires_at=requested_at + GRANT_VALIDITY_S,
            )
        )

    def reports(self, holder: HolderKey) -> list[TokenReport]:
        """Return the unreported changes for this holder, and mark them as reported.

        Returns at most ``MAX_REPORTS``; the others stay due. Reports are totals,
        so that a lost report is corrected by the next one for the same grant or
        by the expiry of the grant.
        """
        reports = []
        for grant in self._grants:
            if grant.holder == holder and grant.spent + grant.returned > grant.reported:
                grant.reported = grant.spent + grant.returned
                grant.unreported_since = math.inf
                reports.append(TokenReport(grant.grant_id, grant.spent, grant.returned))
            if len(reports) >= MAX_REPORTS:
                break
        self._grants = [
            grant
            for grant in self._grants
            if grant.remaining > 0 or grant.spent + grant.returned > grant.reported
        ]
        return reports

    def reports_due(self, now: float) -> set[HolderKey]:
        """Return the holders that need a report now, and remove expired grants.

        Spent tokens are reported after a short delay, or at once if they are a
        large fraction of a small bucket. Tokens that no call has requested for
        ``IDLE_RETURN_S`` are returned.
        """
        self._grants = [grant for grant in self._grants if grant.expires_at > now]
        if now - self._last_spend_at >= IDLE_RETURN_S:
            self.return_all(now)
        due: set[HolderKey] = set()
        for grant in self._grants:
            unreported = grant.spent + grant.returned - grant.reported
            large = unreported >= self.burst_share * REPORT_FRACTION
            if unreported > 0 and (
                large or now - grant.unreported_since >= REPORT_DELAY_S
            ):
                due.add(grant.holder)
        return due

    def return_all(self, now: float) -> None:
        """Mark all unspent tokens for return, so that they cannot be spent."""
        for grant in self._grants:
            if grant.remaining > 0:
                grant.returned += grant.remaining
                grant.remaining = 0.0
                grant.unreported_since = -math.inf

    def is_empty(self) -> bool:
        """Return whether no grants with tokens or unreported changes remain."""
        return not self._grants

    def is_idle(self, now: float) -> bool:
        """Return whether the cache is empty and there was no recent demand."""
        return not self._grants and now - self._last_spend_at > 10 * DEMAND_WINDOW_S

    def _spend_fractions(self, now: float) -> bool:
        # Buckets with a burst below one token grant fractions, and fractions of
        # several buckets are combined into one token.
        if self.remaining(now) < 1.0 - TOKEN_EPSILON:
            return False
        missing = 1.0
        for grant in self._grants:
            if grant.expires_at > now and missing > 0:
                fraction = min(grant.remaining, missing)
                grant.remaining -= fraction
                grant.spent += fraction
                grant.unreported_since = min(grant.unreported_since, now)
                missing -= fraction
        return True
