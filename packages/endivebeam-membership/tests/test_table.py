"""Tests of member records against naive versions: a dictionary and full scans."""

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


def newest(members: list[Member]) -> dict[NodeId, Member]:
    found: dict[NodeId, Member] = {}
    for member in members:
        old = found.get(member.node_id)
        if old is None or supersedes(member, old):
            found[member.node_id] = member
    return found


class TestMemberTable:
    @given(st.lists(records, max_size=30), st.randoms(use_true_random=False))
    def test_order_and_repetition_do_not_matter(
        self, members: list[Member], rng: Random
    ):
        """Guards against nodes that disagree for good after reordered rumors."""
        shuffled = members + members[:10]
        rng.shuffle(shuffled)
        table = make_table(shuffled)
        assert {m.node_id: m for m in table.live()} == {
            n: m for n, m in newest(members).items() if not is_ended(m)
        }
        assert table.tree.root == make_table(members).tree.root

    @given(st.lists(records, max_size=30))
    def test_indexes_agree_with_full_scan(self, members: list[Member]):
        """Guards against an index that drifts from the records it covers."""
        table = make_table(members)
        everyone = table.all()
        for service in ("catalogue", "bookings"):
            scan = [
                m
                for m in everyone
                if m.service == service and m.state is MemberState.SERVING
            ]
            assert sorted(table.serving(ServiceName(service)), key=str) == sorted(
                scan, key=str
            )
        live = {m.node_id for m in everyone if not is_ended(m)}
        linked = set(table.overlay.links(LOCAL.node_id))
        assert linked <= live - {LOCAL.node_id}
        assert len(linked) >= min(3, len(live) - 1)

    @given(st.lists(records, max_size=20), st.lists(records, max_size=20))
    def test_tree_finds_all_differences(
        self, first: list[Member], second: list[Member]
    ):
        """Guards against lost rumors that the comparison never repairs."""
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
        ours, theirs = one.in_leaves(leaves, 0.0), other.in_leaves(leaves, 0.0)
        one.merge(theirs, 0.0)
        other.merge(ours, 0.0)
        assert one.tree.root == other.tree.root
        assert sorted(one.all(), key=str) == sorted(other.all(), key=str)

    def test_a_node_refutes_its_own_death(self):
        """Guards against a live node that stays dead for the fleet."""
        table = make_table([])
        dead = msgspec.structs.replace(LOCAL, state=MemberState.DEAD)
        changed = table.merge([AgedMember(dead, 0.0)], 0.0)
        assert changed == [table.local]
        assert supersedes(table.local, dead)

    def test_dropped_record_is_not_taken_back(self):
        """Guards against an old record that two nodes pass on forever."""
        gone = msgspec.structs.replace(make_member("n1", "d1"), state=MemberState.DEAD)
        table = make_table([gone])
        late = RECORD_LIFETIME_S + 1.0
        assert table.drop_expired(late) == [gone.node_id]
        nearly = AgedMember(gone, RECORD_LIFETIME_S - 1.0)
        assert table.merge([nearly], late) == []
        newer = msgspec.structs.replace(gone, incarnation=2, state=MemberState.JOINING)
        assert table.merge([AgedMember(newer, 0.0)], late) == [newer]


class TestOverlay:
    @given(st.integers(1, 60), st.integers(1, 5))
    def test_links_connect_the_fleet(self, count: int, domains: int):
        """Guards against a rumor that cannot reach some node."""
        members = [make_member(f"n{i}", f"d{i % domains}") for i in range(count)]
        overlays = {}
        for domain in {m.domain for m in members}:
            overlay = overlays[domain] = Overlay(domain=domain)
            for member in members:
                overlay.add(member)
        links = {m.node_id: overlays[m.domain].links(m.node_id) for m in members}
        reached = {members[0].node_id}
        waiting = [members[0].node_id]
        while waiting:
            for node_id in links[waiting.pop()]:
                if node_id not in reached:
                    reached.add(node_id)
                    waiting.append(node_id)
        assert len(reached) == count
        assert all(len(found) <= 6 for found in links.values())

    def test_a_domain_covers_all_other_domains(self):
        """Guards against domains that never exchange news directly."""
        members = [make_member(f"n{i}", f"d{i % 7}") for i in range(140)]
        overlay = Overlay(domain=DomainName("d0"))
        for member in members:
            overlay.add(member)
        domains = {m.node_id: m.domain for m in members}
        own = [m.node_id for m in members if m.domain == "d0"]
        reached = {domains[overlay.links(node_id)[-1]] for node_id in own}
        assert reached == {f"d{i}" for i in range(1, 7)}


class TestRumors:
    def test_outbox_is_bounded_and_keeps_the_newest(self):
        """Guards against memory that grows while a neighbor does not read."""
        rumors = RumorQueues()
        peer = NodeId("peer")
        rumors.set_neighbors([peer])
        for number in range(MAX_QUEUED + 10):
            rumors.publish(RumorBatch(members=(make_member(f"n{number}", "d0"),)))
        taken: list[Member] = []
        while len(batch := rumors.take(peer)):
            taken.extend(batch.members)
        assert len(taken) == MAX_QUEUED
        assert taken[-1].node_id == f"n{MAX_QUEUED + 9}"

    def test_never_back_to_the_sender(self):
        """Guards against news that bounces between two nodes."""
        rumors = RumorQueues()
        sender, other = NodeId("sender"), NodeId("other")
        rumors.set_neighbors([sender, other])
        rumors.publish(RumorBatch(members=(LOCAL,)), sender)
        assert not len(rumors.take(sender))
        assert rumors.take(other).members == (LOCAL,)
