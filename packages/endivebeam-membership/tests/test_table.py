"""Tests of member records, overlay and rumors, against dictionaries and scans."""

from random import Random

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from endivebeam_membership import (
    MAX_QUEUED,
    RECORD_LIFETIME_S,
    MemberTable,
    Overlay,
    RumorBatch,
    RumorQueues,
    find_differences,
    is_ended,
    supersedes,
)
from endivebeam_model import (
    AgedMember,
    DomainName,
    Member,
    MemberState,
    NodeId,
    ServiceName,
)
from endivebeam_standins import make_member

LOCAL = make_member("local", "d0")

records = st.builds(
    lambda node, incarnation, sequence, state, service: msgspec.structs.replace(
        make_member(f"n{node}", f"d{node % 3}"),
        incarnation=incarnation,
        sequence=sequence,
        state=state,
        service=ServiceName(service),
    ),
    st.integers(0, 5),
    st.integers(1, 3),
    st.integers(0, 3),
    st.sampled_from(MemberState),
    st.sampled_from(["catalogue", "bookings"]),
)


def make_table(members: list[Member]) -> MemberTable:
    table = MemberTable(local=LOCAL, now=0.0)
    table.merge([AgedMember(member, 0.0) for member in members], 0.0)
    return table


def newest_by_node(members: list[Member]) -> dict[NodeId, Member]:
    found: dict[NodeId, Member] = {}
    for member in members:
        old = found.get(member.node_id)
        if old is None or supersedes(member, old):
            found[member.node_id] = member
    return found


class TestMemberTable:
    @given(st.lists(records, max_size=30), st.randoms(use_true_random=False))
    def test_result_is_independent_of_order_and_duplicates(
        self, members: list[Member], rng: Random
    ):
        """Guards against nodes that never agree again after reordered rumors."""
        shuffled = members + members[:10]
        rng.shuffle(shuffled)
        table = make_table(shuffled)
        assert {m.node_id: m for m in table.live()} == {
            n: m for n, m in newest_by_node(members).items() if not is_ended(m)
        }
        assert table.tree.root == make_table(members).tree.root

    @given(st.lists(records, max_size=30))
    def test_indexes_agree_with_full_scan(self, members: list[Member]):
        """Guards against an index that is inconsistent with the records."""
        table = make_table(members)
        all_records = table.all()
        for service in ("catalogue", "bookings"):
            scan = [
                m
                for m in all_records
                if m.service == service and m.state is MemberState.SERVING
            ]
            assert sorted(table.serving(ServiceName(service)), key=str) == sorted(
                scan, key=str
            )
        live = {m.node_id for m in all_records if not is_ended(m)}
        linked = set(table.overlay.links(LOCAL.node_id))
        assert linked <= live - {LOCAL.node_id}
        assert len(linked) >= min(3, len(live) - 1)

    @given(st.lists(records, max_size=20), st.lists(records, max_size=20))
    def test_hash_tree_finds_all_differences(
        self, first: list[Member], second: list[Member]
    ):
        """Guards against lost rumors that anti-entropy does not recover."""
        one, other = make_table(first), make_table(second)
        steps = find_differences(one.tree)
        query = next(steps)
        leaves: list[int] = []
        try:
            while True:
                answer = other.tree.children(query.level, query.indexes)
                query = steps.send(answer)
        except StopIteration as end:
            leaves = end.value
        left, right = one.in_leaves(leaves, 0.0), other.in_leaves(leaves, 0.0)
        one.merge(right, 0.0)
        other.merge(left, 0.0)
        assert one.tree.root == other.tree.root
        assert sorted(one.all(), key=str) == sorted(other.all(), key=str)

    def test_a_node_refutes_its_own_death(self):
        """Guards against a live node that the fleet keeps treating as dead."""
        table = make_table([])
        dead = msgspec.structs.replace(LOCAL, state=MemberState.DEAD)
        changed = table.merge([AgedMember(dead, 0.0)], 0.0)
        assert changed == [table.local]
        assert supersedes(table.local, dead)

    def test_expired_record_is_not_accepted_again(self):
        """Guards against an expired record that two nodes exchange forever."""
        dead = msgspec.structs.replace(make_member("n1", "d1"), state=MemberState.DEAD)
        table = make_table([dead])
        late = RECORD_LIFETIME_S + 1.0
        assert table.drop_expired(late) == [dead.node_id]
        nearly = AgedMember(dead, RECORD_LIFETIME_S - 1.0)
        assert table.merge([nearly], late) == []
        newer = msgspec.structs.replace(dead, incarnation=2, state=MemberState.JOINING)
        assert table.merge([AgedMember(newer, 0.0)], late) == [newer]


class TestOverlay:
    @given(st.integers(1, 60), st.integers(1, 5))
    def test_links_connect_the_fleet(self, count: int, domains: int):
        """Guards against nodes that rumors cannot reach."""
        members = [make_member(f"n{i}", f"d{i % domains}") for i in range(count)]
        overlays = {}
        for domain in {m.domain for m in members}:
            overlay = overlays[domain] = Overlay(domain=domain)
            for member in members:
                overlay.add(member)
        links = {m.node_id: overlays[m.domain].links(m.node_id) for m in members}
        reached = {members[0].node_id}
        pending = [members[0].node_id]
        while pending:
            for node_id in links[pending.pop()]:
                if node_id not in reached:
                    reached.add(node_id)
                    pending.append(node_id)
        assert len(reached) == count
        assert all(len(found) <= 6 for found in links.values())

    def test_a_domain_links_to_all_other_domains(self):
        """Guards against domains that never exchange rumors directly."""
        members = [make_member(f"n{i}", f"d{i % 7}") for i in range(140)]
        overlay = Overlay(domain=DomainName("d0"))
        for member in members:
            overlay.add(member)
        domains = {m.node_id: m.domain for m in members}
        own = [m.node_id for m in members if m.domain == "d0"]
        reached = {domains[overlay.links(node_id)[-1]] for node_id in own}
        assert reached == {f"d{i}" for i in range(1, 7)}


class TestRumorQueues:
    def test_queue_is_bounded_and_keeps_the_newest_items(self):
        """Guards against memory that grows while a neighbor does not read."""
        rumors = RumorQueues()
        peer = NodeId("peer")
        rumors.set_neighbors([peer])
        for number in range(MAX_QUEUED + 10):
            rumors.publish(RumorBatch(members=(make_member(f"n{number}", "d0"),)))
        dequeued: list[Member] = []
        while len(batch := rumors.dequeue(peer)):
            dequeued.extend(batch.members)
        assert len(dequeued) == MAX_QUEUED
        assert dequeued[-1].node_id == f"n{MAX_QUEUED + 9}"

    def test_does_not_return_rumors_to_the_sender(self):
        """Guards against rumors that two nodes send back and forth."""
        rumors = RumorQueues()
        sender, other = NodeId("sender"), NodeId("other")
        rumors.set_neighbors([sender, other])
        rumors.publish(RumorBatch(members=(LOCAL,)), sender)
        assert not len(rumors.dequeue(sender))
        assert rumors.dequeue(other).members == (LOCAL,)
