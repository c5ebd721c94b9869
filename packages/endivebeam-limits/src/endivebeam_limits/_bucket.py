"""Token bucket of a client account on one share, and its outstanding grants."""

import math

import msgspec

# A requester may spend a grant for GRANT_VALIDITY_S on its own clock. The holder
# counts it as outstanding longer by the fraction CLOCK_MARGIN, because clocks differ
# in speed.
GRANT_VALIDITY_S = 1.0
CLOCK_MARGIN = 0.1
GRANT_LIFETIME_S = GRANT_VALIDITY_S * (1 + CLOCK_MARGIN)

# Largest fraction of the burst in one grant, so that no requester holds most of
# an account's burst.
MAX_GRANT_FRACTION = 0.25

# Rounding tolerance for sums of fractions of a token.
TOKEN_EPSILON = 1e-9
MAX_WAIT_S = 3600.0


class _Grant:
    __slots__ = ("expires_at", "remaining", "returned", "spent", "tokens")

    def __init__(self, *, tokens: float, expires_at: float) -> None:
        self.tokens = tokens
        self.remaining = tokens
        self.spent = 0.0
        self.returned = 0.0
        self.expires_at = expires_at


class BucketState(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens in a bucket and outstanding tokens at one time."""

    level: float
    outstanding: float


class Bucket:
    """Token bucket that counts granted tokens until they are spent or expire.

    ``rate`` is in tokens per second; times are monotonic seconds. Granted tokens
    are deducted from ``level`` at once and stay outstanding until they are
    reported as spent or returned, or until the grant has expired at every
    requester. ``level + outstanding`` never exceeds ``burst``. All tokens that
    can be spent after a time s were therefore outstanding at s, in the level at
    s, or refilled after s, which bounds the tokens spent in [s, t] by
    burst + rate x (t - s).
    """

    __slots__ = ("_grants", "_refilled_at", "burst", "level", "outstanding", "rate")

    def __init__(self, *, rate: float, burst: float, level: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = min(level, burst)
        self.outstanding = 0.0
        self._refilled_at = now
        self._grants: dict[int, _Grant] = {}

    def reconfigure(self, *, rate: float, burst: float, now: float) -> None:
        """Change the rate and burst; a lower burst reduces the level."""
        if rate == self.rate and burst == self.burst:
            return
        self.advance(now)
        self.rate = rate
        self.burst = burst
        self.level = max(0.0, min(self.level, burst - self.outstanding))

    def add_outstanding(self, grant_id: int, tokens: float, now: float) -> None:
        """Count tokens that the previous holder granted as outstanding."""
        self.advance(now)
        self.level = max(0.0, min(self.level, self.burst - self.outstanding - tokens))
        self._add_grant(grant_id, tokens, now)

    def grant(self, grant_id: int, *, need: float, want: float, now: float) -> float:
        """Grant at least ``need`` tokens or none, and return the number granted.

        Beyond ``need``, whole tokens are granted up to ``want``, as long as the
        grant does not exceed a quarter of the burst.
        """
        self.advance(now)
        # The chained comparison is false for NaN, which therefore grants nothing.
        if not 0 < need <= want or self.level < need - TOKEN_EPSILON:
            return 0.0
        max_tokens = min(want, self.level, max(need, self.burst * MAX_GRANT_FRACTION))
        tokens = need + max(0, math.floor(max_tokens - need + TOKEN_EPSILON))
        tokens = min(tokens, max(need, self.level))
        self.level = max(0.0, self.level - tokens)
        self._add_grant(grant_id, tokens, now)
        return tokens

    def settle(
        self, grant_id: int, *, spent: float, returned: float, now: float
    ) -> None:
        """Record the spent and returned tokens of a grant.

        Both are totals since the grant, so that a repeated report has no effect.
        Returned tokens are added to the level. A report about an expired grant
        is ignored.
        """
        self.advance(now)
        grant = self._grants.get(grant_id)
        if grant is None:
            return
        newly_spent = min(max(0.0, spent - grant.spent), grant.remaining)
        grant.spent += newly_spent
        grant.remaining -= newly_spent
        newly_returned = min(max(0.0, returned - grant.returned), grant.remaining)
        grant.returned += newly_returned
        grant.remaining -= newly_returned
        self.outstanding = max(0.0, self.outstanding - newly_spent - newly_returned)
        self._raise_level(newly_returned)
        if grant.remaining <= TOKEN_EPSILON:
            self._remove_grant(grant_id)

    def wait_s(self, need: float, now: float) -> float:
        """Return the minimum time in seconds until the level reaches ``need``."""
        self.advance(now)
        missing = need - self.level
        if missing <= 0:
            return 0.0
        return min(MAX_WAIT_S, missing / self.rate) if self.rate > 0 else MAX_WAIT_S

    def export(self, now: float) -> BucketState:
        """Return the state to transfer in a planned handover."""
        self.advance(now)
        return BucketState(level=self.level, outstanding=self.outstanding)

    def advance(self, now: float) -> None:
        """Refill up to ``now`` and remove the grants that have expired by then."""
        while self._grants:
            grant_id = next(iter(self._grants))
            expires_at = self._grants[grant_id].expires_at
            if expires_at > now:
                break
            self._refill(expires_at)
            self._remove_grant(grant_id)
        self._refill(now)

    def _refill(self, now: float) -> None:
        if now > self._refilled_at:
            self._raise_level(self.rate * (now - self._refilled_at))
            self._refilled_at = now

    def _raise_level(self, tokens: float) -> None:
        room = self.burst - self.outstanding - self.level
        if room > 0:
            self.level += min(tokens, room)

    def _add_grant(self, grant_id: int, tokens: float, now: float) -> None:
        self.outstanding += tokens
        self._grants[grant_id] = _Grant(
            tokens=tokens, expires_at=now + GRANT_LIFETIME_S
        )

    def _remove_grant(self, grant_id: int) -> None:
        grant = self._grants.pop(grant_id)
        self.outstanding = max(0.0, self.outstanding - grant.remaining)
        if not self._grants:
            self.outstanding = 0.0
