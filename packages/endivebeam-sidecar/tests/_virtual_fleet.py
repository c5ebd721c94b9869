"""Nodes that share a store, in virtual time: real decisions, network in memory.

Each node runs its real state, synchronization with the store and with peers, and
transfer of configurations. The store can be silent, refuse or be slow for some nodes,
links can be cut, and nodes can be killed and restarted. A run with the same seed
repeats, and a virtual minute takes about a second.
"""

import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

import anyio
import anyio.abc
import msgspec
import pytest

from endivebeam_http import ServerLimits
from endivebeam_model import (
    Address,
    DomainName,
    Member,
    MemberState,
    NodeId,
    RegionName,
    ServiceName,
)
from endivebeam_routing import Router
from endivebeam_sidecar import Bounds, SidecarSettings
from endivebeam_sidecar._control import Control
from endivebeam_sidecar._links import LinkLostError, LinkNotOpenError
from endivebeam_sidecar._metrics import SidecarMetrics
from endivebeam_sidecar._state import FleetState
from endivebeam_sidecar._unreachable_nodes import UnreachableNodes
from endivebeam_wire import ConfigRequest, Reply, Request, SyncRequest

from ._virtual_store import StoreAccess, VirtualStore
from ._virtual_time import read_virtual_clock, run_in_virtual_time

MESSAGE_DELAY_S = (0.0003, 0.002)
CONNECT_TIMEOUT_S = 0.4
SILENT_STREAM_TIMEOUT_S = 1.2
# Time in which the nodes of a new fleet find each other.
SETTLE_S = 12.0


class VirtualLinks:
    """The streams of one node to all others."""

    def __init__(self, *, fleet: "VirtualFleet", own: NodeId) -> None:
        self._fleet = fleet
        self._own = own

    async def send_request(
        self,
        member: Member,
        make_request: Callable[[int], Request],
        *,
        timeout_s: float | None = None,
    ) -> Reply:
        """Deliver a request and return the reply of the other node."""
        other = self._fleet.nodes.get(member.node_id)
        if other is None or not self._fleet.is_linked(self._own, member.node_id):
            await anyio.sleep(CONNECT_TIMEOUT_S)
            self._mark_unreachable(member.node_id)
            raise LinkNotOpenError("the node is unreachable")
        with anyio.fail_after(timeout_s):
            request = make_request(1)
            await self._travel(member.node_id, other)
            self._mark_reached(member.node_id)
            other.unreachable.remove(self._own)
            reply = other.handle_request(self._own, request)
            await self._travel(member.node_id, other)
        return reply

    async def _travel(self, peer: NodeId, process: "VirtualNode") -> None:
        await anyio.sleep(random.uniform(*MESSAGE_DELAY_S))
        if not self._fleet.is_linked(self._own, peer):
            await anyio.sleep(SILENT_STREAM_TIMEOUT_S)
            self._mark_unreachable(peer)
            raise LinkLostError("nothing received")
        if self._fleet.nodes.get(peer) is not process:
            raise LinkLostError("the process ended")

    def _mark_reached(self, peer: NodeId) -> None:
        node = self._fleet.nodes.get(self._own)
        if node is not None:
            node.unreachable.remove(peer)

    def _mark_unreachable(self, peer: NodeId) -> None:
        node = self._fleet.nodes.get(self._own)
        if node is not None:
            node.unreachable.add(peer)


class VirtualNode:
    """The control of one node, without its call path."""

    def __init__(
        self,
        *,
        fleet: "VirtualFleet",
        node_id: NodeId,
        bounds: Bounds,
        incarnation: int,
    ) -> None:
        address = Address("127.0.0.1", 1)
        settings = SidecarSettings(
            node_id=node_id,
            domain=DomainName("d1"),
            region=RegionName("r1"),
            service=ServiceName("stock"),
            target=address,
            callers=address,
            peers=address,
            announcements=address,
            readiness=address,
            metrics=address,
            first_incarnation=incarnation,
            bounds=bounds,
        )
        self.node_id = node_id
        self.started_at = read_virtual_clock()
        self.scope = anyio.CancelScope()
        self.unreachable = UnreachableNodes()
        self.state = FleetState(
            settings=settings,
            router=Router(
                local=node_id,
                domain=settings.domain,
                region=settings.region,
                rng=random.Random(random.random()),
            ),
            limits=ServerLimits(),
            on_refuted=lambda: self.control.publish_own(),
            on_returned=self.unreachable.remove,
        )
        self.control = Control(
            fleet=self.state,
            store=StoreAccess(fleet.store, node_id),
            links=VirtualLinks(fleet=fleet, own=node_id),
            unreachable=self.unreachable,
            metrics=SidecarMetrics(),
            bounds=bounds,
        )
        self.watchers = self.control.watchers

    @property
    def version(self) -> int:
        """Version of the configuration in force."""
        return self.state.config_version

    def handle_request(self, peer: NodeId, request: Request) -> Reply:
        """Reply to another node."""
        match request:
            case SyncRequest():
                return self.control.handle_sync(peer, request)
            case ConfigRequest():
                return self.control.handle_transfer(peer, request)
        raise AssertionError(f"unexpected request {request}")

    async def run(self) -> None:
        """Run the control until the node is killed."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                for loop in self.control.loops:
                    tasks.start_soon(loop)
                self._serve()

    async def leave(self) -> None:
        """Announce that this node leaves, and remove its row."""
        self._set_state(MemberState.LEFT)
        await self.control.announce_departure()

    def _serve(self) -> None:
        self._set_state(MemberState.SERVING)
        self.control.publish_own()

    def _set_state(self, state: MemberState) -> None:
        own = self.state.own
        self.state.own = msgspec.structs.replace(
            own, state=state, sequence=own.sequence + 1, slots=8
        )
        self.state.directory.apply(self.state.own)


@dataclass
class VirtualFleet:
    """All nodes that run, by id, and the links between them."""

    tasks: anyio.abc.TaskGroup
    bounds: Bounds = field(default_factory=Bounds)
    store: VirtualStore = field(default_factory=VirtualStore)
    nodes: dict[NodeId, VirtualNode] = field(default_factory=dict)
    # Nodes without any link to another one.
    cut: set[NodeId] = field(default_factory=set)
    # When a link of a node was cut or restored last.
    cut_changed_at: dict[NodeId, float] = field(default_factory=dict)

    def start(self, node_id: NodeId, *, incarnation: int = 1) -> VirtualNode:
        """Start a node without any state."""
        node = VirtualNode(
            fleet=self, node_id=node_id, bounds=self.bounds, incarnation=incarnation
        )
        self.nodes[node_id] = node
        self.tasks.start_soon(node.run)
        return node

    def kill(self, node_id: NodeId) -> None:
        """End a node without notice."""
        node = self.nodes.pop(node_id, None)
        if node is not None:
            node.scope.cancel()

    def set_cut(self, nodes: Iterable[NodeId]) -> None:
        """Cut these nodes from all others, and restore all other links."""
        cut = set(nodes)
        for node_id in cut ^ self.cut:
            self.cut_changed_at[node_id] = read_virtual_clock()
        self.cut = cut

    def is_linked(self, node_id: NodeId, peer: NodeId) -> bool:
        """Return whether messages between two nodes arrive."""
        return node_id == peer or (node_id not in self.cut and peer not in self.cut)


async def start_fleet(tasks: anyio.abc.TaskGroup, *, size: int) -> VirtualFleet:
    """Start a fleet and wait until it has settled."""
    fleet = VirtualFleet(tasks=tasks)
    for number in range(size):
        fleet.start(NodeId(f"node-{number}"))
    await anyio.sleep(SETTLE_S)
    return fleet


def run_fleet(
    monkeypatch: pytest.MonkeyPatch,
    run: Callable[[VirtualFleet], Awaitable[None]],
    *,
    size: int,
    seed: int,
) -> None:
    """Run a coroutine function beside a fleet that has settled."""

    async def run_all() -> None:
        async with anyio.create_task_group() as tasks:
            await run(await start_fleet(tasks, size=size))
            tasks.cancel_scope.cancel()

    run_in_virtual_time(monkeypatch, run_all, seed=seed)
