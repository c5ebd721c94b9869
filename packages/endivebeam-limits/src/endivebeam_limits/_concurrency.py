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
IN_USE_FRACTION = 0.9
TOLERATED_RATIO = 2.0
CUT_FACTOR = 0.8
GROWTH_FACTOR = 1.2
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
        self._open_window(now)

    def resize(self, slots: int) -> None:
        """Follow a change of the announced slots in proportion."""
        self._limit = max(1.0, min(slots, self._limit * slots / self.slots))
        self.slots = slots
        self._cut = None

    def note_use(self, in_use: int) -> None:
        """Note how many calls run after one was started."""
        self._peak = max(self._peak, in_use)

    def observe(self, started: float, now: float) -> None:
        """Record a call that ended, and adjust the limit at the end of a window."""
        if self._cut is not None and started < self._cut.at:
            return
        self._total_s += now - started
        self._samples += 1
        if self._window_complete(now):
            self._adjust(self._total_s / self._samples, now)
            self._open_window(now)

    def observe_abandoned(self, started: float, now: float) -> None:
        """Record a call that was cancelled; its latency is only a lower bound."""
        if self.latency_s is None or now - started > self.latency_s:
            self.observe(started, now)

    def observe_shed(self, in_use: int, now: float) -> None:
        """Lower the limit after the target itself refused a call as too many."""
        self._limit = max(1.0, min(self._limit, in_use - 1.0))
        self._cut = None
        self._open_window(now)

    def _window_complete(self, now: float) -> bool:
        # Just after a cut only the shortest calls have ended, so their mean
        # would look better than it is.
        wait_s = WINDOW_S
        if self._cut is not None:
            wait_s = max(WINDOW_S, 2 * self._cut.latency_s)
        return self._samples >= MIN_SAMPLES and now - self._opened_at >= wait_s

    def _open_window(self, now: float) -> None:
        self._opened_at = now
        self._total_s = 0.0
        self._samples = 0
        self._peak = 0

    def _adjust(self, latency_s: float, now: float) -> None:
        self.latency_s = latency_s
        if self.baseline_s is None:
            self.baseline_s = latency_s
        cut, self._cut = self._cut, None
        if cut is not None and not self._was_useful(cut, latency_s):
            self._limit = min(cut.limit, self.slots)
            self.baseline_s = max(self.baseline_s, latency_s)
            return
        in_use = self._peak >= IN_USE_FRACTION * self.limit
        if latency_s < self.baseline_s or not in_use:
            self.baseline_s += BASELINE_WEIGHT * (latency_s - self.baseline_s)
        if not in_use:
            return
        if latency_s > TOLERATED_RATIO * self.baseline_s:
            self._cut = _Cut(self._limit, latency_s, now)
            self._limit = max(1.0, self._limit * CUT_FACTOR)
        else:
            self._limit = min(float(self.slots), self._limit * GROWTH_FACTOR + 1.0)

    def _was_useful(self, cut: _Cut, latency_s: float) -> bool:
        drop = 1.0 - self._limit / cut.limit
        return latency_s <= cut.latency_s * (1.0 - USEFUL_FRACTION * drop)
