"""Adaptive concurrency limit of one target.

The limit starts below the announced slots, grows while it is in use and the
latency stays near its recent level, and falls when the latency rises well
above it. A fall is checked: latency that concurrency causes goes down with the
limit, latency that a slow dependency causes does not, and then the limit is
restored, because a lower one would only waste slots.
"""

from dataclasses import dataclass

COLD_START_FRACTION = 0.5
WINDOW_S = 0.1
MIN_SAMPLES = 10
MIN_VERDICT_SAMPLES = 50
IN_USE_FRACTION = 0.9
TOLERATED_RATIO = 1.5
# Latency that grows faster than this power of the calls in use has another cause.
STEEPEST_POWER = 3.0
CUT_FACTOR = 0.8
GROWTH_FACTOR = 1.2
SETTLE_LATENCIES = 3.0
# High windows of few calls may be chance; a cut needs this many calls in a row.
MIN_HIGH_SAMPLES = 60
# Near the limit of the latest useful cut the limit grows in small steps.
CEILING_S = 10.0
CAREFUL_FRACTION = 0.8
CAREFUL_STEP = 0.5
BASELINE_WEIGHT = 0.2
# A cut counts as useful when the latency fell by half of the cut or more.
USEFUL_FRACTION = 0.5


@dataclass(slots=True, frozen=True)
class _Cut:
    """The limit and the mean latency before a cut, and the time of the cut."""

    limit: float
    latency_s: float
    at: float


class ConcurrencyLimit:
    """Number of calls that one target may serve at once.

    Times are monotonic seconds. ``latency_s`` is the mean of the last window,
    ``baseline_s`` the recent low level; both are None before the first window.
    """

    def __init__(self) -> None:
        self.slots = 0
        self.latency_s: float | None = None
        self.baseline_s: float | None = None
        self._limit = 0.0
        self._cut: _Cut | None = None
        self._opened_at = 0.0
        self._total_s = 0.0
        self._samples = 0
        self._peak = 0
        self._high_samples = 0
        self._ceiling = 0.0
        self._ceiling_until = 0.0
        self._use = 0.0
        self._baseline_use = 1.0

    @property
    def limit(self) -> int:
        """Calls allowed at once; 0 before a target is known, else at least 1."""
        return max(1, int(self._limit)) if self.slots else 0

    def start_cold(self, slots: int, now: float) -> None:
        """Begin with a target that has just started."""
        self.slots = slots
        self._limit = max(1.0, slots * COLD_START_FRACTION)
        self.latency_s = None
        self.baseline_s = None
        self._cut = None
        self._ceiling_until = now
        self._open_window(now)

    def resize(self, slots: int) -> None:
        """Follow a change of the announced slots in proportion."""
        self._limit = max(1.0, min(slots, self._limit * slots / self.slots))
        self.slots = slots
        self._cut = None

    def note_use(self, in_use: int) -> None:
        """Note how many calls run after one was started."""
        self._peak = max(self._peak, in_use)

    def observe(self, started: float, now: float, nested_s: float = 0.0) -> None:
        """Record a call that was answered; adjust the limit at the end of a window.

        ``nested_s`` is the part of the time that the target spent waiting for
        its nested calls. It is left out, because fewer calls at this target do
        not make another service faster.
        """
        if self._cut is not None and started < self._cut.at:
            return
        self._total_s += max(0.0, now - started - nested_s)
        self._samples += 1
        if self._window_complete(now):
            # Mean number of calls at work, by Little's law.
            self._use = self._total_s / max(1e-9, now - self._opened_at)
            self._adjust(self._total_s / self._samples, now)
            self._open_window(now)

    def observe_abandoned(
        self, started: float, now: float, nested_s: float = 0.0
    ) -> None:
        """Record a call that was cancelled; its latency is only a lower bound."""
        if self.latency_s is None or now - started - nested_s > self.latency_s:
            self.observe(started, now, nested_s)

    def observe_shed(self, in_use: int, now: float) -> None:
        """Lower the limit after the target itself refused a call as too many."""
        self._limit = max(1.0, min(self._limit, in_use - 1.0))
        self._cut = None
        self._open_window(now)

    def _window_complete(self, now: float) -> bool:
        elapsed_s = now - self._opened_at
        needed = max(MIN_SAMPLES, self.limit)
        if self.latency_s is not None and self._cut is None:
            return self._samples >= needed and elapsed_s >= WINDOW_S
        # Only calls started in this window count, so the shortest end first and
        # their mean is too low until some latencies have passed. The first
        # baseline and the verdict on a cut last long and need more samples.
        if self._samples < max(MIN_VERDICT_SAMPLES, 2 * needed):
            return False
        settled_s = SETTLE_LATENCIES * self._total_s / self._samples
        return elapsed_s >= max(WINDOW_S, settled_s)

    def _open_window(self, now: float) -> None:
        self._opened_at = now
        self._total_s = 0.0
        self._samples = 0
        self._peak = 0

    def _adjust(self, latency_s: float, now: float) -> None:
        self.latency_s = latency_s
        if self.baseline_s is None:
            self._adopt(latency_s)
        cut, self._cut = self._cut, None
        if cut is not None and not self._was_useful(cut, latency_s):
            self._limit = min(cut.limit, self.slots)
            self._ceiling_until = now
            self._adopt(latency_s)
            return
        in_use = self._peak >= IN_USE_FRACTION * self.limit
        if latency_s < self._baseline_s or not in_use:
            self._follow(latency_s)
        if latency_s <= TOLERATED_RATIO * self._baseline_s:
            self._high_samples = 0
            if in_use:
                self._grow(now)
        elif in_use:
            self._judge(latency_s, now)

    def _judge(self, latency_s: float, now: float) -> None:
        """Cut the limit if it may be the cause of a latency that stays high."""
        self._high_samples += self._samples
        if self._high_samples < MIN_HIGH_SAMPLES:
            return
        self._high_samples = 0
        if not self._may_be_own(latency_s / self._baseline_s):
            self._adopt(latency_s)
            return
        self._cut = _Cut(self._limit, latency_s, now)
        self._ceiling = self._limit
        self._ceiling_until = now + CEILING_S
        self._limit = max(1.0, self._limit * CUT_FACTOR)

    @property
    def _baseline_s(self) -> float:
        assert self.baseline_s is not None
        return self.baseline_s

    def _adopt(self, latency_s: float) -> None:
        self.baseline_s = latency_s
        self._baseline_use = self._use

    def _follow(self, latency_s: float) -> None:
        self.baseline_s = self._baseline_s
        self.baseline_s += BASELINE_WEIGHT * (latency_s - self.baseline_s)
        self._baseline_use += BASELINE_WEIGHT * (self._use - self._baseline_use)

    def _grow(self, now: float) -> None:
        grown = self._limit * GROWTH_FACTOR + 1.0
        if now < self._ceiling_until and grown > CAREFUL_FRACTION * self._ceiling:
            grown = self._limit + CAREFUL_STEP
        self._limit = min(float(self.slots), grown)

    def _may_be_own(self, ratio: float) -> bool:
        # Whether more calls at once could have raised the latency that far.
        use = self._use / max(1.0, self._baseline_use)
        explained: float = max(1.0, use) ** STEEPEST_POWER
        return ratio <= explained

    def _was_useful(self, cut: _Cut, latency_s: float) -> bool:
        drop = 1.0 - self._limit / cut.limit
        return latency_s <= cut.latency_s * (1.0 - USEFUL_FRACTION * drop)
