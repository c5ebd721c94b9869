"""Tests of failure detection on a virtual clock."""

import pytest

from endivebeam_membership import ContactTimes, Detector, DetectorResult, RumorBatch
from endivebeam_model import DomainName, KeyDigest, MemberState, NodeId
from endivebeam_standins import VirtualFleet, VirtualNode, make_entry, make_member

# Two workloads of 14 and 12 targets exist today, in three domains each.
TODAY = 14
PEER = NodeId("peer")


def start_fleet(seed: int, count: int = TODAY) -> VirtualFleet:
    fleet = VirtualFleet(seed=seed)
    members = [make_member(f"n{i}", f"d{i % 3}") for i in range(count)]
    for member in members:
        fleet.start(member.node_id, member.domain, known=members)
    fleet.run(2.0)
    return fleet


def states(fleet: VirtualFleet, node: VirtualNode) -> set[MemberState]:
    records = [n.agent.table.get(node.node_id) for n in fleet.live() if n is not node]
    return {record.state for record in records if record is not None}


def reported_dead(fleet: VirtualFleet) -> set[NodeId]:
    return {
        member.node_id
        for node in fleet.nodes.values()
        for member in node.agent.table.all()
        if member.state is MemberState.DEAD
    }


class TestDetector:
    def test_probe_then_report(self):
        """Guards against a death report without a probe on a new connection."""
        detector = Detector(now=0.0)
        detector.watch([PEER], 0.0)
        detected = [(t / 10, detector.tick(t / 10)) for t in range(1, 25)]
        found = [(t, v) for t, v in detected if v != DetectorResult()]
        assert found == [
            (1.0, DetectorResult(probe=(PEER,))),
            (2.0, DetectorResult(dead=(PEER,))),
        ]

    def test_answered_probe_clears(self):
        """Guards against a report of a node whose old stream alone is silent."""
        detector = Detector(now=0.0)
        detector.watch([PEER], 0.0)
        dead = []
        for t in range(1, 100):
            detected = detector.tick(t / 10)
            dead.extend(detected.dead)
            for node_id in detected.probe:
                detector.record_answer(node_id, t / 10 + 0.05)
        assert dead == []

    def test_own_pause_blames_nobody(self):
        """Guards against a resumed node that reports all others dead."""
        detector = Detector(now=0.0)
        detector.watch([PEER], 0.0)
        for t in (0.1, 0.2, 60.0, 60.1, 60.2):
            assert detector.tick(t) == DetectorResult()


class TestContacts:
    def test_only_the_own_domain_tells_of_contacts(self):
        """Guards against a majority made of contacts of another domain."""
        contacts = ContactTimes(domain=DomainName("d0"))
        far = {DomainName("d2"): 0.5}
        contacts.merge_ages(DomainName("d1"), far, 1.0, 10.0)
        assert DomainName("d2") not in contacts.domain_ages(11.0)
        assert contacts.store_age(11.0) == 2.0
        contacts.merge_ages(DomainName("d0"), far, 5.0, 10.0)
        assert contacts.domain_ages(11.0)[DomainName("d2")] == 1.5
        assert contacts.store_age(11.0) == 2.0


@pytest.mark.parametrize("seed", range(5))
class TestBounds:
    def test_dead_node_is_known_within_three_seconds(self, seed: int):
        """Guards against calls to a node that was killed long ago."""
        fleet = start_fleet(seed)
        node = fleet.nodes[NodeId("n4")]
        fleet.kill(node)
        took_s = fleet.run_until(lambda: states(fleet, node) == {MemberState.DEAD}, 3.0)
        assert took_s <= 3.0

    def test_leaving_node_is_known_within_two_seconds(self, seed: int):
        """Guards against new work for a node that is leaving."""
        fleet = start_fleet(seed)
        fleet.drop = 0.05
        node = fleet.nodes[NodeId("n4")]
        node.agent.table.update_local(now=fleet.now, state=MemberState.DRAINING)
        node.agent.publish_local()
        took_s = fleet.run_until(
            lambda: states(fleet, node) == {MemberState.DRAINING}, 2.0
        )
        assert took_s <= 2.0

    def test_cut_between_domains_reports_nobody(self, seed: int):
        """Guards against a storm of death reports when a region is cut off."""
        fleet = start_fleet(seed, 30)
        fleet.is_cut = lambda a, b: (a.domain == "d0") != (b.domain == "d0")
        fleet.run(30.0)
        assert reported_dead(fleet) == set()
        ages = fleet.nodes[NodeId("n0")].agent.contacts.domain_ages(fleet.now)
        assert min(ages["d1"], ages["d2"]) >= 29.0

    def test_paused_node_refutes_and_blames_nobody(self, seed: int):
        """Guards against a resumed node that stays dead, or kills the others."""
        fleet = start_fleet(seed)
        node = fleet.nodes[NodeId("n4")]
        fleet.pause(node)
        fleet.run(6.0)
        assert states(fleet, node) == {MemberState.DEAD}
        fleet.resume(node)
        assert (
            fleet.run_until(lambda: states(fleet, node) == {MemberState.SERVING}, 2.0)
            <= 2.0
        )
        assert reported_dead(fleet) == set()

    def test_nodes_that_join_together_find_the_fleet(self, seed: int):
        """Guards against joining nodes that meet only each other."""
        fleet = start_fleet(seed)
        everyone = sorted(fleet.nodes)
        pair = [NodeId("n4"), NodeId("n7")]
        for node_id in pair:
            fleet.kill(fleet.nodes[node_id])
        fleet.run(5.0)
        for node_id, other in (pair, pair[::-1]):
            fleet.start(node_id, "d1", known=[make_member(other, "d1")])
        fleet.run(1.0)
        # From here on the seeds are known; the pair already has a peer.
        for node_id in pair:
            fleet.nodes[node_id].seeds = [n for n in everyone if n != node_id]

        def joined() -> bool:
            return all(len(fleet.nodes[n].agent.table) == TODAY for n in pair)

        assert fleet.run_until(joined, 30.0) <= 30.0

    def test_lost_rumor_is_repaired(self, seed: int):
        """Guards against a change that flooding lost and nothing else brings."""
        fleet = start_fleet(seed)
        node = fleet.nodes[NodeId("n4")]
        # The change is not published, as if every copy of its rumor were lost.
        node.agent.table.update_local(now=fleet.now, slots=7)

        def known() -> bool:
            found = [n.agent.table.get(node.node_id) for n in fleet.live()]
            return all(r is not None and r.slots == 7 for r in found)

        assert fleet.run_until(known, 12.0) <= 12.0

    def test_change_of_a_dead_author_is_in_force_within_five_seconds(self, seed: int):
        """Guards against a committed change that only its dead author knew."""
        fleet = start_fleet(seed)
        assert fleet.store.commit(make_entry(1, "op", 1.0))
        took_s = fleet.run_until(
            lambda: {n.agent.config.version for n in fleet.live()} == {1}, 5.0
        )
        assert took_s <= 5.0

    def test_withdrawal_is_known_within_three_seconds(self, seed: int):
        """Guards against a withdrawn key that works on with the store down."""
        fleet = start_fleet(seed)
        fleet.store.up = False
        fleet.drop = 0.05
        key = KeyDigest("key")
        author = fleet.nodes[NodeId("n4")].agent
        author.receive(RumorBatch(withdrawn=(key,)), None, fleet.now)
        took_s = fleet.run_until(
            lambda: all(key in n.agent.config.withdrawn for n in fleet.live()), 3.0
        )
        assert took_s <= 3.0
