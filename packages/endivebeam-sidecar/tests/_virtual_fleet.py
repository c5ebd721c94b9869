"""Nodes that share a store, in virtual time: real decisions, network in memory.

Each node runs its real state, synchronization with the store and with peers, and
transfer of configurations. The store can be silent, refuse or be slow for some nodes,
links can be cut, and nodes can be killed and restarted. A run with the same seed
repeats, and a virtual minute takes about a second.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple, TypeVar

import anyio
import anyio.abc
import msgspec
import pytest

from endivebeam_fleet import FleetConfig
from endivebeam_http import ServerLimits
from endivebeam_model import (
    Address,
    ConfigVersion,
    DomainName,
    Member,
    MemberState,
    NodeId,
    RegionName,
    ServiceName,
    StoreEra,
    StorePosition,
    StoreVersion,
)
from endivebeam_routing import Router
from endivebeam_sidecar import (
    Bounds,
    ConfigReadResult,
    HistoryLostError,
    MemberReadResult,
    SidecarSettings,
    StoredMember,
    StoreUnavailableError,
    _config_reader,
    _config_transfer,
    _gossip,
    _member_sync,
    _state,
    _unreachable_nodes,
)
from endivebeam_sidecar._control import Control
from endivebeam_sidecar._links import LinkLostError, LinkNotOpenError
from endivebeam_sidecar._metrics import SidecarMetrics
from endivebeam_sidecar._state import FleetState
from endivebeam_sidecar._unreachable_nodes import UnreachableNodes
from endivebeam_standins.virtual_loop import VirtualLoop
from endivebeam_wire import ConfigRequest, Reply, Request, SyncRequest

T = TypeVar("T")
MESSAGE_DELAY_S = (0.0003, 0.002)
STORE_DELAY_S = (0.001, 0.005)
CONNECT_TIMEOUT_S = 0.4
SILENT_STREAM_TIMEOUT_S = 1.2
# Timeout of a call to the store beyond the time for which the call waits there.
STORE_TIMEOUT_S = 1.5
_CLOCK_USERS = (
    _config_reader,
    _config_transfer,
    _gossip,
    _member_sync,
    _state,
    _unreachable_nodes,
)


def read_virtual_clock() -> float:
    """Return the time of the running event loop."""
    return asyncio.get_running_loop().time()


def run_in_virtual_time(
    monkeypatch: pytest.MonkeyPatch, run: Callable[[], Awaitable[None]], *, seed: int
) -> None:
    """Run a coroutine function in virtual time, with the given random numbers."""
    random.seed(seed)
    for module in _CLOCK_USERS:
        monkeypatch.setattr(module, "read_clock", read_virtual_clock)
    anyio.run(run, backend="asyncio", backend_options={"loop_factory": VirtualLoop})


@dataclass
class Published:
    """A version and when the store acknowledged it."""

    version: int
    at: float


class StoreCopy(NamedTuple):
    """The contents of the store at a version."""

    version: StoreVersion
    config: FleetConfig
    config_version: StoreVersion
    members: dict[NodeId, tuple[Member, StorePosition]]


class VirtualStore:
    """The platform's store; the sets hold the nodes that have trouble with it."""

    def __init__(self) -> None:
        self.position = StorePosition(StoreEra(1), StoreVersion(1))
        self.config = FleetConfig(version=ConfigVersion(1))
        # Version of the store at which the configuration was written last.
        self._config_version = self.position.version
        self._history_start = StoreVersion(0)
        self.published = [Published(1, read_virtual_clock())]
        self.members: dict[NodeId, tuple[Member, StorePosition]] = {}
        self.silent: set[NodeId] = set()
        self.refused: set[NodeId] = set()
        self.calls: list[tuple[float, NodeId]] = []
        # When the trouble of a node with the store began or ended last.
        self.changed_at: dict[NodeId, float] = {}
        self._changed = anyio.Event()

    def publish(self) -> None:
        """Acknowledge a new version."""
        version = self.published[-1].version + 1
        self.published.append(Published(version, read_virtual_clock()))
        self.write_again()

    def write_again(self) -> None:
        """Write the newest version, which the store may have lost."""
        self._mark_changed()
        version = ConfigVersion(self.published[-1].version)
        self.config = FleetConfig(version=version)
        self._config_version = self.position.version

    def copy(self) -> StoreCopy:
        """Return a copy of the present contents."""
        return StoreCopy(
            self.position.version, self.config, self._config_version, dict(self.members)
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy, in the next era and without the history."""
        self.position = StorePosition(
            StoreEra(self.position.era + 1), StoreVersion(copy.version - 1)
        )
        self._mark_changed()
        self._history_start = self.position.version
        self.config = copy.config
        self._config_version = copy.config_version
        self.members = {
            node_id: (member, StorePosition(self.position.era, written.version))
            for node_id, (member, written) in copy.members.items()
        }

    def set_trouble(self, nodes: Iterable[NodeId], *, silent: bool = True) -> None:
        """Be silent to some nodes, or refuse their calls at once."""
        for node_id in nodes:
            (self.silent if silent else self.refused).add(node_id)
            self.changed_at[node_id] = read_virtual_clock()

    def end_trouble(self) -> None:
        """Answer all nodes again."""
        for node_id in self.silent | self.refused:
            self.changed_at[node_id] = read_virtual_clock()
        self.silent, self.refused = set(), set()

    def answers(self, node_id: NodeId) -> bool:
        """Return whether a node has a sound path to the store."""
        return node_id not in self.silent and node_id not in self.refused

    def latest_before(self, at: float) -> int:
        """Return the newest version that had been acknowledged by then."""
        return max(p.version for p in self.published if p.at <= at)

    async def wait(self, position: StorePosition, wait_s: float) -> None:
        """Wait until the store is beyond a position."""
        with anyio.move_on_after(wait_s):
            while self.position.version <= position.version:
                await self._changed.wait()

    def read_changes(self, position: StorePosition) -> FleetConfig | None:
        """Return the configuration if it was written after ``position``."""
        known = range(self._history_start, self.position.version + 1)
        if position.era != self.position.era or position.version not in known:
            raise HistoryLostError("the position is not known")
        return self.config if self._config_version > position.version else None

    def write(self, member: Member) -> StorePosition:
        """Store the row of a member."""
        self._mark_changed()
        self.members[member.node_id] = (member, self.position)
        return self.position

    def remove(self, node_id: NodeId, version: StoreVersion) -> bool:
        """Remove the row of a member if it has this version; return whether."""
        _, stored = self.members.get(node_id, (None, None))
        if stored is None or stored.version != version:
            return False
        del self.members[node_id]
        self._mark_changed()
        return True

    def _mark_changed(self) -> None:
        version = StoreVersion(self.position.version + 1)
        self.position = StorePosition(self.position.era, version)
        self._changed.set()
        self._changed = anyio.Event()


class StoreAccess:
    """The ``ControlStore`` of one node."""

    def __init__(self, store: VirtualStore, node_id: NodeId) -> None:
        self._store = store
        self._node_id = node_id

    async def read_config(self, *, timeout_s: float) -> ConfigReadResult:
        return await self._call(self._read_config, timeout_s)

    async def watch_config(
        self, position: StorePosition, *, wait_s: float, timeout_s: float
    ) -> ConfigReadResult:
        async def watch() -> ConfigReadResult:
            await self._store.wait(position, wait_s)
            return self._make_result(self._store.read_changes(position))

        return await self._call(watch, wait_s + timeout_s)

    async def read_members(self) -> MemberReadResult:
        async def read() -> MemberReadResult:
            rows = tuple(
                StoredMember(node_id=n, member=m, position=p)
                for n, (m, p) in self._store.members.items()
            )
            return MemberReadResult(position=self._store.position, rows=rows)

        return await self._call(read, STORE_TIMEOUT_S)

    async def write_member(self, member: Member) -> StorePosition:
        async def write() -> StorePosition:
            return self._store.write(member)

        return await self._call(write, STORE_TIMEOUT_S)

    async def remove_member(self, node_id: NodeId, *, position: StorePosition) -> bool:
        async def remove() -> bool:
            return self._store.remove(node_id, position.version)

        return await self._call(remove, STORE_TIMEOUT_S)

    async def _read_config(self) -> ConfigReadResult:
        return self._make_result(self._store.config)

    def _make_result(self, config: FleetConfig | None) -> ConfigReadResult:
        return ConfigReadResult(
            config=config,
            position=self._store.position,
            store_now=read_virtual_clock() + 1000.0,
        )

    async def _call(self, run: Callable[[], Awaitable[T]], timeout_s: float) -> T:
        self._store.calls.append((read_virtual_clock(), self._node_id))
        try:
            with anyio.fail_after(timeout_s):
                await anyio.sleep(random.uniform(*STORE_DELAY_S))
                await self._check_path()
                result = await run()
                await anyio.sleep(random.uniform(*STORE_DELAY_S))
                await self._check_path()
        except TimeoutError as error:
            raise StoreUnavailableError("the call timed out") from error
        return result

    async def _check_path(self) -> None:
        if self._node_id in self._store.refused:
            raise StoreUnavailableError("got status 503")
        if self._node_id in self._store.silent:
            await anyio.sleep_forever()


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
        )
        self.unreachable = UnreachableNodes()
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

    def leave(self) -> None:
        """Announce that this node leaves."""
        self._set_state(MemberState.LEFT)

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
