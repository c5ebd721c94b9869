"""A fleet of overlay agents in virtual time, with a network in memory.

The network drops, delays and duplicates messages, and cuts links between
nodes. Nodes can be paused, killed and restarted. Nothing sleeps, so hours of
virtual time pass quickly, and runs with the same seed are identical.
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

TICK_PERIOD_S = 0.1
HEARTBEAT_PERIOD_S = 0.5
POLL_PERIOD_S = 1.0
RETRY_DELAY_S = 0.25
POLLERS_PER_DOMAIN = 2
PEER_TIMEOUT_S = 3.0
SEED_PERIOD_S = 60.0
STARTUP_SEED_PERIOD_S = 5.0
STARTUP_S = 60.0
SEEDS_PER_DOMAIN = 4

_encode = msgspec.msgpack.Encoder().encode


class VirtualFleet:
    """Discrete-event simulation of nodes, the network between them and the store.

    ``is_cut`` returns for each message whether the link between two nodes is
    cut. ``drop`` and ``duplicate`` are probabilities per message.
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
        """Start a node, or restart it without its previous state.

        ``seeds`` are contacted to join the fleet; ``known`` are member records
        that the node has from the start.
        """
        local = make_member(node_id, domain)
        agent = Agent(
            table=MemberTable(local=local, now=self.now),
            config=self._make_config(),
            now=self.now,
        )
        node = VirtualNode(
            agent=agent, started_at=self.now, seeds_contacted_at=self.now, seeds=seeds
        )
        self.nodes[local.node_id] = node
        agent.receive(RumorBatch(members=tuple(known)), None, self.now)
        agent.rumors.on_queued = lambda peer: self.flush(node, peer)
        offset = self.rng.random()
        self.after(offset * TICK_PERIOD_S, lambda: self._tick(node))
        self.after(offset * HEARTBEAT_PERIOD_S, lambda: self._send_heartbeats(node))
        self.after(offset * POLL_PERIOD_S, lambda: self._poll(node))
        return node

    def kill(self, node: VirtualNode) -> None:
        """Stop a node permanently without notice to its peers, as SIGKILL does."""
        node.alive = False

    def pause(self, node: VirtualNode) -> None:
        """Pause a node as SIGSTOP does; messages that arrive are queued."""
        node.paused = True

    def resume(self, node: VirtualNode) -> None:
        """Resume a paused node and process the messages queued during the pause."""
        node.paused = False
        waiting, node.inbox = node.inbox, []
        for run in waiting:
            run()

    def after(self, delay_s: float, run: Callable[[], None]) -> None:
        """Schedule a function to run after a delay in virtual time."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), run))

    def run(self, seconds: float) -> None:
        """Advance the virtual time and run the events that are due."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, run = heapq.heappop(self._events)
            run()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Advance the time until a condition holds; return the seconds it took.

        Returns infinity if the condition does not hold within the limit.
        """
        started = self.now
        while self.now - started <= limit_s:
            if condition():
                return self.now - started
            self.run(0.05)
        return float("inf")

    def live(self) -> list[VirtualNode]:
        """Return the nodes that are neither killed nor paused."""
        return [n for n in self.nodes.values() if n.alive and not n.paused]

    def flush(self, node: VirtualNode, peer_id: NodeId) -> None:
        """Send the rumors queued for a neighbor, one batch in flight at a time."""
        if peer_id in node.sending or not node.alive or node.paused:
            return
        batch = node.agent.rumors.dequeue(peer_id)
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

        def on_arrival(peer: VirtualNode) -> None:
            peer.agent.receive(batch, node.node_id, self.now)

        def on_done(arrived: bool) -> None:
            node.sending.discard(peer_id)
            if not arrived:
                node.agent.rumors.requeue(peer_id, batch)
                self.after(RETRY_DELAY_S, lambda: self.flush(node, peer_id))
                return
            self.flush(node, peer_id)

        self.send(node, peer_id, on_arrival, on_done)

    def send(
        self,
        node: VirtualNode,
        peer_id: NodeId,
        on_arrival: Callable[[VirtualNode], None],
        on_done: Callable[[bool], None] = lambda arrived: None,
    ) -> None:
        """Deliver a message to a node and report to the sender whether it arrived.

        ``on_arrival`` runs at the receiver, ``on_done`` at the sender.
        """
        peer = self.nodes.get(peer_id)
        lost = peer is None or not peer.alive or self.is_cut(node, peer)
        if lost or self.rng.random() < self.drop or peer is None:
            self.after(RETRY_DELAY_S, lambda: on_done(False))
            return
        receiver = peer

        def deliver() -> None:
            if receiver.paused:
                receiver.inbox.append(lambda: on_arrival(receiver))
            elif receiver.alive:
                on_arrival(receiver)

        copies = 2 if self.rng.random() < self.duplicate else 1
        for _ in range(copies):
            self.after(self._delay(), deliver)
        self.after(self._delay() + self._delay(), lambda: on_done(True))

    def run_anti_entropy(self, node: VirtualNode, peer_id: NodeId) -> None:
        """Compare the member digests of two nodes and exchange differing records."""

        def on_arrival(peer: VirtualNode) -> None:
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
            peer.agent.merge_records(ours, self.now)
            node.agent.merge_records(theirs, self.now)
            for one, other in ((node, peer), (peer, node)):
                withdrawn = RumorBatch(withdrawn=tuple(one.agent.config.withdrawn))
                other.agent.receive(withdrawn, None, self.now)

        self.send(node, peer_id, on_arrival)

    def _tick(self, node: VirtualNode) -> None:
        if not node.alive:
            return
        if not node.paused:
            for peer_id in node.agent.tick(self.now):
                self._probe(node, peer_id)
        self.after(TICK_PERIOD_S, lambda: self._tick(node))

    def _probe(self, node: VirtualNode, peer_id: NodeId) -> None:
        def on_arrival(peer: VirtualNode) -> None:
            if not self.is_cut(peer, node):
                node.agent.detector.record_reply(peer_id, self.now)

        self.send(node, peer_id, on_arrival)

    def _send_heartbeats(self, node: VirtualNode) -> None:
        if not node.alive:
            return
        if not node.paused:
            for peer_id in node.agent.neighbors:
                self._send_heartbeat(node, peer_id)
        self.after(HEARTBEAT_PERIOD_S, lambda: self._send_heartbeats(node))

    def _send_heartbeat(self, node: VirtualNode, peer_id: NodeId) -> None:
        sent_at = self.now
        sent = node.agent.summary()
        node.bytes_sent += len(
            encode_frame(
                Heartbeat(
                    request_id=1, config_version=sent.version, member_digest=sent.digest
                )
            )
        )

        def on_arrival(peer: VirtualNode) -> None:
            self._report_dead(peer, node)
            summary, ages = peer.agent.summary(), peer.agent.ages(node.domain, self.now)
            peer.bytes_sent += len(encode_frame(_make_echo(summary, ages)))
            self.send(
                peer,
                node.node_id,
                lambda _: self._handle_echo(node, peer, summary, ages, sent_at),
            )

        self.send(node, peer_id, on_arrival)

    def _report_dead(self, peer: VirtualNode, node: VirtualNode) -> None:
        """Send a node its own record if the peer considers it dead.

        The node then refutes it with a higher incarnation.
        """
        record = peer.agent.table.get(node.node_id)
        if record is not None and record.state is MemberState.DEAD:
            batch = RumorBatch(members=(record,))
            self.send(
                peer,
                node.node_id,
                lambda _: node.agent.receive(batch, peer.node_id, self.now),
            )

    def _handle_echo(
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
        if actions.anti_entropy:
            self.run_anti_entropy(node, peer.node_id)
        if actions.pull:
            self._pull(node, peer.node_id)

    def _pull(self, node: VirtualNode, peer_id: NodeId) -> None:
        def on_arrival(peer: VirtualNode) -> None:
            version, peer_version = node.agent.config.version, peer.agent.config.version
            entries = tuple(self.store.entries[version:peer_version])
            self.send(
                peer,
                node.node_id,
                lambda _: node.agent.receive(
                    RumorBatch(entries=entries), peer_id, self.now
                ),
            )

        self.send(node, peer_id, on_arrival)

    def _poll(self, node: VirtualNode) -> None:
        if not node.alive:
            return
        if not node.paused:
            self._read_log(node)
            self._contact_seeds(node)
        self.after(POLL_PERIOD_S, lambda: self._poll(node))

    def _contact_seeds(self, node: VirtualNode) -> None:
        table = node.agent.table
        at = node.agent.contacts.peer_at
        without_peers = at is None or self.now - at > PEER_TIMEOUT_S
        period_s = (
            STARTUP_SEED_PERIOD_S
            if self.now - node.started_at < STARTUP_S
            else SEED_PERIOD_S
        )
        due = self.now - node.seeds_contacted_at >= period_s
        known = {member.node_id for member in table.live()}
        candidates = [seed for seed in node.seeds if without_peers or seed not in known]
        first = table.overlay.first(node.domain, SEEDS_PER_DOMAIN)
        if candidates and (without_peers or (due and node.node_id in first)):
            node.seeds_contacted_at = self.now
            self.run_anti_entropy(node, self.rng.choice(candidates))

    def _read_log(self, node: VirtualNode) -> None:
        agent = node.agent
        first = agent.table.overlay.first(node.domain, POLLERS_PER_DOMAIN)
        if not self.store.up or node.node_id not in first:
            return
        agent.contacts.record_store_response(self.now)
        missing = tuple(self.store.entries[agent.config.version :])
        agent.receive(RumorBatch(entries=missing), None, self.now)

    def _delay(self) -> float:
        return self.delay_s * self.rng.uniform(0.5, 1.5)


def _make_echo(summary: StateSummary, ages: ContactAges) -> HeartbeatEcho:
    return HeartbeatEcho(
        request_id=1,
        config_version=summary.version,
        member_digest=summary.digest,
        store_age_ms=-1 if ages.store is None else round(ages.store * 1000),
        domain_ages_ms={
            name: round(age_s * 1000) for name, age_s in ages.domains.items()
        },
    )
