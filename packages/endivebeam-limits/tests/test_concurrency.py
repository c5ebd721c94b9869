"""Tests of the concurrency limit and the retry budget in virtual time."""

from collections.abc import Callable

from hypothesis import given
from hypothesis import strategies as st

from endivebeam_limits import ConcurrencyLimit, RetryBudget


def run_calls(
    limit: ConcurrencyLimit,
    start: float,
    end: float,
    latency: Callable[[int], float],
    *,
    nested_s: float = 0.0,
    demand: int = 1000,
) -> int:
    """Run up to ``demand`` concurrent calls and return the lowest limit.

    A call takes ``latency(concurrency) + nested_s`` seconds.
    """
    now = start
    lowest = limit.limit
    while now < end:
        concurrency = min(demand, limit.limit)
        limit.record_in_use(concurrency)
        duration_s = latency(concurrency) + nested_s
        # The calls of one round end evenly spread over its duration.
        for index in range(concurrency):
            ended = now + duration_s * (index + 1) / concurrency
            limit.observe(ended - duration_s, ended, nested_s)
        lowest = min(lowest, limit.limit)
        now += duration_s
    return lowest


def start_limit(slots: int = 40) -> ConcurrencyLimit:
    limit = ConcurrencyLimit()
    limit.start_cold(slots, 0.0)
    return limit


class TestLimit:
    def test_rises_from_cold_start_to_announced_slots(self):
        """Guards against a cold target that gets its full load immediately."""
        limit = start_limit(40)
        assert limit.limit == 20
        run_calls(limit, 0.0, 2.0, lambda concurrency: 0.05)
        assert limit.limit == 40

    def test_falls_when_latency_rises_with_concurrency(self):
        """Guards against overload of a target that announces too many slots."""

        def rising_latency(concurrency: int) -> float:
            return 0.05 * max(1.0, concurrency / 8) ** 2

        limit = start_limit(40)
        run_calls(limit, 0.0, 2.0, rising_latency, demand=6)
        run_calls(limit, 2.0, 10.0, rising_latency)
        assert 8 <= limit.limit <= 12

    def test_slow_dependency_does_not_lower_it(self):
        """Guards against unused slots because a nested call is slow."""
        limit = start_limit(40)
        run_calls(limit, 0.0, 2.0, lambda concurrency: 0.05, demand=6)
        lowest = run_calls(limit, 2.0, 8.0, lambda concurrency: 0.05, nested_s=0.5)
        assert lowest == 20
        assert limit.limit == 40

    def test_is_restored_when_a_cut_has_no_effect(self):
        """Guards against a limit that stays low without lowering the latency."""
        limit = start_limit(40)
        run_calls(limit, 0.0, 2.0, lambda concurrency: 0.05, demand=6)
        run_calls(limit, 2.0, 20.0, lambda concurrency: 0.5)
        assert limit.limit == 40

    def test_rejection_by_the_target_lowers_it(self):
        """Guards against calls that the target keeps rejecting due to overload."""
        limit = start_limit(40)
        limit.observe_shed(10, 1.0)
        assert limit.limit == 9


class TestRetryBudget:
    @given(
        events=st.lists(
            st.tuples(st.floats(0.0, 0.5), st.booleans()),
            min_size=50,
            max_size=200,
        )
    )
    def test_matches_a_count_of_events(self, events: list[tuple[float, bool]]):
        """Guards against retries above 10% of the calls of the last 10 s."""
        budget = RetryBudget()
        calls: list[int] = []
        retries: list[int] = []
        now = 0.0
        for elapsed, is_retry in events:
            now += elapsed
            second = int(now)
            if not is_retry:
                budget.record_call(now)
                calls.append(second)
                continue
            recent_calls = sum(s > second - 10 for s in calls)
            recent_retries = sum(s > second - 10 for s in retries)
            allowed = recent_retries + 1 <= max(0.1 * recent_calls, 10)
            assert budget.spend_retry(now) is allowed
            if allowed:
                retries.append(second)
