"""Streams to overlay neighbors: heartbeats, rumors, probes and anti-entropy."""

import random

import anyio
import anyio.abc
from loguru import logger

from endivebeam_membership import (
    ContactAges,
    RumorBatch,
    StateSummary,
    SyncActions,
    find_differences,
    is_ended,
)
from endivebeam_model import Address, DomainName, Member, MemberState, NodeId
from endivebeam_wire import (
    DigestReply,
    DigestRequest,
    FrameError,
    Heartbeat,
    HeartbeatEcho,
    LeavesReply,
    LeavesRequest,
    PeerStream,
    Rumor,
    RumorAck,
    StreamFullError,
    StreamLostError,
)

from ._members import Members
from ._peers import Peers, UnreachableError

TICK_S = 0.1
RECONNECT_S = 0.25
IDLE_CHECK_S = 5.0
REQUEST_TIMEOUT_S = 2.0
MAX_LEAVES = 32
MAX_RECORDS = 1024


class Overlay:
    """Maintains a stream to each neighbor and exchanges updates over it."""

    def __init__(
        self,
        *,
        members: Members,
        peers: Peers,
        tasks: anyio.abc.TaskGroup,
        rng: random.Random,
    ) -> None:
        self._members = members
        self._agent = members.agent
        self._peers = peers
        self._tasks = tasks
        self._rng = rng
        self._links: dict[NodeId, anyio.CancelScope] = {}
        self._wake_events: dict[NodeId, anyio.Event] = {}
        self._addresses: frozenset[Address] = frozenset()
        self._anti_entropy_running = False
        self._agent.rumors.on_queued = self._wake
        members.add_listener(_log_change)

    async def run(self) -> None:
        """Run failure detection and maintain the links until cancelled."""
        while True:
            now = anyio.current_time()
            for node_id in self._agent.tick(now):
                self._tasks.start_soon(self._probe, node_id)
            self._reconcile()
            await anyio.sleep(TICK_S)

    def handle_lost_stream(self, stream: PeerStream) -> None:
        """Handle a lost stream; the link to its node opens another one."""
        if stream.remote is not None:
            self._wake(stream.remote.node_id)

    def is_neighbor(self, address: Address) -> bool:
        """Return whether an address belongs to a neighbor in the overlay."""
        return address in self._addresses

    def heartbeat(self, request_id: int) -> Heartbeat:
        """Return a heartbeat with the state summary of this node."""
        summary = self._agent.summary()
        return Heartbeat(
            request_id=request_id,
            config_version=summary.version,
            member_digest=summary.digest,
        )

    def echo(self, stream: PeerStream, request_id: int) -> HeartbeatEcho:
        """Return the reply to a heartbeat."""
        summary = self._agent.summary()
        domain = DomainName("") if stream.remote is None else stream.remote.domain
        ages = self._agent.ages(domain, anyio.current_time())
        return HeartbeatEcho(
            request_id=request_id,
            config_version=summary.version,
            member_digest=summary.digest,
            store_age_ms=-1 if ages.store is None else round(ages.store * 1000),
            domain_ages_ms={
                name: round(age_s * 1000) for name, age_s in ages.domains.items()
            },
        )

    def handle_echo(
        self, stream: PeerStream, echo: HeartbeatEcho, sent_at: float
    ) -> SyncActions:
        """Process the echo of a heartbeat; start anti-entropy if needed."""
        peer = self._sender(stream)
        if peer is None:
            return SyncActions()
        ages = ContactAges(
            {name: age_ms / 1000 for name, age_ms in echo.domain_ages_ms.items()},
            None if echo.store_age_ms < 0 else echo.store_age_ms / 1000,
        )
        summary = StateSummary(echo.config_version, echo.member_digest)
        actions = self._agent.handle_echo(
            peer, summary, ages, sent_at=sent_at, now=anyio.current_time()
        )
        if actions.anti_entropy:
            self._tasks.start_soon(self.run_anti_entropy, stream)
        return actions

    def handle_heartbeat(self, stream: PeerStream) -> None:
        """Send a live node its record if that reports it as dead or left.

        The node refutes the record.
        """
        record = self._sender(stream)
        if record is None or stream.remote is None:
            return
        if is_ended(record) and record.incarnation >= stream.remote.incarnation:
            self._tasks.start_soon(
                self._send_batch, stream, RumorBatch(members=(record,))
            )

    def handle_rumor(self, stream: PeerStream, rumor: Rumor) -> RumorAck:
        """Apply a rumor and forward the updates in it that are new to this node."""
        sender = None if stream.remote is None else stream.remote.node_id
        batch = RumorBatch(rumor.members, rumor.entries, rumor.withdrawn)
        self._agent.receive(batch, sender, anyio.current_time())
        return RumorAck(request_id=rumor.request_id)

    def handle_digest_request(self, request: DigestRequest) -> DigestReply:
        """Return the reply to one step of a digest comparison."""
        now = anyio.current_time()
        withdrawn = tuple(self._agent.config.withdrawn) if not request.level else ()
        self._agent.receive(RumorBatch(withdrawn=request.withdrawn), None, now)
        digests = self._agent.table.tree.children(request.level, request.indexes)
        return DigestReply(
            request_id=request.request_id, digests=digests, withdrawn=withdrawn
        )

    def handle_leaves_request(self, request: LeavesRequest) -> LeavesReply:
        """Merge the requester's records and return this node's of the same leaves.

        A leaf of the digest tree covers a part of the member records.
        """
        now = anyio.current_time()
        own = self._agent.table.in_leaves(request.leaves[:MAX_LEAVES], now)
        self._agent.merge_records(request.records, now)
        return LeavesReply(request_id=request.request_id, records=own[:MAX_RECORDS])

    async def run_anti_entropy(self, stream: PeerStream) -> bool:
        """Compare digests with a node and exchange the records that differ.

        Returns whether the comparison completed.
        """
        if self._anti_entropy_running:
            return False
        self._anti_entropy_running = True
        try:
            leaves = await self._compare(stream)
            for start in range(0, len(leaves), MAX_LEAVES):
                await self._exchange_leaves(stream, leaves[start : start + MAX_LEAVES])
        except (StreamLostError, StreamFullError, TimeoutError):
            return False
        finally:
            self._anti_entropy_running = False
        return True

    async def _compare(self, stream: PeerStream) -> list[int]:
        steps = find_differences(self._agent.table.tree)
        query = next(steps)
        while True:
            withdrawn = () if query.level else tuple(self._agent.config.withdrawn)
            request = DigestRequest(
                request_id=stream.next_id(),
                level=query.level,
                indexes=query.indexes,
                withdrawn=withdrawn,
            )
            with anyio.fail_after(REQUEST_TIMEOUT_S):
                reply = await stream.send_request(request)
            if not isinstance(reply, DigestReply):
                return []
            now = anyio.current_time()
            self._agent.receive(RumorBatch(withdrawn=reply.withdrawn), None, now)
            try:
                query = steps.send(reply.digests)
            except StopIteration as end:
                leaves: list[int] = end.value
                return leaves

    async def _exchange_leaves(self, stream: PeerStream, leaves: list[int]) -> None:
        own = self._agent.table.in_leaves(leaves, anyio.current_time())
        request = LeavesRequest(
            request_id=stream.next_id(),
            leaves=tuple(leaves),
            records=own[:MAX_RECORDS],
        )
        with anyio.fail_after(REQUEST_TIMEOUT_S):
            reply = await stream.send_request(request)
        if isinstance(reply, LeavesReply):
            self._agent.merge_records(reply.records, anyio.current_time())

    def _reconcile(self) -> None:
        wanted = {
            node_id: record.address
            for node_id in self._agent.neighbors
            if (record := self._members.get(node_id)) is not None
        }
        self._addresses = frozenset(wanted.values())
        for node_id in list(self._links):
            if node_id not in wanted:
                self._links.pop(node_id).cancel()
                self._wake_events.pop(node_id, None)
        for node_id in wanted:
            if node_id not in self._links:
                scope = self._links[node_id] = anyio.CancelScope()
                self._tasks.start_soon(self._maintain_link, node_id, scope)

    async def _maintain_link(self, node_id: NodeId, scope: anyio.CancelScope) -> None:
        with scope:
            while True:
                record = self._members.get(node_id)
                if record is not None:
                    await self._send_rumors(record)
                await anyio.sleep(RECONNECT_S * self._rng.uniform(0.5, 1.5))

    async def _send_rumors(self, record: Member) -> None:
        try:
            stream = await self._peers.connect(record.address)
        except UnreachableError:
            return
        node_id = record.node_id
        if stream.remote is None or stream.remote.node_id != node_id:
            return
        while not stream.closed:
            wake_event = self._wake_events[node_id] = anyio.Event()
            batch = self._agent.rumors.dequeue(node_id)
            if len(batch):
                if not await self._send_batch(stream, batch):
                    self._agent.rumors.requeue(node_id, batch)
                    return
                continue
            with anyio.move_on_after(IDLE_CHECK_S):
                await wake_event.wait()

    async def _send_batch(self, stream: PeerStream, batch: RumorBatch) -> bool:
        rumor = Rumor(
            request_id=stream.next_id(),
            members=batch.members,
            entries=batch.entries,
            withdrawn=batch.withdrawn,
        )
        try:
            with anyio.fail_after(REQUEST_TIMEOUT_S):
                await stream.send_request(rumor)
        except (StreamLostError, StreamFullError, TimeoutError):
            return False
        except FrameError as error:
            # A retry would fail again; pulls and anti-entropy deliver the content.
            logger.error("members: dropped a rumor that cannot be sent: {}", error)
        return True

    async def _probe(self, node_id: NodeId) -> None:
        record = self._members.get(node_id)
        if record is None:
            return
        hello = await self._peers.probe(record.address)
        if hello is not None and hello.node_id == node_id:
            self._agent.detector.record_reply(node_id, anyio.current_time())

    def _sender(self, stream: PeerStream) -> Member | None:
        if stream.remote is None:
            return None
        return self._members.get(stream.remote.node_id)

    def _wake(self, node_id: NodeId) -> None:
        wake_event = self._wake_events.get(node_id)
        if wake_event is not None:
            wake_event.set()


def _log_change(member: Member) -> None:
    if member.state is MemberState.DEAD:
        logger.warning("members: node {} is dead", member.node_id)
