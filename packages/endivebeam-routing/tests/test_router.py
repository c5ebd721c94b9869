"""Tests of target health and choice on a virtual clock."""

from collections import Counter
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from endivebeam_model import DomainName, Member, NodeId, RegionName
from endivebeam_routing import RAMP_S, Result, Router, TargetHealth
from endivebeam_standins import make_member

WARM_S = RAMP_S + 1.0


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
    """Choose without finishing any call."""
    found = [router.choose(targets, now) for _ in range(count)]
    return Counter(member.node_id for member in found if member is not None)


def warm(router: Router, targets: list[Member]) -> None:
    for _ in range(20 * len(targets)):
        answer(router, targets, 0.0)


def answer(router: Router, targets: list[Member], now: float) -> Member:
    member = router.choose(targets, now)
    assert member is not None
    router.finish(member.node_id, Result.ANSWERED, now, 0.01)
    return member


def lose(router: Router, member: Member, now: float) -> None:
    router.choose([member], now)
    router.lose(member.node_id, now)
    router.finish(member.node_id, Result.FAILED, now)


class TestOwnObservations:
    def test_win_over_reports(self):
        """Guards against calls to a lost target whose report says it is idle."""
        router, targets = make_router(), make_targets(3)
        warm(router, targets)
        lose(router, targets[0], 1.0)
        router.report(targets[0].node_id, 0, 1000, 1.0)
        assert targets[0].node_id not in choose_many(router, targets, 50, 1.1)

    @given(st.lists(st.sampled_from([*Result, None]), max_size=60))
    def test_outstanding_counts_only_open_calls(self, ends: list[Result | None]):
        """Guards against a target that looks busy for good after lost calls."""
        router, targets = make_router(), make_targets(1)
        opened = 0
        for step, end in enumerate(ends):
            now = WARM_S + 3.0 * step
            if router.choose(targets, now) is None:
                continue
            if end is None:
                opened += 1
            else:
                router.finish(targets[0].node_id, end, now, 0.01)
        assert router._targets.get(targets[0].node_id) is None or (
            router._targets[targets[0].node_id].outstanding == opened
        )

    def test_departing_target_gets_nothing_for_two_seconds(self):
        """Guards against calls that knock again at a node that is leaving."""
        router, targets = make_router(), make_targets(2)
        router.choose(targets[:1], 0.0)
        router.finish(targets[0].node_id, Result.DEPARTING, 0.0)
        assert targets[0].node_id not in choose_many(router, targets, 20, 1.9)


class TestProbes:
    def test_back_off_doubles_up_to_a_bound(self):
        """Guards against endless quick probes of a target that is gone."""
        health, rng = TargetHealth(now=0.0), Random(1)
        health.lose(0.0, rng)
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
        """Guards against a target that fails again with each batch of calls."""
        health, rng = TargetHealth(now=0.0), Random(1)
        needed = []
        for _ in range(4):
            health.lose(health.next_probe_at, rng)
            probes = 1
            while not health.finish_probe(True, health.next_probe_at, rng):
                probes += 1
            needed.append(probes)
        assert needed == [1, 2, 3, 3]

    def test_domain_return_is_no_thundering_herd(self):
        """Guards against all nodes that probe a returning domain together."""
        routers = [make_router(seed) for seed in range(60)]
        targets = make_targets(4, "d1")
        for router in routers:
            for member in targets:
                lose(router, member, 0.0)
        per_tick: Counter[int] = Counter()
        back: dict[int, int] = {}
        for tick in range(1, 1200):
            now = tick / 10
            for number, router in enumerate(routers):
                for member in router.probes_due(now):
                    per_tick[tick] += 1
                    up = now >= 60.0
                    router.finish_probe(member.node_id, answered=up, now=now)
                if number not in back and router.choose(targets, now) is not None:
                    back[number] = tick
        assert len(back) == len(routers)
        # With 60 nodes and 4 targets a herd would be 240 probes at once.
        assert max(per_tick[tick] for tick in range(600, 1199)) <= 24
        assert max(Counter(back.values()).values()) <= 12


class TestDomains:
    def test_three_targets_in_a_row_mark_a_domain(self):
        """Guards against calls that try each target of a lost domain."""
        router, targets = make_router(), make_targets(5, "d1")
        for member in targets[:3]:
            lose(router, member, 0.0)
        assert router.choose(targets, 0.1) is None

    def test_a_success_in_between_keeps_the_domain(self):
        """Guards against a domain given up for a few dead targets."""
        router, targets = make_router(), make_targets(5, "d1")
        lose(router, targets[0], 0.0)
        lose(router, targets[1], 0.0)
        answer(router, targets[3:], 0.0)
        lose(router, targets[2], 0.0)
        assert router.choose(targets, 0.1) is not None

    def test_overload_does_not_spill_over(self):
        """Guards against an overload that travels from domain to domain."""
        router = make_router()
        own, other = make_targets(2, "d0"), make_targets(2, "d1")
        warm(router, own)
        chosen = choose_many(router, own + other, 200, WARM_S)
        assert set(chosen) == {m.node_id for m in own}

    def test_own_domain_goes_first_while_it_has_spare_slots(self):
        """Guards against calls that cross domains for nothing."""
        router = make_router()
        own, other = make_targets(2, "d0"), make_targets(2, "d1")
        warm(router, own)
        for member in other:
            answer(router, [member], WARM_S)
            router.report(member.node_id, 0, 10, WARM_S)
        chosen = choose_many(router, own + other, 15, WARM_S)
        assert set(chosen) == {m.node_id for m in own}

    def test_a_new_node_stays_in_its_domain(self):
        """Guards against calls that cross domains because all targets look cold."""
        router = make_router()
        own, other = make_targets(2, "d0"), make_targets(2, "d1")
        for member in other:
            answer(router, [member], 0.0)
            router.report(member.node_id, 0, 10, 0.0)
        chosen = choose_many(router, own + other, 15, 0.0)
        assert set(chosen) == {m.node_id for m in own}

    def test_reported_spare_slots_relieve_a_full_domain(self):
        """Guards against refusals while another domain offers spare slots."""
        router = make_router()
        own, other = make_targets(2, "d0"), make_targets(2, "d1")
        warm(router, own + other)
        answer(router, other, 0.0)
        choose_many(router, own + other, 20, WARM_S)
        for member in other:
            router.choose([member], WARM_S)
            router.report(member.node_id, 2, 10, WARM_S)
        chosen = choose_many(router, own + other, 10, WARM_S)
        assert set(chosen) == {m.node_id for m in other}


class TestChoice:
    def test_own_target_unless_it_is_busier(self):
        """Guards against a peer hop for nothing, and an overloaded own target."""
        targets = make_targets(4)
        router = make_router(local="d0-0")
        warm(router, targets)
        for _ in range(20):
            assert answer(router, targets, WARM_S).node_id == "d0-0"
        chosen = choose_many(router, targets, 40, WARM_S)
        assert max(chosen.values()) <= 20

    def test_cold_target_gets_a_small_share(self):
        """Guards against a cold target that gets a full share at once."""
        router, targets = make_router(), make_targets(4)
        warm(router, targets[:3])
        chosen = choose_many(router, targets, 30, WARM_S)
        assert chosen[targets[3].node_id] <= 3

    @pytest.mark.parametrize("kind", ["slow", "failing"])
    def test_bad_target_is_avoided_and_tried_again(self, kind: str):
        """Guards against a slow or failing target that keeps its share."""
        router, targets = make_router(), make_targets(4)
        bad = targets[0].node_id
        share: Counter[bool] = Counter()
        for step in range(2000):
            now = WARM_S + step / 100
            member = router.choose(targets, now)
            assert member is not None
            is_bad = member.node_id == bad
            share[is_bad] += 1
            failed = is_bad and kind == "failing"
            latency_s = 0.2 if is_bad and kind == "slow" else 0.01
            result = Result.FAILED if failed else Result.ANSWERED
            router.finish(member.node_id, result, now, latency_s)
        assert share[True] <= 100
        assert share[True] >= 2

    def test_many_nodes_do_not_herd_to_one_target(self):
        """Guards against all nodes that pick the same best target together."""
        targets = make_targets(10)
        total: Counter[NodeId] = Counter()
        for seed in range(200):
            router = make_router(seed)
            warm(router, targets)
            for member in targets:
                router.report(member.node_id, 5, 10, WARM_S)
            router.report(targets[0].node_id, 0, 10, WARM_S)
            total += choose_many(router, targets, 1, WARM_S)
        assert total[targets[0].node_id] <= 200 * 2 / 10 * 1.5
