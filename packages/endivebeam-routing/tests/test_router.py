"""Tests of target health and target selection in virtual time."""

from collections import Counter
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from endivebeam_model import DomainName, Member, NodeId, RegionName
from endivebeam_routing import RAMP_S, CallOutcome, Router, TargetHealth
from endivebeam_standins import make_member

RAMP_END_S = RAMP_S + 1.0


def make_targets(count: int, domain: str = "d0", slots: int = 10) -> list[Member]:
    return [
        msgspec.structs.replace(make_member(f"{domain}-{i}", domain), slots=slots)
        for i in range(count)
    ]


def make_router(seed: int = 1, local: str = "caller") -> Router:
    return Router(
        local=NodeId(local),
        domain=DomainName("d0"),
        region=RegionName("region"),
        rng=Random(seed),
    )


def choose_many(
    router: Router, targets: list[Member], count: int, now: float
) -> Counter[NodeId]:
    """Choose targets for ``count`` calls that are never finished."""
    members = [router.choose(targets, now) for _ in range(count)]
    return Counter(member.node_id for member in members if member is not None)


def warm_up(router: Router, targets: list[Member]) -> None:
    for _ in range(20 * len(targets)):
        complete_call(router, targets, 0.0)


def complete_call(router: Router, targets: list[Member], now: float) -> Member:
    member = router.choose(targets, now)
    assert member is not None
    router.record_result(member.node_id, CallOutcome.ANSWERED, now, 0.01)
    return member


def make_unreachable(router: Router, member: Member, now: float) -> None:
    router.choose([member], now)
    router.record_lost(member.node_id, now)
    router.record_result(member.node_id, CallOutcome.FAILED, now)


class TestOwnObservations:
    def test_take_precedence_over_reports(self):
        """Guards against calls to an unreachable target that reported to be idle."""
        router, targets = make_router(), make_targets(3)
        warm_up(router, targets)
        make_unreachable(router, targets[0], 1.0)
        router.record_load(targets[0].node_id, 0, 1000, 1.0)
        assert targets[0].node_id not in choose_many(router, targets, 50, 1.1)

    @given(st.lists(st.sampled_from([*CallOutcome, None]), max_size=60))
    def test_outstanding_counts_only_open_calls(
        self, results: list[CallOutcome | None]
    ):
        """Guards against a target that looks busy forever after failed calls."""
        router, targets = make_router(), make_targets(1)
        open_calls = 0
        for step, result in enumerate(results):
            now = RAMP_END_S + 3.0 * step
            if router.choose(targets, now) is None:
                continue
            if result is None:
                open_calls += 1
            else:
                router.record_result(targets[0].node_id, result, now, 0.01)
        assert router._targets.get(targets[0].node_id) is None or (
            router._targets[targets[0].node_id].outstanding == open_calls
        )

    def test_departing_target_gets_no_calls_for_two_seconds(self):
        """Guards against sending calls again to a node that is leaving."""
        router, targets = make_router(), make_targets(2)
        router.choose(targets[:1], 0.0)
        router.record_result(targets[0].node_id, CallOutcome.DEPARTING, 0.0)
        assert targets[0].node_id not in choose_many(router, targets, 20, 1.9)


class TestProbes:
    def test_backoff_doubles_up_to_a_maximum(self):
        """Guards against frequent probes of a target that has left."""
        health, rng = TargetHealth(now=0.0), Random(1)
        health.mark_down(0.0, rng)
        now, waits = 0.0, []
        for _ in range(12):
            waits.append(health.next_probe_at - now)
            now = health.next_probe_at
            assert health.start_probe(now, 1.0)
            assert not health.start_probe(now, 1.0)
            health.finish_probe(False, now, rng)
        assert waits[0] <= 0.25
        assert waits[-1] >= 15.0
        assert max(waits) <= 30.0

    def test_flapping_target_needs_more_successes(self):
        """Guards against a target that fails again after each recovery."""
        health, rng = TargetHealth(now=0.0), Random(1)
        needed = []
        for _ in range(4):
            health.mark_down(health.next_probe_at, rng)
            probes = 1
            while not health.finish_probe(True, health.next_probe_at, rng):
                probes += 1
            needed.append(probes)
        assert needed == [1, 2, 3, 3]

    def test_recovery_of_a_domain_causes_no_thundering_herd(self):
        """Guards against all nodes probing a recovering domain at the same time."""
        routers = [make_router(seed) for seed in range(60)]
        targets = make_targets(4, "d1")
        for router in routers:
            for member in targets:
                make_unreachable(router, member, 0.0)
        per_tick: Counter[int] = Counter()
        recovered_at: dict[int, int] = {}
        for tick in range(1, 1200):
            now = tick / 10
            for number, router in enumerate(routers):
                for member in router.probes_due(now):
                    per_tick[tick] += 1
                    reachable = now >= 60.0
                    router.finish_probe(member.node_id, answered=reachable, now=now)
                if (
                    number not in recovered_at
                    and router.choose(targets, now) is not None
                ):
                    recovered_at[number] = tick
        assert len(recovered_at) == len(routers)
        # 60 nodes that probe all 4 targets at once would send 240 probes.
        assert max(per_tick[tick] for tick in range(600, 1199)) <= 24
        assert max(Counter(recovered_at.values()).values()) <= 12


class TestDomains:
    def test_three_failed_targets_make_a_domain_unreachable(self):
        """Guards against calls that try each target of an unreachable domain."""
        router, targets = make_router(), make_targets(5, "d1")
        for member in targets[:3]:
            make_unreachable(router, member, 0.0)
        assert router.choose(targets, 0.1) is None

    def test_success_in_between_keeps_the_domain_reachable(self):
        """Guards against treating a domain as unreachable for a few failed targets."""
        router, targets = make_router(), make_targets(5, "d1")
        make_unreachable(router, targets[0], 0.0)
        make_unreachable(router, targets[1], 0.0)
        complete_call(router, targets[3:], 0.0)
        make_unreachable(router, targets[2], 0.0)
        assert router.choose(targets, 0.1) is not None

    def test_overload_does_not_spread_to_other_domains(self):
        """Guards against an overload that spreads from domain to domain."""
        router = make_router()
        own, other = make_targets(2, "d0"), make_targets(2, "d1")
        warm_up(router, own)
        chosen = choose_many(router, own + other, 200, RAMP_END_S)
        assert set(chosen) == {m.node_id for m in own}

    def test_own_domain_is_preferred_while_it_has_spare_slots(self):
        """Guards against calls that leave the domain unnecessarily."""
        router = make_router()
        own, other = make_targets(2, "d0"), make_targets(2, "d1")
        warm_up(router, own)
        for member in other:
            complete_call(router, [member], RAMP_END_S)
            router.record_load(member.node_id, 0, 10, RAMP_END_S)
        chosen = choose_many(router, own + other, 15, RAMP_END_S)
        assert set(chosen) == {m.node_id for m in own}

    def test_new_node_prefers_its_own_domain(self):
        """Guards against calls that leave the domain because all targets look cold."""
        router = make_router()
        own, other = make_targets(2, "d0"), make_targets(2, "d1")
        for member in other:
            complete_call(router, [member], 0.0)
            router.record_load(member.node_id, 0, 10, 0.0)
        chosen = choose_many(router, own + other, 15, 0.0)
        assert set(chosen) == {m.node_id for m in own}

    def test_full_domain_uses_reported_spare_slots_of_others(self):
        """Guards against rejections while another domain has spare slots."""
        router = make_router()
        own, other = make_targets(2, "d0"), make_targets(2, "d1")
        warm_up(router, own + other)
        complete_call(router, other, 0.0)
        choose_many(router, own + other, 20, RAMP_END_S)
        for member in other:
            router.choose([member], RAMP_END_S)
            router.record_load(member.node_id, 2, 10, RAMP_END_S)
        chosen = choose_many(router, own + other, 10, RAMP_END_S)
        assert set(chosen) == {m.node_id for m in other}


class TestChoice:
    def test_own_target_is_preferred_unless_it_is_busier(self):
        """Guards against unnecessary peer hops and overload of the own target."""
        targets = make_targets(4)
        router = make_router(local="d0-0")
        warm_up(router, targets)
        for _ in range(20):
            assert complete_call(router, targets, RAMP_END_S).node_id == "d0-0"
        chosen = choose_many(router, targets, 40, RAMP_END_S)
        assert max(chosen.values()) <= 20

    def test_cold_target_gets_few_calls(self):
        """Guards against a cold target that gets its full share immediately."""
        router, targets = make_router(), make_targets(4)
        warm_up(router, targets[:3])
        chosen = choose_many(router, targets, 30, RAMP_END_S)
        assert chosen[targets[3].node_id] <= 3

    @pytest.mark.parametrize("kind", ["slow", "failing"])
    def test_slow_or_failing_target_is_avoided_and_retried(self, kind: str):
        """Guards against a slow or failing target that keeps getting its full share."""
        router, targets = make_router(), make_targets(4)
        degraded = targets[0].node_id
        calls: Counter[bool] = Counter()
        for step in range(2000):
            now = RAMP_END_S + step / 100
            member = router.choose(targets, now)
            assert member is not None
            is_degraded = member.node_id == degraded
            calls[is_degraded] += 1
            failed = is_degraded and kind == "failing"
            latency_s = 0.2 if is_degraded and kind == "slow" else 0.01
            result = CallOutcome.FAILED if failed else CallOutcome.ANSWERED
            router.record_result(member.node_id, result, now, latency_s)
        assert calls[True] <= 100
        assert calls[True] >= 2

    def test_many_nodes_do_not_select_the_same_target(self):
        """Guards against all nodes selecting the least loaded target together."""
        targets = make_targets(10)
        total: Counter[NodeId] = Counter()
        for seed in range(200):
            router = make_router(seed)
            warm_up(router, targets)
            for member in targets:
                router.record_load(member.node_id, 5, 10, RAMP_END_S)
            router.record_load(targets[0].node_id, 0, 10, RAMP_END_S)
            total += choose_many(router, targets, 1, RAMP_END_S)
        assert total[targets[0].node_id] <= 200 * 2 / 10 * 1.5

    def test_costs_the_same_in_a_domain_of_any_size(self):
        """Guards against examining each target of a large domain for each call."""
        checks = []
        for count in (4, 400):
            router, targets = make_router(), make_targets(count)
            warm_up(router, targets)
            examined: list[NodeId] = []
            is_usable = router._is_usable

            def record(member: Member, now: float) -> bool:
                examined.append(member.node_id)  # noqa: B023
                return is_usable(member, now)  # noqa: B023

            router._is_usable = record
            for _ in range(100):
                complete_call(router, targets, RAMP_END_S)
            checks.append(len(examined))
        assert checks == [200, 200]
