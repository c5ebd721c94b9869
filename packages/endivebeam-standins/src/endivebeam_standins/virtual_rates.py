"""Rate shares of several nodes in one process and in virtual time.

The nodes run the product's share holders, lease managers and token requesters.
The table, peer streams and membership are fakes. They simulate outages, lost
and late responses of the table, paused and killed nodes, and network partitions.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from enum import Enum

import anyio
from returns.result import Failure, Result, Success

from endivebeam_limits import LeaseTimes, ShareLayout
from endivebeam_membership import ContactTimes
from endivebeam_model import (
    AccountId,
    Address,
    Contract,
    DomainName,
    Member,
    MemberState,
    NodeId,
    Refusal,
    RegionName,
    ServiceName,
)
from endivebeam_node import (
    FleetView,
    LeaseManager,
    ShareHolder,
    TokenRequester,
    UnreachableError,
    serve_relay,
)
from endivebeam_store import (
    CommitError,
    Committed,
    Conflict,
    Row,
    Transaction,
    Unavailable,
)
from endivebeam_wire import (
    GrantRequest,
    HandoverRequest,
    RelayRequest,
    Reply,
    Request,
    StreamLostError,
)

HEARTBEAT_PERIOD_S = 0.5
DETECTION_S = 2.0
LATE_WRITE_S = 3.0


class StoreFault(Enum):
    """Fault that the fake table injects into every operation."""

    NONE = "none"
    DOWN = "down"
    LOST_ANSWERS = "lost_answers"
    LATE_WRITES = "late_writes"


class VirtualTable:
    """Rows shared by all nodes of a virtual fleet."""

    def __init__(self, *, loop: asyncio.AbstractEventLoop) -> None:
        self.rows: dict[str, Row] = {}
        self.fault = StoreFault.NONE
        self._loop = loop

    def commit(self, transaction: Transaction) -> Result[Committed, CommitError]:
        """Apply a transaction if its conditions hold."""
        failed = [
            c for c in transaction.conditions if self._version(c.key) != c.version
        ]
        if failed:
            rows = [self.rows[c.key] for c in failed if c.key in self.rows]
            return Failure(Conflict(rows=tuple(rows)))
        for put in transaction.puts:
            self.rows[put.key] = Row(
                key=put.key,
                value=put.value,
                version=self._version(put.key) + 1,
                op_id=transaction.op_id,
            )
        return Success(Committed(op_id=transaction.op_id))

    def commit_late(self, transaction: Transaction) -> None:
        """Apply a transaction after its sender's timeout."""
        self._loop.call_later(LATE_WRITE_S, self.commit, transaction)

    def _version(self, key: str) -> int:
        row = self.rows.get(key)
        return 0 if row is None else row.version


class _TableClient:
    """One node's client of the table."""

    def __init__(self, *, table: VirtualTable, node: "VirtualNode") -> None:
        self._table = table
        self._node = node

    async def read(self, key: str) -> Result[Row | None, Unavailable]:
        await self._node.wait_until_running()
        if self._is_down():
            return Failure(Unavailable(message="down"))
        self._node.record_store_response()
        return Success(self._table.rows.get(key))

    async def scan(
        self, prefix: str, *, limit: int
    ) -> Result[Sequence[Row], Unavailable]:
        return Failure(Unavailable(message="not used"))

    async def commit(self, transaction: Transaction) -> Result[Committed, CommitError]:
        await self._node.wait_until_running()
        if self._is_down():
            return Failure(Unavailable(message="down"))
        match self._table.fault:
            case StoreFault.LOST_ANSWERS:
                self._table.commit(transaction)
                return Failure(Unavailable(message="lost", maybe_applied=True))
            case StoreFault.LATE_WRITES:
                self._table.commit_late(transaction)
                return Failure(Unavailable(message="late", maybe_applied=True))
        self._node.record_store_response()
        return self._table.commit(transaction)

    def _is_down(self) -> bool:
        return self._node.cut_off or self._table.fault is StoreFault.DOWN


class VirtualNode:
    """One node process; a restart creates a new object with the same id.

    With ``cut_off``, the node can't reach the table.
    """

    def __init__(self, *, fleet: "VirtualFleet", member: Member) -> None:
        self.member = member
        self.domain = member.domain
        self.fleet = fleet
        self.cut_off = False
        self.running = asyncio.Event()
        self.stopped_at: float | None = None
        self.killed = False
        self.contacts = ContactTimes(domain=member.domain)
        table = _TableClient(table=fleet.table, node=self)
        self.holder = ShareHolder(
            layout=fleet.layout,
            times=fleet.times,
            view=FleetView(
                local=lambda: self.member,
                live=lambda: fleet.live(self),
                find=lambda node_id: fleet.find(self, node_id),
                contact_ages=lambda: self.contacts.domain_ages(fleet.loop.time()),
                store_age=lambda: self.contacts.store_age(fleet.loop.time()),
            ),
            table=table,
            send_request=self._send_request,
            contracts=lambda: fleet.contracts,
            clock=fleet.loop.time,
            rng=fleet.rng,
        )
        self.lease_manager = LeaseManager(holder=self.holder, table=table)
        self._table = table
        self.token_requester: TokenRequester | None = None
        self._task: asyncio.Task[None] | None = None

    def record_store_response(self) -> None:
        """Record that the store responded to this node now."""
        self.contacts.record_store_response(self.fleet.loop.time())

    def handle_echo(self, other: "VirtualNode") -> None:
        """Process the echo of a heartbeat from another node."""
        now = self.fleet.loop.time()
        ages = other.contacts.domain_ages(now)
        self.contacts.record_contact(other.domain, now)
        self.contacts.merge_ages(other.domain, ages, other.contacts.store_age(now), now)

    async def wait_until_running(self) -> None:
        """Wait while the process is paused."""
        await self.running.wait()

    def resume(self) -> None:
        """Start or continue the process and run its background tasks."""
        self.stopped_at = None
        self.running.set()
        self.holder.update_contracts()
        self._task = self.fleet.loop.create_task(self._run())

    def pause(self) -> None:
        """Pause the process at any point of its work, as SIGSTOP does."""
        self.running.clear()
        self.stopped_at = self.fleet.loop.time()
        if self._task is not None:
            self._task.cancel()

    def kill(self) -> None:
        """Kill the process; its state in memory is lost."""
        self.pause()
        self.killed = True

    async def _run(self) -> None:
        async with anyio.create_task_group() as tasks:
            if self.token_requester is None:
                self.token_requester = TokenRequester(
                    holder=self.holder,
                    send_request=self._send_request,
                    spawn=self.fleet.start_soon,
                )
            tasks.start_soon(self.token_requester.run)
            tasks.start_soon(self.lease_manager.run)

    async def _send_request(
        self, member: Member, build: Callable[[int], Request]
    ) -> Reply:
        node = self.fleet.nodes.get(member.node_id)
        self.fleet.messages += 1
        if node is None or node.killed:
            raise UnreachableError("connection refused")
        if not self.fleet.connected(self, node):
            await asyncio.sleep(1.0)
            raise UnreachableError("no answer")
        await asyncio.sleep(self.fleet.latency(self, node))
        await node.wait_until_running()
        reply = await node.serve(build(1))
        await asyncio.sleep(self.fleet.latency(node, self))
        await self.wait_until_running()
        if node.killed:
            raise StreamLostError("reset")
        return reply

    async def serve(self, request: Request) -> Reply:
        """Return the reply to a request of another node."""
        match request:
            case GrantRequest():
                return self.holder.handle_request(request)
            case HandoverRequest():
                return await self.holder.receive_handover(request)
            case RelayRequest():
                return await serve_relay(self._table, request)
        raise AssertionError("unexpected type of request")


class VirtualFleet:
    """Nodes, their table and the network between them.

    ``isolated`` holds the domains that are cut off from the other domains.
    ``messages`` counts the requests between nodes.
    """

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        domains: Sequence[str],
        nodes_per_domain: int,
        groups: int = 1,
        times: LeaseTimes,
        seed: int,
        one_way_s: float = 0.0015,
    ) -> None:
        self.loop = loop
        self.times = times
        self.rng = random.Random(seed)
        self.layout = ShareLayout(
            groups=groups, domains=tuple(DomainName(d) for d in domains)
        )
        self.table = VirtualTable(loop=loop)
        self.contracts: dict[AccountId, Contract] = {}
        self.isolated: set[DomainName] = set()
        self.messages = 0
        self.nodes: dict[NodeId, VirtualNode] = {}
        self._one_way_s = one_way_s
        self._tasks: set[asyncio.Task[None]] = set()
        for domain in self.layout.domains:
            for number in range(nodes_per_domain):
                self.start(NodeId(f"{domain}-{number}"), domain)
        self.start_soon(self._send_heartbeats)

    def start_soon(self, function: Callable[..., object], *args: object) -> None:
        """Run a coroutine function in the background."""
        task: asyncio.Task[None] = self.loop.create_task(function(*args))  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Pause all nodes and cancel the background tasks."""
        for node in self.nodes.values():
            node.pause()
        for task in self._tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0.01))

    def start(self, node_id: NodeId, domain: DomainName) -> None:
        """Start a node, or restart it under the same id."""
        member = Member(
            node_id=node_id,
            incarnation=1,
            sequence=0,
            address=Address("127.0.0.1", 1),
            region=RegionName("region"),
            domain=domain,
            service=ServiceName("service"),
            slots=1,
            state=MemberState.SERVING,
        )
        self.nodes[node_id] = VirtualNode(fleet=self, member=member)
        self.nodes[node_id].resume()

    def live(self, node: VirtualNode) -> list[Member]:
        """Return the members that a node considers alive.

        A stopped node is considered alive until the detection time has passed.
        """
        now = self.loop.time()
        return [
            other.member
            for other in self.nodes.values()
            if other is not node
            and (other.stopped_at is None or now - other.stopped_at < DETECTION_S)
        ]

    def find(self, node: VirtualNode, node_id: NodeId) -> Member | None:
        """Return the record of another member that a node considers alive."""
        live = self.live(node)
        return next((m for m in live if m.node_id == node_id), None)

    def connected(self, a: VirtualNode, b: VirtualNode) -> bool:
        """Return whether the network delivers messages between two nodes."""
        if a.domain == b.domain:
            return True
        return a.domain not in self.isolated and b.domain not in self.isolated

    def latency(self, a: VirtualNode, b: VirtualNode) -> float:
        """Return the one-way latency between two nodes in seconds."""
        return self._one_way_s if a.domain != b.domain else 0.0002

    def put_contract(self, contract: Contract) -> None:
        """Put a contract into force on all running nodes."""
        self.contracts = {**self.contracts, contract.account: contract}
        for node in self.nodes.values():
            if node.running.is_set():
                node.holder.update_contracts()

    async def call(self, node: VirtualNode, account: AccountId) -> Refusal | None:
        """Spend a token for a call that a node receives from a caller."""
        await node.wait_until_running()
        if node.token_requester is None:
            await asyncio.sleep(0)
        assert node.token_requester is not None
        return await node.token_requester.spend_token(self.contracts[account])

    async def _send_heartbeats(self) -> None:
        while True:
            running = [n for n in self.nodes.values() if n.running.is_set()]
            for node in running:
                for other in running:
                    if node is not other and self.connected(node, other):
                        node.handle_echo(other)
            await asyncio.sleep(HEARTBEAT_PERIOD_S)
