"""Rate limit that a target names for itself while it is in need."""

import math

# Requests that may start at once, as the time in which the rate allows them.
BURST_S = 0.25
# Least rate in requests per second, so that the end of a limit is noticed.
MIN_RATE_PER_S = 0.25
# Rounding tolerance for sums of fractions of a token.
TOKEN_EPSILON = 1e-9


class TargetRateLimit:
    """Token bucket of the requests to the local target, in requests per second.

    A target names its limit in its answers. All requests to a target pass its node, so
    that the limit holds for all nodes together. Times are seconds of the node's clock.

    >>> limit = TargetRateLimit()
    >>> limit.name(10.0, now=1.0)
    >>> limit.spend(1.0)
    >>> limit.wait_s(1.0)
    0.1
    """

    def __init__(self) -> None:
        self.rate: float | None = None
        self.named_at = -math.inf
        self._tokens = 0.0
        self._refilled_at = 0.0

    def name(self, rate_per_s: float, *, now: float) -> None:
        """Apply the limit that an answer names."""
        if self.rate is None:
            self._tokens = 1.0
        else:
            self._refill(now)
        self.rate = max(MIN_RATE_PER_S, rate_per_s)
        self._tokens = min(self._tokens, self._burst(self.rate))
        self._refilled_at = now
        self.named_at = now

    def lift(self, *, sent_at: float) -> None:
        """End the limit, since the answer to a request sent then names none.

        An answer to a request that was sent before the limit was named last may be
        older than that, and ends nothing.
        """
        if sent_at >= self.named_at:
            self.rate = None

    def reset(self) -> None:
        """Forget the limit, because the target has started again."""
        self.rate = None
        self.named_at = -math.inf

    def spend(self, now: float) -> None:
        """Count a request that starts."""
        if self.rate is not None:
            self._refill(now)
            self._tokens -= 1.0

    def wait_s(self, now: float, *, ahead: int = 0) -> float:
        """Return the time until a request may start that has others ahead of it."""
        if self.rate is None:
            return 0.0
        self._refill(now)
        missing = 1.0 + ahead - self._tokens
        return missing / self.rate if missing > TOKEN_EPSILON else 0.0

    def running_at(self, hold_s: float) -> float:
        """Return how many requests run at the limit if each takes ``hold_s``."""
        return math.inf if self.rate is None else self.rate * hold_s

    def _refill(self, now: float) -> None:
        assert self.rate is not None
        gained = self.rate * max(0.0, now - self._refilled_at)
        self._tokens = min(self._tokens + gained, self._burst(self.rate))
        self._refilled_at = max(now, self._refilled_at)

    def _burst(self, rate: float) -> float:
        return max(1.0, rate * BURST_S)
