"""Tests of the retry budget against the bound for the whole fleet."""

from hypothesis import given
from hypothesis import strategies as st

from endivebeam_fleet import ChainLevel, FleetRetryBudget, rank_for_key
from endivebeam_model import NodeId, ServiceName

SERVICE = ServiceName("stock")
RATIO, SLACK, WINDOW_S = 0.2, 50.0, 10.0


class TestFleetRetryBudget:
    @given(
        st.lists(
            st.tuples(st.integers(0, 4), st.booleans(), st.floats(0, 1)), max_size=300
        )
    )
    def test_fleet_stays_within_the_bound_in_every_window(
        self, events: list[tuple[int, bool, float]]
    ):
        nodes = [
            FleetRetryBudget(ratio=RATIO, slack=SLACK, window_s=WINDOW_S)
            for _ in range(5)
        ]
        now = 0.0
        calls: list[float] = []
        retries: list[float] = []
        for node, is_call, gap_s in events:
            now += gap_s
            if is_call:
                nodes[node].record_call(SERVICE, now)
                calls.append(now)
            elif nodes[node].spend_retry(
                SERVICE, level=ChainLevel.LAST, fleet_size=5, now=now
            ):
                retries.append(now)
                since = now - WINDOW_S
                in_window = sum(1 for t in retries if t >= since)
                sent = sum(1 for t in calls if t >= since)
                assert in_window <= RATIO * sent + SLACK

    def test_failing_service_gets_no_retry_storm(self):
        budget = FleetRetryBudget(ratio=RATIO, slack=SLACK, window_s=WINDOW_S)
        allowed = 0
        for number in range(1000):
            budget.record_call(SERVICE, number / 100)
            allowed += budget.spend_retry(
                SERVICE, level=ChainLevel.FIRST, fleet_size=10, now=number / 100
            )
        assert allowed <= 0.2 * 1000 + 5

    def test_chain_of_four_levels_stays_within_the_bound_at_its_end(self):
        # Guards against retries that add up along a chain. With half of the ratio at
        # each level, the last service got 3,608 retries where 2,860 were allowed.
        services = [ServiceName(f"s{i}") for i in range(4)]
        budget = FleetRetryBudget(ratio=RATIO, slack=0.0, window_s=WINDOW_S)
        arrivals = dict.fromkeys(services, 0)

        def run(level: int, now: float) -> None:
            if level == len(services):
                return
            budget.record_call(services[level], now)
            arrivals[services[level]] += 1
            run(level + 1, now)
            chain_level = [
                ChainLevel.FIRST,
                ChainLevel.INNER,
                ChainLevel.INNER,
                ChainLevel.LAST,
            ][level]
            if budget.spend_retry(
                services[level], level=chain_level, fleet_size=1, now=now
            ):
                arrivals[services[level]] += 1
                run(level + 1, now)

        requests = 2000
        for number in range(requests):
            run(0, number / 200)
        assert arrivals[services[-1]] - requests <= RATIO * requests


class TestRendezvous:
    @given(st.sets(st.integers(0, 50), min_size=2))
    def test_choice_changes_only_when_the_chosen_node_leaves(self, numbers: set[int]):
        nodes = [NodeId(f"n{i}") for i in numbers]
        first, second = rank_for_key("rates", nodes)[:2]
        assert rank_for_key("rates", [n for n in nodes if n != first])[0] == second
        others = [n for n in nodes if n != second]
        assert rank_for_key("rates", others)[0] == first
