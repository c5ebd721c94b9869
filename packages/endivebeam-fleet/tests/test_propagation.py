"""Tests of the times that keep the bound on configuration changes."""

from hypothesis import given
from hypothesis import strategies as st

from endivebeam_fleet import (
    JITTER,
    compute_call_timeout_s,
    compute_key_trust_s,
    compute_retry_delay_s,
    compute_takeover_age_s,
    compute_worst_case_s,
    plan_propagation,
)

BOUNDS_S = st.floats(1.0, 60.0)
# Part of the bound that a message and its reply take at most.
MAX_ROUND_TRIP_PART = 0.05
# Least stability window of a deployment, as a part of the bound.
STABILITY_PART = 1.2


class TestWorstCase:
    @given(BOUNDS_S)
    def test_is_below_the_bound(self, bound_s: float):
        # Guards against a period or timeout that is longer than the bound allows.
        times = plan_propagation(bound_s)
        round_trip_s = MAX_ROUND_TRIP_PART * bound_s
        assert compute_worst_case_s(times, round_trip_s=round_trip_s) < bound_s

    @given(BOUNDS_S)
    def test_watchers_renew_the_evidence_before_others_take_over(self, bound_s: float):
        times = plan_propagation(bound_s)
        assert times.watch_s + 1.2 * times.sync_period_s < times.first_takeover_s


class TestKeyTrust:
    @given(st.floats(2.5, 60.0))
    def test_leaves_time_for_a_change_that_a_watch_misses(self, withdrawal_s: float):
        # Guards against a withdrawn key that works beyond a bound other than 5 s.
        missed_s = 1.0
        assert compute_key_trust_s(withdrawal_s) + missed_s < withdrawal_s

    @given(st.floats(0.1, 60.0))
    def test_is_never_longer_than_the_bound(self, withdrawal_s: float):
        assert 0 < compute_key_trust_s(withdrawal_s) < withdrawal_s


class TestTakeover:
    @given(BOUNDS_S, st.integers(3, 500), st.integers(1, 30_000))
    def test_age_is_between_first_and_last_and_grows_with_the_rank(
        self, bound_s: float, watchers: int, more: int
    ):
        times = plan_propagation(bound_s)
        nodes = watchers + more
        ranks = sorted({watchers, watchers + more // 2, nodes - 1})
        ages = [
            compute_takeover_age_s(times, rank=rank, watchers=watchers, nodes=nodes)
            for rank in ranks
        ]
        assert ages == sorted(ages)
        assert times.first_takeover_s <= ages[0]
        assert ages[-1] <= times.last_takeover_s

    @given(st.integers(4, 30_000))
    def test_few_nodes_take_over_first(self, nodes: int):
        # Guards against a fleet that turns to the store all at once.
        times = plan_propagation(15.0)
        watchers = max(3, nodes // 50)
        first = [
            rank
            for rank in range(watchers, nodes)
            if compute_takeover_age_s(times, rank=rank, watchers=watchers, nodes=nodes)
            == times.first_takeover_s
        ]
        assert 1 <= len(first) <= watchers


class TestRetries:
    @given(BOUNDS_S)
    def test_reader_finds_the_store_again_within_the_stability_window(
        self, bound_s: float
    ):
        # Guards against a node that waits for a lost answer, and then for its next try,
        # for longer than it has after the store is back.
        times = plan_propagation(bound_s)
        pause_s = times.max_call_timeout_s + times.max_retry_s * JITTER[1]
        assert pause_s < STABILITY_PART * bound_s

    @given(BOUNDS_S, st.integers(1, 50))
    def test_delay_and_timeout_grow_to_a_limit_below_the_bound(
        self, bound_s: float, failures: int
    ):
        times = plan_propagation(bound_s)
        for compute in (compute_retry_delay_s, compute_call_timeout_s):
            value = compute(times, failures=failures)
            assert 0 < value <= compute(times, failures=failures + 1) < bound_s
