"""Runs that fail because a call that the target makes for them is rejected."""

import math

# Fraction of the counts that is kept at the end of an interval, so that the wasted part
# follows the recent intervals.
KEPT_FRACTION = 0.5
# Failures, expected or seen, that are remembered. They don't fade with time: whether a
# kind depends on calls stays the same while none fails.
MAX_EVIDENCE = 20.0
# Failures to expect of a kind before it is judged by how many there were.
MIN_EXPECTED_FAILURES = 3.0
# Fraction of the expected failures from which on a kind suffers.
SUFFERING_FRACTION = 0.5
# Runs that are counted as ended well before any has, so that one failure weighs little.
PRIOR_RUNS = 1.0


class RunResults:
    """Results of the runs of one kind of call.

    A run is wasted if it fails while a call of the target is rejected. A kind of which
    each run makes a call fails at least as often as these calls are rejected. One that
    fails much less doesn't depend on the services that reject them.
    """

    __slots__ = ("_counted_from", "_ended", "_expected", "_failed", "_wasted")

    def __init__(self) -> None:
        self._counted_from = -math.inf
        self._ended = 0.0
        self._wasted = 0.0
        self._expected = 0.0
        self._failed = 0.0

    def record(self, *, started_at: float, wasted: bool, rejected_part: float) -> None:
        """Record the end of a run; ``rejected_part`` is that of the target's calls."""
        self._expected += rejected_part
        self._failed += wasted
        if started_at >= self._counted_from:
            self._ended += 1.0
            self._wasted += wasted

    def restart_count(self, now: float) -> None:
        """Count only runs that start from now on towards the wasted part.

        Those that were admitted before tell nothing about what is admitted now.
        """
        self._counted_from = now
        self._ended = self._wasted = 0.0

    def end_interval(self) -> None:
        """Reduce the weight of the runs that have ended until now."""
        self._ended *= KEPT_FRACTION
        self._wasted *= KEPT_FRACTION
        evidence = max(self._expected, self._failed)
        if evidence > MAX_EVIDENCE:
            self._expected *= MAX_EVIDENCE / evidence
            self._failed *= MAX_EVIDENCE / evidence

    @property
    def wasted_part(self) -> float:
        """Part of the recent runs that were wasted."""
        return self._wasted / (self._ended + PRIOR_RUNS)

    @property
    def suffers(self) -> bool | None:
        """Whether runs of this kind fail when calls are rejected; None if not known."""
        if max(self._expected, self._failed) < MIN_EXPECTED_FAILURES:
            return None
        return self._failed >= SUFFERING_FRACTION * self._expected
