"""Token bucket of one client account on one share, with outstanding grants."""

import math

import msgspec

GRANT_VALIDITY_S = 1.0
CLOCK_MARGIN = 0.1
GRANT_LIFE_S = GRANT_VALIDITY_S * (1 + CLOCK_MARGIN)

# Largest part of the bucket that one grant may take, so that no requester
# holds most of an account's burst.
MAX_GRANT_FRACTION = 0.25

# Fractions of a token are summed as floats; differences below this are equal.
TOKEN_EPSILON = 1e-9
MAX_WAIT_S = 3600.0


class _Grant:
    __slots__ = ("expires_at", "left", "returned", "spent", "tokens")

    def __init__(self, *, tokens: float, expires_at: float) -> None:
        self.tokens = tokens
        self.left = tokens
        self.spent = 0.0
        self.returned = 0.0
        self.expires_at = expires_at


class BucketState(msgspec.Struct, frozen=True, kw_only=True):
    """Level and outstanding tokens of a bucket at one moment."""

    level: float
    outstanding: float


class Bucket:
    """Level and outstanding grants of one account.

    Granted tokens leave the level at once and stay outstanding until they are
    reported as spent or returned, or until no requester can spend them any
    more. ``level + outstanding`` never exceeds ``burst``. All tokens that may
    be spent after a time s were therefore outstanding at s, in the level at s,
    or refilled after s, which bounds the tokens spent in [s, t] by
    burst + rate x (t - s).
    """

    __slots__ = ("_at", "_grants", "burst", "level", "outstanding", "rate")

    def __init__(self, *, rate: float, burst: float, level: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = min(level, burst)
        self.outstanding = 0.0
        self._at = now
        self._grants: dict[int, _Grant] = {}

    def adopt(self, *, rate: float, burst: float, now: float) -> None:
        """Take over a changed rate and burst; a lower burst cuts the level."""
        if rate == self.rate and burst == self.burst:
            return
        self.advance(now)
        self.rate = rate
        self.burst = burst
        self.level = max(0.0, min(self.level, burst - self.outstanding))

    def add_outstanding(self, grant_id: int, tokens: float, now: float) -> None:
        """Count tokens as outstanding that another holder granted before."""
        self.advance(now)
        self.level = max(0.0, min(self.level, self.burst - self.outstanding - tokens))
        self._add_grant(grant_id, tokens, now)

    def take(self, grant_id: int, *, need: float, want: float, now: float) -> float:
        """Grant at least ``need`` tokens, or none; return how many.

        Beyond ``need`` whole tokens are granted up to ``want``, but never more
        than a quarter of the burst.
        """
        self.advance(now)
        if need <= 0 or self.level < need - TOKEN_EPSILON:
            return 0.0
        most = min(want, self.level, max(need, self.burst * MAX_GRANT_FRACTION))
        tokens = need + max(0, math.floor(most - need + TOKEN_EPSILON))
        tokens = min(tokens, max(need, self.level))
        self.level = max(0.0, self.level - tokens)
        self._add_grant(grant_id, tokens, now)
        return tokens

    def settle(
        self, grant_id: int, *, spent: float, returned: float, now: float
    ) -> None:
        """Account for the tokens of a grant that were spent or come back.

        Both are totals since the grant, so that a repeated report changes
        nothing. Returned tokens join the level. A report about a grant that
        has expired is ignored.
        """
        self.advance(now)
        grant = self._grants.get(grant_id)
        if grant is None:
            return
        newly_spent = min(max(0.0, spent - grant.spent), grant.left)
        grant.spent += newly_spent
        grant.left -= newly_spent
        newly_returned = min(max(0.0, returned - grant.returned), grant.left)
        grant.returned += newly_returned
        grant.left -= newly_returned
        self.outstanding = max(0.0, self.outstanding - newly_spent - newly_returned)
        self._raise_level(newly_returned)
        if grant.left <= TOKEN_EPSILON:
            self._drop(grant_id)

    def wait_s(self, need: float, now: float) -> float:
        """Return how long refilling to ``need`` tokens takes, at least."""
        self.advance(now)
        missing = need - self.level
        if missing <= 0:
            return 0.0
        return min(MAX_WAIT_S, missing / self.rate) if self.rate > 0 else MAX_WAIT_S

    def export(self, now: float) -> BucketState:
        """Return the state that a planned handover transfers."""
        self.advance(now)
        return BucketState(level=self.level, outstanding=self.outstanding)

    def is_full(self, now: float) -> bool:
        """Return whether the bucket equals a new one that starts full."""
        self.advance(now)
        return not self._grants and self.level >= self.burst

    def advance(self, now: float) -> None:
        """Refill up to a time and drop the grants that end before it."""
        while self._grants:
            grant_id = next(iter(self._grants))
            expires_at = self._grants[grant_id].expires_at
            if expires_at > now:
                break
            self._refill(expires_at)
            self._drop(grant_id)
        self._refill(now)

    def _refill(self, now: float) -> None:
        if now > self._at:
            self._raise_level(self.rate * (now - self._at))
            self._at = now

    def _raise_level(self, tokens: float) -> None:
        room = self.burst - self.outstanding - self.level
        if room > 0:
            self.level += min(tokens, room)

    def _add_grant(self, grant_id: int, tokens: float, now: float) -> None:
        self.outstanding += tokens
        self._grants[grant_id] = _Grant(tokens=tokens, expires_at=now + GRANT_LIFE_S)

    def _drop(self, grant_id: int) -> None:
        grant = self._grants.pop(grant_id)
        self.outstanding = max(0.0, self.outstanding - grant.left)
        if not self._grants:
            self.outstanding = 0.0
