"""A fleet of overlay agents on a virtual clock and a network in memory.

The network drops, delays and duplicates messages, and cuts links between
nodes. Nodes can be paused, killed and restarted. Nothing sleeps, so that hours
of a fleet pass in moments and every run repeats exactly.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence

import msgspec

from endivebeam_membership import (
    Agent,
    ConfigState,
    ContactAges,
    MemberTable,
    RumorBatch,
    StateSummary,
    SyncActions,
    find_differences,
)
from endivebeam_model import Member, MemberState, NodeId
from endivebeam_wire import Heartbeat, HeartbeatEcho, Rumor, encode_frame

from ._virtual_state import VirtualConfig, VirtualNode, VirtualStore, make_member

TICK_S = 0.1
HEARTBEAT_S = 0.5
POLL_S = 1.0
RETRY_S = 0.25
POLLERS = 2
LONELY_S = 3.0
SEED_S = 60.0
YOUNG_SEED_S = 5.0
YOUNG_S = 60.0
SEEDS_PER_DOMAIN = 4

_encode = msgspec.msgpack.Encoder().encode


class VirtualFleet:
    """Nodes, the network between them and the store.

    ``is_cut`` decides for each message whether the link between two nodes is
    cut; ``drop`` and ``duplicate`` are probabilities.
    """

    def __init__(
        self,
        *,
        seed: int,
        delay_s: float = 0.002,
        make_config: Callable[[], ConfigState] = VirtualConfig,
    ) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.nodes: dict[NodeId, VirtualNode] = {}
        self.store = VirtualStore()
        self.delay_s = delay_s
        self.drop = 0.0
        self.duplicate = 0.0
        self.is_cut: Callable[[VirtualNode, VirtualNode], bool] = lambda a, b: False
        self._make_config = make_config
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def start(
        self,
        node_id: str,
        domain: str,
        *,
        seeds: Sequence[NodeId] = (),
        known: Sequence[Member] = (),
    ) -> VirtualNode:
        """Start a node, or start it again with nothing left of its state."""
        local = make_member(node_id, domain)
        agent = Agent(
            table=MemberTable(local=local, now=self.now),
            config=self._make_config(),
            now=self.now,
        )
        node = VirtualNode(
            agent=agent, started_at=self.now, met_at=self.now, seeds=seeds
        )
        self.nodes[local.node_id] = node
        agent.receive(RumorBatch(members=tuple(known)), None, self.now)
        agent.rumors.wake = lambda peer: self.flush(node, peer)
        offset = self.rng.random()
        self.after(offset * TICK_S, lambda: self._tick(node))
        self.after(offset * HEARTBEAT_S, lambda: self._heartbeat(node))
        self.after(offset * POLL_S, lambda: self._poll(node))
        return node

    def kill(self, node: VirtualNode) -> None:
        """Stop a node for good, without a word."""
        node.alive = False

    def pause(self, node: VirtualNode) -> None:
        """Stop a node like SIGSTOP does; what arrives waits."""
        node.paused = True

    def resume(self, node: VirtualNode) -> None:
        """Continue a paused node."""
        node.paused = False
        waiting, node.inbox = node.inbox, []
        for run in waiting:
            run()

    def after(self, delay_s: float, run: Callable[[], None]) -> None:
        """Call a function at a later virtual time."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), run))

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, run = heapq.heappop(self._events)
            run()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Let time pass until a condition holds; return how long it took.

        Returns infinity when the condition does not hold within the limit.
        """
        started = self.now
        while self.now - started <= limit_s:
            if condition():
                return self.now - started
            self.run(0.05)
        return float("inf")

    def live(self) -> list[VirtualNode]:
        """Return the nodes that run."""
        return [n for n in self.nodes.values() if n.alive and not n.paused]

    def flush(self, node: VirtualNode, peer_id: NodeId) -> None:
        """Send what waits for a neighbor; one batch is under way at a time."""
        if peer_id in node.sending or not node.alive or node.paused:
            return
        batch = node.agent.rumors.take(peer_id)
        if not len(batch):
            return
        node.sending.add(peer_id)
        rumor = Rumor(
            request_id=1,
            members=batch.members,
            entries=batch.entries,
            withdrawn=batch.withdrawn,
        )
        node.bytes_sent += len(encode_frame(rumor))

        def arrive(peer: VirtualNode) -> None:
            peer.agent.receive(batch, node.node_id, self.now)

        def done(arrived: bool) -> None:
            node.sending.discard(peer_id)
            if not arrived:
                node.agent.rumors.put_back(peer_id, batch)
                self.after(RETRY_S, lambda: self.flush(node, peer_id))
                return
            self.flush(node, peer_id)

        self.send(node, peer_id, arrive, done)

    def send(
        self,
        node: VirtualNode,
        peer_id: NodeId,
        arrive: Callable[[VirtualNode], None],
        done: Callable[[bool], None] = lambda arrived: None,
    ) -> None:
        """Carry a message to a node and tell the sender whether it arrived."""
        peer = self.nodes.get(peer_id)
        lost = peer is None or not peer.alive or self.is_cut(node, peer)
        if lost or self.rng.random() < self.drop or peer is None:
            self.after(RETRY_S, lambda: done(False))
            return
        target = peer

        def deliver() -> None:
            if target.paused:
                target.inbox.append(lambda: arrive(target))
            elif target.alive:
                arrive(target)

        copies = 2 if self.rng.random() < self.duplicate else 1
        for _ in range(copies):
            self.after(self._delay(), deliver)
        self.after(self._delay() + self._delay(), lambda: done(True))

    def repair(self, node: VirtualNode, peer_id: NodeId) -> None:
        """Compare two nodes and exchange what differs."""

        def arrive(peer: VirtualNode) -> None:
            steps = find_differences(node.agent.table.tree)
            query = next(steps)
            try:
                while True:
                    tree = peer.agent.table.tree
                    query = steps.send(tree.children(query.level, query.indexes))
            except StopIteration as end:
                leaves: list[int] = end.value
            ours = node.agent.table.in_leaves(leaves, self.now)
            theirs = peer.agent.table.in_leaves(leaves, self.now)
            node.bytes_sent += len(_encode(ours))
            peer.bytes_sent += len(_encode(theirs))
            peer.agent.receive_repair(ours, self.now)
            node.agent.receive_repair(theirs, self.now)
            for one, other in ((node, peer), (peer, node)):
                withdrawn = RumorBatch(withdrawn=tuple(one.agent.config.withdrawn))
                other.agent.receive(withdrawn, None, self.now)

        self.send(node, peer_id, arrive)

    def _tick(self, node: VirtualNode) -> None:
        if not node.alive:
            return
        if not node.paused:
            for peer_id in node.agent.tick(self.now):
                self._probe(node, peer_id)
        self.after(TICK_S, lambda: self._tick(node))

    def _probe(self, node: VirtualNode, peer_id: NodeId) -> None:
        def arrive(peer: VirtualNode) -> None:
            if not self.is_cut(peer, node):
                node.agent.detector.record_answer(peer_id, self.now)

        self.send(node, peer_id, arrive)

    def _heartbeat(self, node: VirtualNode) -> None:
        if not node.alive:
            return
        if not node.paused:
            for peer_id in node.agent.neighbors:
                self._beat(node, peer_id)
        self.after(HEARTBEAT_S, lambda: self._heartbeat(node))

    def _beat(self, node: VirtualNode, peer_id: NodeId) -> None:
        sent_at = self.now
        sent = node.agent.summary()
        node.bytes_sent += len(
            encode_frame(
                Heartbeat(
                    request_id=1, config_version=sent.version, member_digest=sent.digest
                )
            )
        )

        def arrive(peer: VirtualNode) -> None:
            self._tell_dead(peer, node)
            summary, ages = peer.agent.summary(), peer.agent.ages(node.domain, self.now)
            peer.bytes_sent += len(encode_frame(_to_echo(summary, ages)))
            self.send(
                peer,
                node.node_id,
                lambda _: self._echo(node, peer, summary, ages, sent_at),
            )

        self.send(node, peer_id, arrive)

    def _tell_dead(self, peer: VirtualNode, node: VirtualNode) -> None:
        record = peer.agent.table.get(node.node_id)
        if record is not None and record.state is MemberState.DEAD:
            batch = RumorBatch(members=(record,))
            self.send(
                peer,
                node.node_id,
                lambda _: node.agent.receive(batch, peer.node_id, self.now),
            )

    def _echo(
        self,
        node: VirtualNode,
        peer: VirtualNode,
        summary: StateSummary,
        ages: ContactAges,
        sent_at: float,
    ) -> None:
        record = node.agent.table.get(peer.node_id)
        if record is None:
            return
        actions: SyncActions = node.agent.handle_echo(
            record, summary, ages, sent_at=sent_at, now=self.now
        )
        if actions.repair:
            self.repair(node, peer.node_id)
        if actions.pull:
            self._pull(node, peer.node_id)

    def _pull(self, node: VirtualNode, peer_id: NodeId) -> None:
        def arrive(peer: VirtualNode) -> None:
            have, theirs = node.agent.config.version, peer.agent.config.version
            entries = tuple(self.store.entries[have:theirs])
            self.send(
                peer,
                node.node_id,
                lambda _: node.agent.receive(
                    RumorBatch(entries=entries), peer_id, self.now
                ),
            )

        self.send(node, peer_id, arrive)

    def _poll(self, node: VirtualNode) -> None:
        if not node.alive:
            return
        if not node.paused:
            self._read_head(node)
            self._meet(node)
        self.after(POLL_S, lambda: self._poll(node))

    def _meet(self, node: VirtualNode) -> None:
        table = node.agent.table
        at = node.agent.contacts.peer_at
        lonely = at is None or self.now - at > LONELY_S
        period_s = YOUNG_SEED_S if self.now - node.started_at < YOUNG_S else SEED_S
        due = self.now - node.met_at >= period_s
        known = {member.node_id for member in table.live()}
        strange = [seed for seed in node.seeds if lonely or seed not in known]
        first = table.overlay.first(node.domain, SEEDS_PER_DOMAIN)
        if strange and (lonely or (due and node.node_id in first)):
            node.met_at = self.now
            self.repair(node, self.rng.choice(strange))

    def _read_head(self, node: VirtualNode) -> None:
        agent = node.agent
        first = agent.table.overlay.first(node.domain, POLLERS)
        if not self.store.up or node.node_id not in first:
            return
        agent.contacts.record_store_answer(self.now)
        missing = tuple(self.store.entries[agent.config.version :])
        agent.receive(RumorBatch(entries=missing), None, self.now)

    def _delay(self) -> float:
        return self.delay_s * self.rng.uniform(0.5, 1.5)


def _to_echo(summary: StateSummary, ages: ContactAges) -> HeartbeatEcho:
    return HeartbeatEcho(
        request_id=1,
        config_version=summary.version,
        member_digest=summary.digest,
        store_age_ms=-1 if ages.store is None else round(ages.store * 1000),
        domain_ages_ms={
            name: round(age_s * 1000) for name, age_s in ages.domains.items()
        },
    )
