"""Concurrency limit and retry budget in virtual time."""

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
    """Run up to ``demand`` calls at once; a call takes ``latency(calls at once)``.

    Returns the lowest limit that was seen.
    """
    now = start
    lowest = limit.limit
    while now < end:
        used = min(demand, limit.limit)
        limit.record_in_use(used)
        took = latency(used) + nested_s
        # The calls of one turn end evenly spread over it.
        for index in range(used):
            ended = now + took * (index + 1) / used
            limit.observe(ended - took, ended, nested_s)
        lowest = min(lowest, limit.limit)
        now += took
    return lowest


def start_limit(slots: int = 40) -> ConcurrencyLimit:
    limit = ConcurrencyLimit()
    limit.start_cold(slots, 0.0)
    return limit


class TestLimit:
    def test_cold_start_rises_to_the_slots(self):
        """Guards against a cold target that gets its full load at once."""
        limit = start_limit(40)
        assert limit.limit == 20
        run_calls(limit, 0.0, 2.0, lambda used: 0.05)
        assert limit.limit == 40

    def test_falls_when_calls_slow_each_other(self):
        """Guards against a target that announces more slots than it has."""

        def slowed(used: int) -> float:
            return 0.05 * max(1.0, used / 8) ** 2

        limit = start_limit(40)
        run_calls(limit, 0.0, 2.0, slowed, demand=6)
        run_calls(limit, 2.0, 10.0, slowed)
        assert 8 <= limit.limit <= 12

    def test_slow_dependency_does_not_lower_it(self):
        """Guards against slots wasted because a nested call is slow."""
        limit = start_limit(40)
        run_calls(limit, 0.0, 2.0, lambda used: 0.05, demand=6)
        lowest = run_calls(limit, 2.0, 8.0, lambda used: 0.05, nested_s=0.5)
        assert lowest == 20
        assert limit.limit == 40

    def test_uniform_slowdown_is_not_held_against_it(self):
        """Guards against a limit that stays low though it does not help."""
        limit = start_limit(40)
        run_calls(limit, 0.0, 2.0, lambda used: 0.05, demand=6)
        run_calls(limit, 2.0, 20.0, lambda used: 0.5)
        assert limit.limit == 40

    def test_shedding_target_lowers_it(self):
        """Guards against calls that the target refuses again and again."""
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
    def test_matches_a_list_of_events(self, events: list[tuple[float, bool]]):
        """Guards against retries above 10% of the calls of the last 10 s."""
        budget = RetryBudget()
        calls: list[int] = []
        retries: list[int] = []
        now = 0.0
        for elapsed, is_retry in events:
            now += elapsed
            second = int(now)
            if not is_retry:
                budget.note_call(now)
                calls.append(second)
                continue
            recent_calls = sum(s > second - 10 for s in calls)
            recent_retries = sum(s > second - 10 for s in retries)
            allowed = recent_retries + 1 <= max(0.1 * recent_calls, 10)
            assert budget.take_retry(now) is allowed
            if allowed:
                retries.append(second)
