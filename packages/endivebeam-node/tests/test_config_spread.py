"""State machine of configuration and membership under faults, in virtual time.

Uses the configuration copy of the daemon. Operators commit concurrently, responses
of the store are lost, nodes restart without state, and the store is down at times.
"""

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from endivebeam_membership import Agent, RumorBatch, supersedes
from endivebeam_model import (
    KeyDigest,
    LogEntry,
    Member,
    MemberState,
    NodeId,
    WithdrawKey,
)
from endivebeam_node._config import ConfigCopy
from endivebeam_standins import VirtualFleet, VirtualNode, make_entry, make_member

COUNT = 7
DOMAINS = 2
numbers = st.integers(0, COUNT - 1)
names = [NodeId(f"n{i}") for i in range(COUNT)]


def withdrawn_at(node: VirtualNode) -> set[KeyDigest]:
    config = node.agent.config
    assert isinstance(config, ConfigCopy)
    keys = config.snapshot.keys
    return set(config.withdrawn) | {d for d, key in keys.items() if key.withdrawn}


class SpreadMachine(RuleBasedStateMachine):
    """Checks that state never regresses and that all nodes agree in the end."""

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed: int) -> None:
        self.fleet = VirtualFleet(seed=seed, make_config=ConfigCopy)
        members = [make_member(n, f"d{i % DOMAINS}") for i, n in enumerate(names)]
        for member in members:
            self.fleet.start(member.node_id, member.domain, known=members)
        self.fleet.run(1.0)
        self.seen: dict[tuple[int, NodeId], Member] = {}
        # Keeps stopped agents alive, so that no later agent has the same ``id()``.
        self.agents: dict[int, Agent] = {}
        self.versions: dict[int, int] = {}
        self.withdrawals: dict[int, set[KeyDigest]] = {}
        self.accepted: list[LogEntry] = []
        self.operations = 0

    @rule(seconds=st.sampled_from([0.1, 0.7, 4.0]))
    def pass_time(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule(number=numbers)
    def kill(self, number: int) -> None:
        if len(self.fleet.live()) > 4:
            self.fleet.kill(self.fleet.nodes[names[number]])

    @rule(number=numbers)
    def restart(self, number: int) -> None:
        node = self.fleet.nodes[names[number]]
        if node.alive and len(self.fleet.live()) <= 4:
            return
        self.fleet.kill(node)
        self._restart(node)

    @rule(number=numbers)
    def pause_or_resume(self, number: int) -> None:
        node = self.fleet.nodes[names[number]]
        if node.paused:
            self.fleet.resume(node)
        elif len(self.fleet.live()) > 4:
            self.fleet.pause(node)

    @rule(number=numbers, slots=st.integers(1, 9))
    def change_record(self, number: int, slots: int) -> None:
        node = self.fleet.nodes[names[number]]
        if node.alive and node.agent.table.update_local(
            now=self.fleet.now, slots=slots
        ):
            node.agent.publish_local()

    @rule(first=numbers, second=numbers, lost=st.booleans())
    def commit_concurrently(self, first: int, second: int, lost: bool) -> None:
        """Commit changes through two nodes, each on the version of that node."""
        if not self.fleet.store.up:
            return
        self.operations += 1
        for number in (first, second):
            node = self.fleet.nodes[names[number]]
            if not node.alive or node.paused:
                continue
            entry = make_entry(
                node.agent.config.version + 1,
                f"op-{self.operations}-{number}",
                self.operations + number / 10,
            )
            if not self.fleet.store.commit(entry):
                continue
            if entry not in self.accepted:
                self.accepted.append(entry)
            if not lost:
                batch = RumorBatch(entries=(entry,))
                node.agent.receive(batch, None, self.fleet.now)

    @rule(number=numbers, key=st.integers(0, 3))
    def withdraw_in_emergency(self, number: int, key: int) -> None:
        node = self.fleet.nodes[names[number]]
        if node.alive and not node.paused:
            batch = RumorBatch(withdrawn=(KeyDigest(f"key-{key}"),))
            node.agent.receive(batch, None, self.fleet.now)

    @precondition(lambda self: self.fleet.store.up)
    @rule(number=numbers)
    def write_withdrawals(self, number: int) -> None:
        node = self.fleet.nodes[names[number]]
        if not node.alive or node.paused:
            return
        for digest in sorted(node.agent.config.withdrawn):
            entry = msgspec.structs.replace(
                make_entry(node.agent.config.version + 1, f"w-{digest}", 1.0),
                change=WithdrawKey(digest=digest),
            )
            if self.fleet.store.commit(entry):
                if entry not in self.accepted:
                    self.accepted.append(entry)
                batch = RumorBatch(entries=(entry,))
                node.agent.receive(batch, None, self.fleet.now)

    @rule(up=st.booleans())
    def switch_store(self, up: bool) -> None:
        self.fleet.store.up = up

    @rule(domain=st.integers(0, DOMAINS))
    def cut(self, domain: int) -> None:
        name = f"d{domain}"
        self.fleet.is_cut = lambda a, b: (a.domain == name) != (b.domain == name)

    @rule(drop=st.sampled_from([0.0, 0.2]), duplicate=st.sampled_from([0.0, 0.3]))
    def set_message_faults(self, drop: float, duplicate: float) -> None:
        self.fleet.drop = drop
        self.fleet.duplicate = duplicate

    @invariant()
    def state_never_regresses(self) -> None:
        assert self.accepted == self.fleet.store.entries
        for node in self.fleet.nodes.values():
            agent_id = id(node.agent)
            self.agents[agent_id] = node.agent
            version = node.agent.config.version
            assert version >= self.versions.get(agent_id, 0)
            assert version <= self.fleet.store.head
            self.versions[agent_id] = version
            keys = withdrawn_at(node)
            assert keys >= self.withdrawals.get(agent_id, set())
            self.withdrawals[agent_id] = keys
            self._check_records(agent_id, node.agent.table.all())

    def teardown(self) -> None:
        """Check that every node has the latest state once the faults end."""
        fleet = self.fleet
        fleet.store.up = True
        fleet.drop = fleet.duplicate = 0.0
        fleet.is_cut = lambda a, b: False
        for node in list(fleet.nodes.values()):
            if node.paused:
                fleet.resume(node)
            if not node.alive:
                self._restart(node)
        known = set().union(*(withdrawn_at(n) for n in fleet.live()))
        assert fleet.run_until(lambda: self._agree(known), 40.0) <= 40.0
        self.state_never_regresses()

    def _restart(self, node: VirtualNode) -> None:
        others = [name for name in names if name != node.node_id]
        self.fleet.start(node.node_id, node.domain, seeds=others)

    def _check_records(self, agent_id: int, records: list[Member]) -> None:
        for record in records:
            old = self.seen.get((agent_id, record.node_id), record)
            assert record == old or supersedes(record, old)
            self.seen[agent_id, record.node_id] = record

    def _agree(self, withdrawn: set[KeyDigest]) -> bool:
        nodes = self.fleet.live()
        records = {n.agent.table.tree.root for n in nodes}
        serving = all(
            m.state is MemberState.SERVING for n in nodes for m in n.agent.table.all()
        )
        versions = {n.agent.config.version for n in nodes}
        return (
            len(records) == 1
            and serving
            and versions == {self.fleet.store.head}
            and all(withdrawn_at(n) >= withdrawn for n in nodes)
        )


TestSpread = SpreadMachine.TestCase
TestSpread.settings = settings(max_examples=40, stateful_step_count=25, deadline=None)
