"""Adaptive concurrency limit of one target.

The limit starts below the announced slots. It grows while it is in use and the
latency stays near its recent baseline, and is cut when the latency rises well
above the baseline. Each cut is evaluated: latency caused by concurrency falls
with the limit, latency caused by a slow dependency does not. In the second case
the limit is restored, because a lower one would only leave slots unused.
"""

from dataclasses import dataclass

COLD_START_FRACTION = 0.5
WINDOW_S = 0.1
MIN_SAMPLES = 10
MIN_EVALUATION_SAMPLES = 50
# The limit is in use when the peak of concurrent calls reaches this fraction of it.
IN_USE_FRACTION = 0.9
TOLERATED_LATENCY_RATIO = 1.5
# Latency that grows faster than this power of the concurrency has another cause.
MAX_LATENCY_EXPONENT = 3.0
CUT_FACTOR = 0.8
GROWTH_FACTOR = 1.2
MIN_WINDOW_LATENCIES = 3.0
# A few slow calls may be chance. A cut needs this many calls in consecutive windows
# with a high mean latency.
MIN_HIGH_SAMPLES = 60
# After an effective cut, the limit grows in small steps once it is near its value
# before the cut.
SLOW_GROWTH_S = 10.0
SLOW_GROWTH_FRACTION = 0.8
SLOW_GROWTH_STEP = 0.5
BASELINE_WEIGHT = 0.2
# A cut is effective if the latency fell by at least this fraction of the relative
# cut of the limit.
EFFECTIVE_FRACTION = 0.5


@dataclass(slots=True, frozen=True)
class _Cut:
    """Time of a cut, and the limit and the mean latency before it."""

    limit: float
    latency_s: float
    at: float


class ConcurrencyLimit:
    """Number of calls that one target may serve concurrently.

    Times are monotonic seconds. ``latency_s`` is the mean latency of the last
    window, ``baseline_s`` the recent low level of the latency. Both are None before
    the first window.
    """

    def __init__(self) -> None:
        self.slots = 0
        self.latency_s: float | None = None
        self.baseline_s: float | None = None
        self._limit = 0.0
        self._cut: _Cut | None = None
        self._window_started_at = 0.0
        self._latency_sum_s = 0.0
        self._samples = 0
        self._peak_in_use = 0
        self._high_samples = 0
        self._last_cut_limit = 0.0
        self._slow_growth_until = 0.0
        self._concurrency = 0.0
        self._baseline_concurrency = 1.0

    @property
    def limit(self) -> int:
        """Concurrent calls allowed: 0 before a target is known, else at least 1."""
        return max(1, int(self._limit)) if self.slots else 0

    def start_cold(self, slots: int, now: float) -> None:
        """Reset the limit for a target that has just started."""
        self.slots = slots
        self._limit = max(1.0, slots * COLD_START_FRACTION)
        self.latency_s = None
        self.baseline_s = None
        self._cut = None
        self._slow_growth_until = now
        self._start_window(now)

    def resize(self, slots: int) -> None:
        """Scale the limit in proportion to a change of the announced slots."""
        self._limit = max(1.0, min(slots, self._limit * slots / self.slots))
        self.slots = slots
        self._cut = None

    def record_in_use(self, in_use: int) -> None:
        """Record the number of running calls after one was started."""
        self._peak_in_use = max(self._peak_in_use, in_use)

    def observe(self, started: float, now: float, nested_s: float = 0.0) -> None:
        """Record an answered call, and adjust the limit at the end of a window.

        ``nested_s`` is the time in seconds that the target waited for its nested
        calls. It is excluded, because fewer calls at this target do not make
        another service faster. While a cut is evaluated, calls that started
        before it are ignored.
        """
        if self._cut is not None and started < self._cut.at:
            return
        self._latency_sum_s += max(0.0, now - started - nested_s)
        self._samples += 1
        if self._is_window_complete(now):
            # Mean number of concurrent calls by Little's law.
            self._concurrency = self._latency_sum_s / max(
                1e-9, now - self._window_started_at
            )
            self._adjust(self._latency_sum_s / self._samples, now)
            self._start_window(now)

    def observe_abandoned(
        self, started: float, now: float, nested_s: float = 0.0
    ) -> None:
        """Record a cancelled call, whose latency is only a lower bound.

        It counts only if it exceeds the mean latency of the last window.
        """
        if self.latency_s is None or now - started - nested_s > self.latency_s:
            self.observe(started, now, nested_s)

    def observe_shed(self, in_use: int, now: float) -> None:
        """Lower the limit after the target itself rejected a call due to overload."""
        self._limit = max(1.0, min(self._limit, in_use - 1.0))
        self._cut = None
        self._start_window(now)

    def _is_window_complete(self, now: float) -> bool:
        elapsed_s = now - self._window_started_at
        needed = max(MIN_SAMPLES, self.limit)
        if self.latency_s is not None and self._cut is None:
            return self._samples >= needed and elapsed_s >= WINDOW_S
        # Only calls that started in this window count. The shortest ones end first,
        # so the mean is too low until several latencies have passed. The first
        # baseline and the evaluation of a cut have lasting effects and need more
        # samples.
        if self._samples < max(MIN_EVALUATION_SAMPLES, 2 * needed):
            return False
        min_window_s = MIN_WINDOW_LATENCIES * self._latency_sum_s / self._samples
        return elapsed_s >= max(WINDOW_S, min_window_s)

    def _start_window(self, now: float) -> None:
        self._window_started_at = now
        self._latency_sum_s = 0.0
        self._samples = 0
        self._peak_in_use = 0

    def _adjust(self, latency_s: float, now: float) -> None:
        self.latency_s = latency_s
        if self.baseline_s is None:
            self._set_baseline(latency_s)
        cut, self._cut = self._cut, None
        if cut is not None and not self._was_effective(cut, latency_s):
            self._limit = min(cut.limit, self.slots)
            self._slow_growth_until = now
            self._set_baseline(latency_s)
            return
        in_use = self._peak_in_use >= IN_USE_FRACTION * self.limit
        if latency_s < self._baseline_s or not in_use:
            self._update_baseline(latency_s)
        if latency_s <= TOLERATED_LATENCY_RATIO * self._baseline_s:
            self._high_samples = 0
            if in_use:
                self._grow(now)
        elif in_use:
            self._maybe_cut(latency_s, now)

    def _maybe_cut(self, latency_s: float, now: float) -> None:
        """Cut the limit if the concurrency may be the cause of lasting high latency.

        Otherwise the high latency becomes the baseline.
        """
        self._high_samples += self._samples
        if self._high_samples < MIN_HIGH_SAMPLES:
            return
        self._high_samples = 0
        if not self._is_explained_by_load(latency_s / self._baseline_s):
            self._set_baseline(latency_s)
            return
        self._cut = _Cut(self._limit, latency_s, now)
        self._last_cut_limit = self._limit
        self._slow_growth_until = now + SLOW_GROWTH_S
        self._limit = max(1.0, self._limit * CUT_FACTOR)

    @property
    def _baseline_s(self) -> float:
        assert self.baseline_s is not None
        return self.baseline_s

    def _set_baseline(self, latency_s: float) -> None:
        self.baseline_s = latency_s
        self._baseline_concurrency = self._concurrency

    def _update_baseline(self, latency_s: float) -> None:
        self.baseline_s = self._baseline_s
        self.baseline_s += BASELINE_WEIGHT * (latency_s - self.baseline_s)
        self._baseline_concurrency += BASELINE_WEIGHT * (
            self._concurrency - self._baseline_concurrency
        )

    def _grow(self, now: float) -> None:
        grown = self._limit * GROWTH_FACTOR + 1.0
        if (
            now < self._slow_growth_until
            and grown > SLOW_GROWTH_FRACTION * self._last_cut_limit
        ):
            grown = self._limit + SLOW_GROWTH_STEP
        self._limit = min(float(self.slots), grown)

    def _is_explained_by_load(self, ratio: float) -> bool:
        # Returns whether the higher concurrency can explain this latency ratio.
        growth = self._concurrency / max(1.0, self._baseline_concurrency)
        explained: float = max(1.0, growth) ** MAX_LATENCY_EXPONENT
        return ratio <= explained

    def _was_effective(self, cut: _Cut, latency_s: float) -> bool:
        cut_fraction = 1.0 - self._limit / cut.limit
        return latency_s <= cut.latency_s * (1.0 - EFFECTIVE_FRACTION * cut_fraction)
