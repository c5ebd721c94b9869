"""Tests of the bucket at the holder and the grant cache at the requester."""

from hypothesis import given
from hypothesis import strategies as st

from endivebeam_limits import GRANT_LIFETIME_S, Bucket, GrantCache, HolderKey

HOLDER = HolderKey(slot=0, token=1)
TOLERANCE = 1e-6


def find_excess(spent: list[float], rate: float, burst: float) -> float:
    """Return the most by which any time window exceeds rate x time + burst."""
    windows = (
        (j - i + 1) - (burst + rate * (spent[j] - spent[i]))
        for i in range(len(spent))
        for j in range(i, len(spent))
    )
    return max(windows, default=0.0)


class Requester:
    def __init__(self, now: float) -> None:
        self.cache = GrantCache(now=now)

    def call(self, bucket: Bucket, grant_id: int, now: float, want: float) -> bool:
        if self.cache.spend(now):
            return True
        tokens = bucket.grant(
            grant_id, need=self.cache.missing_tokens(now), want=want, now=now
        )
        self.cache.add(HOLDER, grant_id=grant_id, tokens=tokens, requested_at=now)
        return self.cache.spend(now)

    def report(self, bucket: Bucket, now: float) -> None:
        for report in self.cache.reports(HOLDER):
            bucket.settle(
                report.grant_id, spent=report.spent, returned=report.returned, now=now
            )


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["call", "call", "report", "return", "lower", "raise"]),
        st.integers(0, 2),
        st.sampled_from([0.0, 0.001, 0.05, 0.3, 1.0, 1.2]),
        st.sampled_from([1.0, 3.0, 20.0]),
    ),
    max_size=60,
)


class TestWindows:
    @given(
        steps=STEPS,
        rate=st.sampled_from([0.5, 3.0, 40.0]),
        burst=st.sampled_from([0.7, 2.0, 9.5]),
    )
    def test_no_window_exceeds_rate_and_burst(
        self, steps: list[tuple[str, int, float, float]], rate: float, burst: float
    ):
        """Guards against a refill that replaces granted tokens before they expire."""
        bucket = Bucket(rate=rate, burst=burst, level=burst, now=0.0)
        requesters = [Requester(0.0) for _ in range(3)]
        spent, now = [], 0.0
        for number, (action, index, elapsed, want) in enumerate(steps):
            now += elapsed
            requester = requesters[index]
            match action:
                case "call":
                    if requester.call(bucket, number, now, want):
                        spent.append(now)
                case "report":
                    requester.report(bucket, now)
                case "return":
                    requester.cache.return_all(now)
                    requester.report(bucket, now)
                case "lower":
                    bucket.reconfigure(rate=rate, burst=burst / 2, now=now)
                case "raise":
                    bucket.reconfigure(rate=rate, burst=burst, now=now)
            assert bucket.level + bucket.outstanding <= burst + TOLERANCE
        assert find_excess(spent, rate, burst) <= TOLERANCE


class TestBucket:
    def test_outstanding_tokens_limit_the_refill(self):
        """Guards against a second burst while granted tokens can still be spent."""
        bucket = Bucket(rate=100.0, burst=8.0, level=8.0, now=0.0)
        assert bucket.grant(1, need=8.0, want=8.0, now=0.0) == 8.0
        bucket.advance(1.0)
        assert bucket.level == 0.0
        bucket.advance(GRANT_LIFETIME_S + 1.0)
        assert bucket.level == 8.0

    def test_repeated_report_has_no_effect(self):
        """Guards against counting spent and returned tokens of a grant twice."""
        bucket = Bucket(rate=0.0, burst=8.0, level=8.0, now=0.0)
        bucket.grant(1, need=4.0, want=4.0, now=0.0)
        for _ in range(3):
            bucket.settle(1, spent=1.0, returned=1.0, now=0.0)
        assert (bucket.level, bucket.outstanding) == (5.0, 2.0)

    def test_lower_burst_reduces_the_level_at_once(self):
        """Guards against a burst of the old contract after it was changed."""
        bucket = Bucket(rate=1.0, burst=100.0, level=100.0, now=0.0)
        bucket.reconfigure(rate=1.0, burst=10.0, now=0.0)
        assert bucket.grant(1, need=11.0, want=11.0, now=0.0) == 0.0
        assert bucket.grant(2, need=1.0, want=50.0, now=0.0) == 2.0


class TestGrantCache:
    def test_expired_tokens_are_not_spent(self):
        """Guards against a paused node that spends tokens after they expired."""
        cache = GrantCache(now=0.0)
        cache.add(HOLDER, grant_id=1, tokens=5.0, requested_at=0.0)
        assert cache.spend(0.999)
        assert not cache.spend(1.0)

    def test_fractions_of_several_holders_are_combined(self):
        """Guards against rejecting all calls of an account with a small burst.

        If its burst per share is below one token, no holder grants a whole one.
        """
        cache = GrantCache(now=0.0)
        for slot in range(3):
            cache.add(HolderKey(slot, 1), grant_id=1, tokens=1 / 3, requested_at=0.0)
        assert cache.spend(0.1)
        assert not cache.spend(0.1)

    def test_prefetch_is_limited_to_a_quarter_of_the_burst(self):
        """Guards against one node that caches most of an account's burst."""
        cache = GrantCache(now=0.0)
        cache.burst_share = 40.0
        for call in range(1000):
            cache.count_demand(call / 200)
        assert cache.target_tokens(5.0) == cache.prefetch_tokens(5.0) == 10
        assert cache.target_tokens(60.0) == 0
