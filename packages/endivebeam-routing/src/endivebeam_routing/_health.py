"""Health of one target, as observed by this node."""

import math
from random import Random

INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 30.0
# After this time without a failure or recovery, the backoff starts from the beginning.
STABLE_PERIOD_S = 30.0
MAX_SUCCESSES_NEEDED = 3
RAMP_S = 10.0
MIN_RAMP_FACTOR = 0.1
REPORT_LIFETIME_S = 1.0
DEPARTING_PERIOD_S = 2.0
MIN_HEALTH_FACTOR = 0.02
# Weight of a new sample in the moving average of successes.
SUCCESS_WEIGHT = 0.2
HEALTH_RECOVERY_S = 5.0
# Weight of a new sample in the moving average of the latency.
LATENCY_WEIGHT = 0.2


class TargetHealth:
    """Health and load of one target, from this node's own calls and probes.

    Reports from the target affect only the load, and only if they show a higher
    load or a lower limit than this node knows itself. Times are monotonic seconds.
    """

    __slots__ = (
        "_departing_until",
        "_failures",
        "_last_unstable_at",
        "_probing_until",
        "_ramp_started_at",
        "_reported_at",
        "_reported_in_use",
        "_reported_limit",
        "_sampled_at",
        "_success_rate",
        "_successes_needed",
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
        self._departing_until = 0.0
        self._failures = 0
        self._last_unstable_at = -math.inf
        self._successes_needed = 0
        self._probing_until = 0.0
        self._success_rate = 1.0
        self._sampled_at = now
        self._reported_in_use = 0
        self._reported_at = -math.inf
        self._reported_limit = 0

    def is_usable(self, now: float) -> bool:
        """Return whether the target may get calls."""
        return not self.down and now >= self._departing_until

    def record_success(self, latency_s: float, now: float) -> None:
        """Record a call that was answered."""
        self._record_sample(1.0, now)
        old = self.latency_s
        if old is None:
            self.latency_s = latency_s
        else:
            self.latency_s = old + LATENCY_WEIGHT * (latency_s - old)

    def record_failure(self, now: float) -> None:
        """Record a call that failed at the target or its node."""
        self._record_sample(0.0, now)

    def mark_down(self, now: float, rng: Random) -> None:
        """Record that the target's node could not be reached.

        From now on the target gets only probes and no calls. A target that fails
        again soon after it recovered is probed less often and needs more
        consecutive successes, so that a flapping target gets few calls.
        """
        if now - self._last_unstable_at > STABLE_PERIOD_S and not self.down:
            self._failures = 0
        self.down = True
        self._last_unstable_at = now
        self._failures += 1
        self._successes_needed = min(self._failures, MAX_SUCCESSES_NEEDED)
        self._schedule_probe(now, rng)

    def start_probe(self, now: float, timeout_s: float) -> bool:
        """Return whether a probe is due, and mark it as running."""
        if not self.down or now < self.next_probe_at or now < self._probing_until:
            return False
        self._probing_until = now + timeout_s
        return True

    def finish_probe(self, answered: bool, now: float, rng: Random) -> bool:
        """Record the result of a probe; return whether the target has recovered."""
        self._probing_until = 0.0
        if not self.down:
            return False
        if not answered:
            self.mark_down(now, rng)
            return False
        self._successes_needed -= 1
        if self._successes_needed > 0:
            self.next_probe_at = now + INITIAL_BACKOFF_S * rng.uniform(0.5, 1.5)
            return False
        self.down = False
        self._last_unstable_at = now
        self.restart_ramp(now)
        return True

    def restart_ramp(self, now: float) -> None:
        """Treat the target as cold and start its ramp now."""
        self._ramp_started_at = now

    def mark_departing(self, now: float) -> None:
        """Record that the target's node rejected a call because it is leaving.

        The target gets no calls for ``DEPARTING_PERIOD_S``.
        """
        self._departing_until = now + DEPARTING_PERIOD_S

    def record_load(self, in_use: int, limit: int, now: float) -> None:
        """Record a load report, which loses its effect within a second."""
        self._reported_in_use = in_use
        self._reported_limit = limit
        self._reported_at = now

    def ramp_factor(self, now: float) -> float:
        """Return the fraction of its limit that a cold target may use."""
        age_s = now - self._ramp_started_at
        return min(1.0, MIN_RAMP_FACTOR + (1.0 - MIN_RAMP_FACTOR) * age_s / RAMP_S)

    def load(self, now: float) -> float:
        """Return the number of running calls: this node's own, or reported if higher.

        The reported number decays linearly with the age of the report.
        """
        age_s = now - self._reported_at
        reported = self._reported_in_use * max(0.0, 1.0 - age_s / REPORT_LIFETIME_S)
        return max(float(self.outstanding), reported)

    def limit(self, slots: int, now: float) -> float:
        """Return the concurrency limit; a report can only lower it below ``slots``."""
        allowed = max(1, slots)
        fresh = now - self._reported_at <= REPORT_LIFETIME_S
        if fresh and self._reported_limit > 0:
            allowed = min(allowed, self._reported_limit)
        return float(allowed)

    def reports_spare_slots(self, now: float) -> bool:
        """Return whether a recent report from the target shows spare slots."""
        fresh = now - self._reported_at <= REPORT_LIFETIME_S
        return fresh and self._reported_in_use < self._reported_limit

    def health_factor(self, now: float, median_latency_s: float | None) -> float:
        """Return a factor below 1 for a target that fails or is much slower.

        ``median_latency_s`` is the median over the targets to choose from. The
        factor rises to 1 while the target gets no calls, so that a target that
        has recovered is tried again.
        """
        factor = self._success_rate
        if self.latency_s is not None and median_latency_s is not None:
            ratio = self.latency_s / max(median_latency_s, 1e-6)
            if ratio > 2.0:
                factor /= ratio
        idle_s = max(0.0, now - self._sampled_at)
        # The recovery is linear, because the factor must reach exactly 1. Among idle
        # targets any difference decides, and a target that is never chosen could
        # not improve its factor.
        remaining_effect = max(0.0, 1.0 - idle_s / HEALTH_RECOVERY_S)
        return 1.0 - (1.0 - max(MIN_HEALTH_FACTOR, factor)) * remaining_effect

    def _record_sample(self, value: float, now: float) -> None:
        self._success_rate += SUCCESS_WEIGHT * (value - self._success_rate)
        self._sampled_at = now

    def _schedule_probe(self, now: float, rng: Random) -> None:
        backoff_s = INITIAL_BACKOFF_S * 2 ** min(self._failures - 1, 16)
        # Jitter prevents many nodes from probing a target at the same time when it
        # recovers.
        self.next_probe_at = now + min(MAX_BACKOFF_S, backoff_s) * rng.uniform(0.5, 1.0)
