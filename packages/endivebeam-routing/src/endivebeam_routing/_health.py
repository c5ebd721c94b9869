"""Health of one target as this node itself observes it."""

import math
from random import Random

INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 30.0
STABLE_PERIOD_S = 30.0
MAX_SUCCESSES_NEEDED = 3
RAMP_S = 10.0
RAMP_FLOOR = 0.1
REPORT_LIFETIME_S = 1.0
DEPARTED_PERIOD_S = 2.0
TRUST_FLOOR = 0.02
TRUST_WEIGHT = 0.2
TRUST_RECOVERY_S = 5.0
LATENCY_WEIGHT = 0.2


class TargetHealth:
    """What this node knows about one target from its own calls and probes.

    Reports of the target are used for the load only, and only when they make
    the target look busier than the own calls in flight do.
    """

    __slots__ = (
        "_departed_until",
        "_failed_at",
        "_failures",
        "_probing_until",
        "_ramp_started_at",
        "_reported",
        "_reported_at",
        "_reported_limit",
        "_sampled_at",
        "_successes_needed",
        "_trust",
        "down",
        "latency_s",
        "next_probe_at",
        "outstanding",
    )

    def __init__(self, *, now: float) -> None:
        self.outstanding = 0
        self.down = False
        self.latency_s: float | None = None
        self.next_probe_at = 0.0
        self._ramp_started_at = now
        self._departed_until = 0.0
        self._failures = 0
        self._failed_at = -math.inf
        self._successes_needed = 0
        self._probing_until = 0.0
        self._trust = 1.0
        self._sampled_at = now
        self._reported = 0
        self._reported_at = -math.inf
        self._reported_limit = 0

    def usable(self, now: float) -> bool:
        """Return whether calls may be sent to the target."""
        return not self.down and now >= self._departed_until

    def succeed(self, latency_s: float, now: float) -> None:
        """Note an answered call."""
        self._sample(1.0, now)
        old = self.latency_s
        if old is None:
            self.latency_s = latency_s
        else:
            self.latency_s = old + LATENCY_WEIGHT * (latency_s - old)

    def fail(self, now: float) -> None:
        """Note a call that the target or its node did not answer properly."""
        self._sample(0.0, now)

    def lose(self, now: float, rng: Random) -> None:
        """Note that the target's node could not be reached: no calls, only probes.

        A target that failed again soon after it came back is probed less often
        and needs more successes in a row, so that flapping does not pay.
        """
        if now - self._failed_at > STABLE_PERIOD_S and not self.down:
            self._failures = 0
        self.down = True
        self._failed_at = now
        self._failures += 1
        self._successes_needed = min(self._failures, MAX_SUCCESSES_NEEDED)
        self._schedule_probe(now, rng)

    def start_probe(self, now: float, limit_s: float) -> bool:
        """Return whether a probe is due, and mark it as running."""
        if not self.down or now < self.next_probe_at or now < self._probing_until:
            return False
        self._probing_until = now + limit_s
        return True

    def finish_probe(self, answered: bool, now: float, rng: Random) -> bool:
        """Take the result of a probe; return whether the target is back."""
        self._probing_until = 0.0
        if not self.down:
            return False
        if not answered:
            self.lose(now, rng)
            return False
        self._successes_needed -= 1
        if self._successes_needed > 0:
            self.next_probe_at = now + INITIAL_BACKOFF_S * rng.uniform(0.5, 1.5)
            return False
        self.down = False
        self._failed_at = now
        self.restart_ramp(now)
        return True

    def restart_ramp(self, now: float) -> None:
        """Treat the target as cold from now on."""
        self._ramp_started_at = now

    def depart(self, now: float) -> None:
        """Note that the target's node refused a call because it is leaving."""
        self._departed_until = now + DEPARTED_PERIOD_S

    def report(self, in_use: int, limit: int, now: float) -> None:
        """Take a load report; it is a hint that fades within a second."""
        self._reported = in_use
        self._reported_limit = limit
        self._reported_at = now

    def ramp(self, now: float) -> float:
        """Return the share of its limit that a cold target may use."""
        age_s = now - self._ramp_started_at
        return min(1.0, RAMP_FLOOR + (1.0 - RAMP_FLOOR) * age_s / RAMP_S)

    def load(self, now: float) -> float:
        """Return the calls in progress: own ones, or the reported if higher."""
        age_s = now - self._reported_at
        faded = self._reported * max(0.0, 1.0 - age_s / REPORT_LIFETIME_S)
        return max(float(self.outstanding), faded)

    def limit(self, slots: int, now: float) -> float:
        """Return the calls the target may have; a report only lowers it."""
        known = max(1, slots)
        fresh = now - self._reported_at <= REPORT_LIFETIME_S
        if fresh and self._reported_limit > 0:
            known = min(known, self._reported_limit)
        return float(known)

    def reports_spare(self, now: float) -> bool:
        """Return whether a fresh report of the target shows spare slots."""
        fresh = now - self._reported_at <= REPORT_LIFETIME_S
        return fresh and self._reported < self._reported_limit

    def trust(self, now: float, usual_latency_s: float | None) -> float:
        """Return a factor below 1 for a target that fails or is much slower.

        It returns to 1 while the target gets no calls, so that a target that
        recovered is tried again.
        """
        healthy = self._trust
        if self.latency_s is not None and usual_latency_s is not None:
            slower = self.latency_s / max(usual_latency_s, 1e-6)
            if slower > 2.0:
                healthy /= slower
        idle_s = max(0.0, now - self._sampled_at)
        # Linear, because it has to reach 1: among idle targets any difference
        # decides, and a target that is never chosen could not prove itself.
        remaining = max(0.0, 1.0 - idle_s / TRUST_RECOVERY_S)
        return 1.0 - (1.0 - max(TRUST_FLOOR, healthy)) * remaining

    def _sample(self, value: float, now: float) -> None:
        self._trust += TRUST_WEIGHT * (value - self._trust)
        self._sampled_at = now

    def _schedule_probe(self, now: float, rng: Random) -> None:
        doubled = INITIAL_BACKOFF_S * 2 ** min(self._failures - 1, 16)
        # Jitter keeps many nodes from probing a returning target together.
        self.next_probe_at = now + min(MAX_BACKOFF_S, doubled) * rng.uniform(0.5, 1.0)
