"""Composition and life cycle of the daemon."""

import asyncio
import contextlib
import random
import secrets
import signal
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import cast

import anyio
import anyio.abc
import httpx
import msgspec
from hypercorn.asyncio import serve as serve_asgi
from hypercorn.config import Config as HypercornConfig
from hypercorn.typing import ASGIFramework
from loguru import logger
from returns.result import Result, Success

from endivebeam_http import Handler, ServerConnection
from endivebeam_model import (
    Address,
    Contract,
    DomainName,
    LogEntry,
    Member,
    MemberState,
    NodeId,
    Refusal,
    RegionName,
    ServiceName,
    WithdrawKey,
)
from endivebeam_store import ConfigLog, HttpTable
from endivebeam_wire import (
    PROTOCOL_VERSION,
    AskEntries,
    AskOutcome,
    CallRequest,
    Entries,
    Heartbeat,
    HeartbeatEcho,
    Hello,
    LoadReport,
    MemberList,
    PeerStream,
    Reply,
    Request,
    SyncMembers,
)

from ._admin import build_admin_app
from ._callers import CallerHandler, error_response
from ._calls import CallPath
from ._config import ConfigCopy
from ._forward import TargetForwarder
from ._inflight import InFlight
from ._members import Members
from ._nested import LocalHandler
from ._once import build_once_runner
from ._peers import Peers
from ._ports import Observation, Outcome
from ._settings import Settings
from ._sync import Synchronizer
from ._targets import Announcement, LocalTarget

MAX_CALLER_CONNECTIONS = 2048
PORTS_CHECK_PERIOD_S = 0.05

SocketListener = anyio.abc.Listener[anyio.abc.SocketStream]


class Ports(msgspec.Struct, frozen=True, kw_only=True):
    """Ports that the node listens on."""

    caller: int
    local: int
    peer: int
    admin: int


class Node:
    """All state of one running daemon."""

    def __init__(self, *, settings: Settings, tasks: anyio.abc.TaskGroup) -> None:
        self.settings = settings
        self._tasks = tasks
        self._rng = random.Random(secrets.randbits(64))
        self.config = ConfigCopy()
        self.target = LocalTarget()
        self.in_flight = InFlight()
        self.members = Members(local=_local_member(settings))
        self._client = httpx.AsyncClient(base_url=settings.platform_url, timeout=5.0)
        self.table = HttpTable(client=self._client)
        self.log = ConfigLog(table=self.table)
        self.peers = Peers(
            tasks=tasks,
            answer=self._answer,
            hello=self._hello,
            heartbeat=self._heartbeat,
            on_echo=self._on_echo,
        )
        self.sync = Synchronizer(
            members=self.members,
            config=self.config,
            peers=self.peers,
            table=self.table,
            seeds=[Address(s.host, s.port) for s in settings.seeds],
            rng=self._rng,
        )
        self.forwarder = TargetForwarder(
            tasks=tasks,
            target=self.target,
            in_flight=self.in_flight,
            report_load=self._report_load,
        )
        # Call records have their own connections, so that many slow claims
        # cannot keep leases and configuration from the store.
        self._record_client = httpx.AsyncClient(base_url=settings.platform_url)
        self.once = build_once_runner(
            tasks=tasks,
            node=NodeId(settings.node_id),
            client=self._record_client,
            peers=self.peers,
            find_address=self.members.find_address,
            report_load=self._report_load,
        )
        self.calls = CallPath(
            local=NodeId(settings.node_id),
            peers=self.peers,
            choose=self._choose,
            observe=self._observe,
            admit=self._admit,
            forward=self.forwarder.forward,
            run_once=self.once.run,
        )
        self.callers = CallerHandler(
            config=self.config, calls=self.calls, take_token=self._take_token
        )
        self.local = LocalHandler(
            config=self.config,
            calls=self.calls,
            target=self.target,
            in_flight=self.in_flight,
            on_announcement=self._on_announcement,
        )
        self._connections: set[ServerConnection] = set()

    async def run(self) -> None:
        """Listen, serve until a stop is asked for, then drain."""
        settings = self.settings
        async with anyio.create_task_group() as servers:
            caller = await _listen(settings.host, settings.caller_port)
            local = await _listen("127.0.0.1", settings.local_port)
            peer = await _listen(settings.host, settings.peer_port)
            admin = socket.create_server((settings.host, settings.admin_port))
            self.members.set_address(Address(settings.host, _port_of(peer)))
            servers.start_soon(caller.serve, self._serve_caller)
            servers.start_soon(local.serve, self._serve_local)
            servers.start_soon(peer.serve, self.peers.accept)
            servers.start_soon(self._serve_admin, admin)
            servers.start_soon(self.sync.run)
            ports = Ports(
                caller=_port_of(caller),
                local=_port_of(local),
                peer=_port_of(peer),
                admin=admin.getsockname()[1],
            )
            logger.info("node: {} listens on {}", settings.node_id, ports)
            _write_ports(settings, ports)
            await _wait_for_signal()
            await self._drain()
            servers.cancel_scope.cancel()
        await self.peers.close()
        await self._client.aclose()
        await self._record_client.aclose()

    async def _drain(self) -> None:
        logger.info("node: draining")
        self.calls.draining = True
        self.members.update_local(state=MemberState.DRAINING)
        for connection in list(self._connections):
            connection.drain()
        with anyio.move_on_after(self.settings.drain_timeout_s):
            # Other nodes need time to learn of the drain before streams close.
            await anyio.sleep(1.0)
            while self._connections or len(self.in_flight) or len(self.once):
                await anyio.sleep(PORTS_CHECK_PERIOD_S)
        self.members.update_local(state=MemberState.LEFT)
        logger.info("node: drained")

    async def _serve_caller(self, stream: anyio.abc.SocketStream) -> None:
        await self._serve_http(stream, self.callers.handle)

    async def _serve_local(self, stream: anyio.abc.SocketStream) -> None:
        await self._serve_http(stream, self.local.handle)

    async def _serve_http(
        self,
        stream: anyio.abc.SocketStream,
        handler: Handler,
    ) -> None:
        if len(self._connections) >= MAX_CALLER_CONNECTIONS:
            await anyio.aclose_forcefully(stream)
            return
        connection = ServerConnection(
            stream=stream, handler=handler, error_response=error_response
        )
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    async def _serve_admin(self, listener: socket.socket) -> None:
        app = build_admin_app(
            operators=self.settings.operators,
            config=self.config,
            members=self.members,
            log=self.log,
            on_committed=self._on_committed,
            on_withdrawn=self._on_withdrawn,
        )
        config = HypercornConfig()
        config.bind = [f"fd://{listener.fileno()}"]
        config.errorlog = None
        # A cancelled hypercorn server asks its tasks for an exception that they
        # do not have; a planned stop must not end with that error.
        with contextlib.suppress(asyncio.InvalidStateError):
            await serve_asgi(
                cast(ASGIFramework, app), config, shutdown_trigger=anyio.sleep_forever
            )

    async def _answer(self, stream: PeerStream, request: Request) -> Reply:
        match request:
            case CallRequest():
                outcome = await self.calls.serve(request)
                return _with_id(outcome, request.request_id)
            case Heartbeat(request_id=request_id):
                return HeartbeatEcho(
                    request_id=request_id, config_version=self.config.version
                )
            case SyncMembers(request_id=request_id, members=members):
                self.members.merge(members)
                return MemberList(request_id=request_id, members=self.members.all())
            case AskEntries(request_id=request_id, after=after):
                entries = self.config.entries_after(after)
                return Entries(request_id=request_id, entries=entries)
            case AskOutcome():
                return self.once.answer(request)

    def _hello(self) -> Hello:
        local = self.members.local
        return Hello(
            protocol=PROTOCOL_VERSION,
            node_id=local.node_id,
            incarnation=local.incarnation,
            domain=local.domain,
        )

    def _heartbeat(self, request_id: int) -> Heartbeat:
        return Heartbeat(request_id=request_id, config_version=self.config.version)

    def _on_echo(self, address: Address, echo: HeartbeatEcho) -> None:
        if echo.config_version > self.config.version:
            self._tasks.start_soon(self.sync.pull_entries, address, echo.config_version)

    def _on_announcement(self, announcement: Announcement) -> None:
        state = MemberState.SERVING
        if announcement.state == "draining":
            state = MemberState.DRAINING
        self.members.update_local(
            state=state, service=announcement.service, slots=announcement.slots
        )

    def _on_committed(self, entry: LogEntry) -> None:
        self.sync.spread(entry)

    async def _on_withdrawn(self, change: WithdrawKey) -> None:
        self.config.withdraw(change.digest)

    def _choose(
        self, service: ServiceName, excluded: frozenset[NodeId]
    ) -> Member | None:
        found = [m for m in self.members.serving(service) if m.node_id not in excluded]
        for member in found:
            if member.node_id == self.members.local.node_id:
                return member
        return self._rng.choice(found) if found else None

    def _observe(self, node_id: NodeId, observation: Observation) -> None:
        return

    def _report_load(self) -> LoadReport:
        announcement = self.target.announcement
        limit = 0 if announcement is None else announcement.slots
        return LoadReport(in_use=len(self.in_flight), limit=limit)

    @asynccontextmanager
    async def _admit(self, call: CallRequest) -> AsyncIterator[Result[None, Refusal]]:
        yield Success(None)

    async def _take_token(self, contract: Contract) -> Refusal | None:
        return None


def _local_member(settings: Settings) -> Member:
    return Member(
        node_id=NodeId(settings.node_id),
        # Raised when a peer still has a record of an earlier life of this node.
        incarnation=1,
        sequence=0,
        address=Address(settings.host, settings.peer_port),
        region=RegionName(settings.region),
        domain=DomainName(settings.domain),
        service=ServiceName(""),
        slots=0,
        state=MemberState.JOINING,
    )


async def _listen(host: str, port: int) -> SocketListener:
    multi = await anyio.create_tcp_listener(local_host=host, local_port=port)
    return multi.listeners[0]


def _port_of(listener: SocketListener) -> int:
    address = listener.extra(anyio.abc.SocketAttribute.local_address)
    return int(address[1])


def _write_ports(settings: Settings, ports: Ports) -> None:
    path = settings.ports_file
    if path is None:
        return
    # Renamed into place, so that a reader never sees half a file.
    partial = path.with_suffix(".partial")
    partial.write_bytes(msgspec.json.encode(ports))
    partial.rename(path)


async def _wait_for_signal() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return


def _with_id(outcome: Outcome, request_id: int) -> Outcome:
    return msgspec.structs.replace(outcome, request_id=request_id)


async def run_daemon(settings: Settings) -> None:
    """Run a node until it is told to stop."""
    async with anyio.create_task_group() as tasks:
        node = Node(settings=settings, tasks=tasks)
        await node.run()
        tasks.cancel_scope.cancel()
