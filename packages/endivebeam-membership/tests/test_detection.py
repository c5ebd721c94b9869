"""Tests of failure detection and gossip in virtual time."""

import pytest

from endivebeam_membership import ContactTimes, Detector, DetectorResult, RumorBatch
from endivebeam_model import DomainName, KeyDigest, MemberState, NodeId
from endivebeam_standins import VirtualFleet, VirtualNode, make_entry, make_member

# The larger of two existing fleets, which have 14 and 12 targets in three domains each.
FLEET_SIZE = 14
PEER = NodeId("peer")


def start_fleet(seed: int, count: int = FLEET_SIZE) -> VirtualFleet:
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
    def test_probes_before_a_death_report(self):
        """Guards against a death report without a probe on a new connection."""
        detector = Detector(now=0.0)
        detector.watch([PEER], 0.0)
        results = [(t / 10, detector.tick(t / 10)) for t in range(1, 25)]
        found = [(t, v) for t, v in results if v != DetectorResult()]
        assert found == [
            (1.0, DetectorResult(probe=(PEER,))),
            (2.0, DetectorResult(dead=(PEER,))),
        ]

    def test_answered_probe_clears_the_suspicion(self):
        """Guards against a death report of a node that fails only on its old stream."""
        detector = Detector(now=0.0)
        detector.watch([PEER], 0.0)
        dead = []
        for t in range(1, 100):
            result = detector.tick(t / 10)
            dead.extend(result.dead)
            for node_id in result.probe:
                detector.record_reply(node_id, t / 10 + 0.05)
        assert dead == []

    def test_own_pause_reports_no_node_dead(self):
        """Guards against a resumed node that reports all other nodes dead."""
        detector = Detector(now=0.0)
        detector.watch([PEER], 0.0)
        for t in (0.1, 0.2, 60.0, 60.1, 60.2):
            assert detector.tick(t) == DetectorResult()


class TestContacts:
    def test_contacts_are_accepted_only_from_the_own_domain(self):
        """Guards against a majority that counts the contacts of another domain."""
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
        """Guards against calls to a node long after it was killed."""
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

    def test_partition_between_domains_reports_no_node_dead(self, seed: int):
        """Guards against death reports for all nodes beyond a network partition."""
        fleet = start_fleet(seed, 30)
        fleet.is_cut = lambda a, b: (a.domain == "d0") != (b.domain == "d0")
        fleet.run(30.0)
        assert reported_dead(fleet) == set()
        ages = fleet.nodes[NodeId("n0")].agent.contacts.domain_ages(fleet.now)
        assert min(ages["d1"], ages["d2"]) >= 29.0

    def test_resumed_node_refutes_its_death_and_reports_none(self, seed: int):
        """Guards against a resumed node that stays dead or reports others dead."""
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

    def test_nodes_that_join_at_the_same_time_find_the_fleet(self, seed: int):
        """Guards against joining nodes that discover only each other."""
        fleet = start_fleet(seed)
        all_ids = sorted(fleet.nodes)
        joining = [NodeId("n4"), NodeId("n7")]
        for node_id in joining:
            fleet.kill(fleet.nodes[node_id])
        fleet.run(5.0)
        for node_id, other in (joining, joining[::-1]):
            fleet.start(node_id, "d1", known=[make_member(other, "d1")])
        fleet.run(1.0)
        # From here on the seeds are known; the joining nodes already have a peer.
        for node_id in joining:
            fleet.nodes[node_id].seeds = [n for n in all_ids if n != node_id]

        def joined() -> bool:
            return all(len(fleet.nodes[n].agent.table) == FLEET_SIZE for n in joining)

        assert fleet.run_until(joined, 30.0) <= 30.0

    def test_lost_rumor_is_recovered_by_anti_entropy(self, seed: int):
        """Guards against a change that never arrives after its rumors were lost."""
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
        """Guards against a withdrawn key that still works while the store is down."""
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
