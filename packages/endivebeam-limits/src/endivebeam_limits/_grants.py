"""Tokens that a requesting node holds, and how many it asks for ahead."""

import math

import msgspec

from ._bucket import GRANT_VALIDITY_S, MAX_GRANT_FRACTION, TOKEN_EPSILON

PREFETCH_S = 0.1
DEMAND_WINDOW_S = 0.5

# Tokens that no call has wanted for this long go back to their holder.
IDLE_RETURN_S = 0.3
REPORT_DELAY_S = 0.25

# Part of a bucket's burst whose spending is reported without delay, because
# unreported tokens keep a small bucket from refilling.
REPORT_FRACTION = 0.125
MAX_REPORTS = 512


class HolderKey(msgspec.Struct, frozen=True):
    """A slot and the process that granted there.

    ``token`` is random per process start. Reports that reach another process
    than the one that granted are ignored by it.
    """

    slot: int
    token: int


class TokenReport(msgspec.Struct, frozen=True, array_like=True):
    """Totals of spent and returned tokens of one grant."""

    grant_id: int
    spent: float
    returned: float


class _Lot:
    __slots__ = (
        "changed_at",
        "expires_at",
        "grant_id",
        "holder",
        "left",
        "reported",
        "returned",
        "spent",
    )

    def __init__(
        self, *, holder: HolderKey, grant_id: int, tokens: float, expires_at: float
    ) -> None:
        self.holder = holder
        self.grant_id = grant_id
        self.left = tokens
        self.spent = 0.0
        self.returned = 0.0
        self.reported = 0.0
        self.changed_at = math.inf
        self.expires_at = expires_at


class GrantCache:
    """Granted tokens of one client account on one requesting node.

    Tokens are valid for one second on this node's clock, counted from before
    the request was sent. They are discarded afterwards, so that a node that
    was paused cannot spend them.
    """

    __slots__ = ("_demand", "_demand_at", "_lots", "_taken_at", "burst_share")

    def __init__(self, *, now: float) -> None:
        self.burst_share = 0.0
        self._lots: list[_Lot] = []
        self._demand = 0.0
        self._demand_at = now
        self._taken_at = now

    def take(self, now: float) -> bool:
        """Spend one token; return False when there is none."""
        self._taken_at = now
        for lot in self._lots:
            if lot.left >= 1.0 and lot.expires_at > now:
                lot.left -= 1.0
                lot.spent += 1.0
                if lot.changed_at > now:
                    lot.changed_at = now
                return True
        return self._take_pieces(now)

    def count_demand(self, now: float) -> None:
        """Count one call in the estimate of recent demand."""
        decay = math.exp((self._demand_at - now) / DEMAND_WINDOW_S)
        self._demand = self._demand * decay + 1.0 / DEMAND_WINDOW_S
        self._demand_at = now

    def missing(self, now: float) -> float:
        """Return what is missing to one whole token."""
        return max(0.0, 1.0 - self.left(now))

    def left(self, now: float) -> float:
        """Return the tokens that may still be spent."""
        return sum(lot.left for lot in self._lots if lot.expires_at > now)

    def want_ahead(self, now: float) -> int:
        """Return how many tokens to request in advance; 0 when enough remain.

        A node asks for about 100 ms of its recent demand once less than half
        of that remains, and for at most a quarter of the bucket's burst.
        """
        target = self.target(now)
        if target < 1:
            return 0
        left = self.left(now)
        return 0 if left >= target / 2 else max(0, math.ceil(target - left))

    def target(self, now: float) -> int:
        """Return how many tokens a node with this demand keeps."""
        decay = math.exp((self._demand_at - now) / DEMAND_WINDOW_S)
        ahead = min(
            self._demand * decay * PREFETCH_S, self.burst_share * MAX_GRANT_FRACTION
        )
        return math.floor(ahead)

    def add(
        self, holder: HolderKey, *, grant_id: int, tokens: float, asked_at: float
    ) -> None:
        """Keep granted tokens; ``asked_at`` is from before the request was sent."""
        if tokens <= 0:
            return
        self._lots.append(
            _Lot(
                holder=holder,
                grant_id=grant_id,
                tokens=tokens,
                expires_at=asked_at + GRANT_VALIDITY_S,
            )
        )

    def reports(self, holder: HolderKey) -> list[TokenReport]:
        """Return what this holder has not been told, and count it as told.

        At most ``MAX_REPORTS`` at once; the others stay due.
        Reports are totals, so a report that is lost is repaired by the next
        one of the same grant or by the expiry of the grant.
        """
        found = []
        for lot in self._lots:
            if lot.holder == holder and lot.spent + lot.returned > lot.reported:
                lot.reported = lot.spent + lot.returned
                lot.changed_at = math.inf
                found.append(TokenReport(lot.grant_id, lot.spent, lot.returned))
            if len(found) >= MAX_REPORTS:
                break
        self._lots = [
            lot
            for lot in self._lots
            if lot.left > 0 or lot.spent + lot.returned > lot.reported
        ]
        return found

    def reports_due(self, now: float) -> set[HolderKey]:
        """Return the holders that must be told now, and drop what expired.

        Spent tokens are reported after a short delay, and at once when they
        are a large part of a small bucket. Tokens that no call wanted for a
        while are returned.
        """
        self._lots = [lot for lot in self._lots if lot.expires_at > now]
        if now - self._taken_at >= IDLE_RETURN_S:
            self.return_all(now)
        due: set[HolderKey] = set()
        for lot in self._lots:
            unreported = lot.spent + lot.returned - lot.reported
            large = unreported >= self.burst_share * REPORT_FRACTION
            if unreported > 0 and (large or now - lot.changed_at >= REPORT_DELAY_S):
                due.add(lot.holder)
        return due

    def return_all(self, now: float) -> None:
        """Mark all unspent tokens for return; they cannot be spent any more."""
        for lot in self._lots:
            if lot.left > 0:
                lot.returned += lot.left
                lot.left = 0.0
                lot.changed_at = -math.inf

    def is_empty(self) -> bool:
        """Return whether no token and no report is left."""
        return not self._lots

    def is_idle(self, now: float) -> bool:
        """Return whether the cache holds nothing and saw no recent demand."""
        return not self._lots and now - self._taken_at > 10 * DEMAND_WINDOW_S

    def _take_pieces(self, now: float) -> bool:
        # Buckets below one token per share grant fractions; several of them
        # together make one token.
        if self.left(now) < 1.0 - TOKEN_EPSILON:
            return False
        missing = 1.0
        for lot in self._lots:
            if lot.expires_at > now and missing > 0:
                piece = min(lot.left, missing)
                lot.left -= piece
                lot.spent += piece
                lot.changed_at = min(lot.changed_at, now)
                missing -= piece
        return True
