"""Composition and life cycle of the daemon."""

import random
import secrets
import socket

import anyio
import anyio.abc
import httpx
import msgspec
from loguru import logger

from endivebeam_http import HttpServer
from endivebeam_limits import RetryBudgets
from endivebeam_membership import is_ended
from endivebeam_model import (
    Address,
    DomainName,
    LogEntry,
    Member,
    MemberState,
    NodeId,
    RegionName,
    ServiceName,
    WithdrawKey,
)
from endivebeam_store import ConfigLog, HttpObjects, HttpTable
from endivebeam_wire import (
    PROTOCOL_VERSION,
    CallRequest,
    DigestRequest,
    EntriesRequest,
    GrantRequest,
    HandoverRequest,
    Heartbeat,
    HeartbeatEcho,
    Hello,
    LeavesRequest,
    OutcomeRequest,
    PeerStream,
    RelayRequest,
    Reply,
    Request,
    Rumor,
    SnapshotRequest,
    StreamLostError,
    WriteCountsRequest,
)

from ._admin_serving import serve_admin
from ._admission import LocalAdmission
from ._callers import CallerHandler, error_response
from ._calls import CallPath
from ._config import ConfigCopy
from ._config_sync import ConfigSync
from ._fleet_view import FleetView
from ._forward import TargetForwarder
from ._gauges import add_gauges
from ._inflight import InFlight
from ._joining import Joining
from ._limits import RateLimits
from ._listening import Ports, listen, port_of, write_ports
from ._members import Members
from ._nested import LocalHandler
from ._once import build_once_runner
from ._operations import Operations
from ._overlay import Overlay
from ._peers import Peers
from ._ports import Outcome
from ._selection import TargetSelector
from ._settings import Settings
from ._targets import Announcement, LocalTarget
from ._tls import NodeTls

DRAIN_CHECK_PERIOD_S = 0.05
TARGET_CHECK_PERIOD_S = 0.2
LEFT_GOSSIP_S = 0.3


class Node:
    """Components and state of one running node."""

    def __init__(self, *, settings: Settings, tasks: anyio.abc.TaskGroup) -> None:
        self.settings = settings
        self._tasks = tasks
        self._rng = random.Random(secrets.randbits(64))
        self.config = ConfigCopy()
        self.target = LocalTarget()
        self.in_flight = InFlight()
        self.members = Members(local=_local_member(settings), config=self.config)
        self._stop = anyio.Event()
        self._client = httpx.AsyncClient(base_url=settings.platform_url, timeout=5.0)
        self.table = HttpTable(
            client=self._client, on_response=self.members.record_store_response
        )
        self.log = ConfigLog(table=self.table)
        self.tls = NodeTls(settings.tls)
        self.peers = Peers(
            tasks=tasks,
            handle_request=self._handle_request,
            hello=self._hello,
            heartbeat=lambda request_id: self.overlay.heartbeat(request_id),
            on_echo=self._on_echo,
            on_lost=self._on_lost,
            is_neighbor=lambda address: self.overlay.is_neighbor(address),
            tls=self.tls.peer,
        )
        self.overlay = Overlay(
            members=self.members, peers=self.peers, tasks=tasks, rng=self._rng
        )
        self.selector = TargetSelector(
            members=self.members, peers=self.peers, tasks=tasks, rng=self._rng
        )
        self.sync = ConfigSync(
            members=self.members,
            config=self.config,
            log=self.log,
            objects=HttpObjects(client=self._client),
        )
        self.joining = Joining(
            members=self.members,
            overlay=self.overlay,
            peers=self.peers,
            table=self.table,
            seeds=[Address(s.host, s.port) for s in settings.seeds],
            rng=self._rng,
        )
        self.admission = LocalAdmission(
            tasks=tasks,
            target=self.target,
            in_flight=self.in_flight,
            config=self.config,
        )
        self.forwarder = TargetForwarder(
            target=self.target,
            in_flight=self.in_flight,
            report_load=self.admission.report,
            measure=self.admission.measure,
        )
        # Call records have their own connections, so that many slow claims cannot
        # block requests for leases and configuration.
        self._record_client = httpx.AsyncClient(base_url=settings.platform_url)
        self.once = build_once_runner(
            tasks=tasks,
            node=NodeId(settings.node_id),
            client=self._record_client,
            peers=self.peers,
            find_address=self.members.find_address,
            on_response=self.members.record_store_response,
            report_load=self.admission.report,
        )
        self.operations = Operations(
            settings=settings,
            config=self.config,
            members=self.members,
            peers=self.peers,
            log=self.log,
            objects=HttpObjects(client=self._client),
            on_committed=self._on_committed,
            on_withdrawn=self._on_withdrawn,
            rng=self._rng,
        )
        self.calls = CallPath(
            local=NodeId(settings.node_id),
            peers=self.peers,
            choose=self.selector.choose,
            observe=self.selector.observe,
            admit=self.admission.admit,
            forward=self.forwarder.forward,
            run_once=self.once.run,
            budgets=RetryBudgets(),
        )
        self.rates = RateLimits(
            settings=settings,
            view=self._fleet_view(),
            config=self.config,
            peers=self.peers,
            table=self.table,
            tasks=tasks,
            rng=self._rng,
        )
        self.callers = CallerHandler(
            config=self.config,
            calls=self.calls,
            spend_token=self.rates.spend_token,
            record=self.operations.record,
            is_isolated=self._is_isolated,
        )
        self.local = LocalHandler(
            config=self.config,
            calls=self.calls,
            target=self.target,
            in_flight=self.in_flight,
            on_announcement=self._on_announcement,
        )
        self._caller_server = HttpServer(
            handler=self.callers.handle, error_response=error_response
        )
        self._local_server = HttpServer(
            handler=self.local.handle, error_response=error_response
        )
        add_gauges(
            self.operations.metrics,
            config=self.config,
            members=self.members,
            calls=self.calls,
            in_flight=self.in_flight,
            connections=self._caller_server,
        )
        self._stopping = False

    def request_stop(self) -> None:
        """Request that the node drains and ends."""
        self._stop.set()

    async def run(self) -> None:
        """Listen, serve until a stop is requested, then drain."""
        settings = self.settings
        async with anyio.create_task_group() as servers:
            caller = await listen(settings.host, settings.caller_port)
            local = await listen("127.0.0.1", settings.local_port)
            peer = await listen(settings.host, settings.peer_port)
            admin = socket.create_server((settings.host, settings.admin_port))
            self.members.update_local(address=Address(settings.host, port_of(peer)))
            servers.start_soon(self._caller_server.serve, self.tls.wrap_caller(caller))
            servers.start_soon(self._local_server.serve, local)
            servers.start_soon(peer.serve, self.peers.accept)
            servers.start_soon(self._serve_admin, admin)
            servers.start_soon(self.tls.run)
            servers.start_soon(self.overlay.run)
            servers.start_soon(self.selector.run)
            servers.start_soon(self.sync.run)
            servers.start_soon(self.rates.run)
            servers.start_soon(self.joining.run)
            servers.start_soon(self._watch_target)
            servers.start_soon(self.operations.run)
            ports = Ports(
                caller=port_of(caller),
                local=port_of(local),
                peer=port_of(peer),
                admin=admin.getsockname()[1],
            )
            logger.info("node: {} listens on {}", settings.node_id, ports)
            write_ports(settings, ports)
            await self._stop.wait()
            await self._drain()
            servers.cancel_scope.cancel()
        await self.peers.close()
        await self._client.aclose()
        await self._record_client.aclose()

    async def _drain(self) -> None:
        logger.info("node: draining")
        self._stopping = True
        self.calls.draining = True
        self.members.update_local(state=MemberState.DRAINING)
        # Idle connections stay open for now: a caller may be sending on one.
        self._caller_server.announce_close()
        await self.rates.hand_over_all()
        with anyio.move_on_after(self.settings.drain_timeout_s):
            # Other nodes must receive the draining state before streams close.
            await anyio.sleep(1.0)
            while self._is_busy():
                # Repeated for connections that were opened after the drain began.
                self._caller_server.drain()
                await anyio.sleep(DRAIN_CHECK_PERIOD_S)
        # Nothing is awaited since the last look: a request in between would be cut.
        for server in (self._caller_server, self._local_server):
            server.end_intake()
        await self.operations.finish()
        self.members.update_local(state=MemberState.LEFT)
        await anyio.sleep(LEFT_GOSSIP_S)
        logger.info("node: drained")

    async def _serve_admin(self, listener: socket.socket) -> None:
        app = self.operations.build_app(on_drain=self.request_stop)
        tls = self.tls.admin
        await serve_admin(app, listener, None if tls is None else tls.context)

    async def _handle_request(self, stream: PeerStream, request: Request) -> Reply:
        match request:
            case CallRequest():
                outcome = await self.calls.serve(request)
                return _with_id(outcome, request.request_id)
            case Heartbeat(request_id=request_id, config_version=version):
                self.operations.record_stream_version(stream, version)
                self.overlay.handle_heartbeat(stream)
                if version > self.config.version:
                    self._tasks.start_soon(self.sync.pull, stream)
                return self.overlay.echo(stream, request_id)
            case Rumor():
                return self.overlay.handle_rumor(stream, request)
            case DigestRequest():
                return self.overlay.handle_digest_request(request)
            case LeavesRequest():
                return self.overlay.handle_leaves_request(request)
            case EntriesRequest():
                return self.sync.handle_entries_request(request)
            case SnapshotRequest():
                return self.sync.handle_snapshot_request(request)
            case OutcomeRequest():
                return self.once.handle_outcome_request(request)
            case GrantRequest() | HandoverRequest() | RelayRequest():
                return await self.rates.handle_request(request)
            case WriteCountsRequest():
                return self.operations.receive_counts(request)
            case _:
                # Other requests come from sidecar nodes, which form separate fleets.
                await stream.close()
                raise StreamLostError("the peer is a node of another kind")

    def _hello(self) -> Hello:
        local = self.members.local
        return Hello(
            protocol=PROTOCOL_VERSION,
            node_id=local.node_id,
            incarnation=local.incarnation,
            domain=local.domain,
        )

    def _on_echo(self, stream: PeerStream, echo: HeartbeatEcho, sent_at: float) -> None:
        self.operations.record_stream_version(stream, echo.config_version)
        actions = self.overlay.handle_echo(stream, echo, sent_at)
        self.sync.record_peer_version(echo.config_version)
        if actions.pull:
            self._tasks.start_soon(self.sync.pull, stream)

    def _on_lost(self, stream: PeerStream) -> None:
        self.overlay.handle_lost_stream(stream)
        self.selector.record_lost(stream)

    def _on_announcement(self, announcement: Announcement) -> None:
        if self._stopping:
            return
        self.calls.draining = announcement.state == "draining"
        state = MemberState.SERVING
        if self.calls.draining:
            state = MemberState.DRAINING
        self.members.update_local(
            state=state, service=announcement.service, slots=announcement.slots
        )

    async def _watch_target(self) -> None:
        # A target whose announcement expired, or that refused a connection, gets no
        # calls until its next announcement.
        while True:
            await anyio.sleep(TARGET_CHECK_PERIOD_S)
            is_missing = self.target.current(anyio.current_time()) is None
            if is_missing and not self._stopping:
                self.members.update_local(state=MemberState.JOINING)

    def _on_committed(self, entry: LogEntry) -> None:
        self.members.spread_entry(entry)

    async def _on_withdrawn(self, change: WithdrawKey) -> None:
        self.members.spread_withdrawal(change.digest)

    def _is_isolated(self) -> bool:
        return self.members.is_isolated() or not self.sync.synced

    def _is_busy(self) -> bool:
        return bool(len(self._caller_server) or len(self.in_flight) or len(self.once))

    def _find_live(self, node_id: NodeId) -> Member | None:
        member = self.members.get(node_id)
        return None if member is None or is_ended(member) else member

    def _fleet_view(self) -> FleetView:
        return FleetView(
            local=lambda: self.members.local,
            live=self.members.live,
            find=self._find_live,
            contact_ages=self.members.domain_ages,
            store_age=self.members.store_age,
        )


def _local_member(settings: Settings) -> Member:
    return Member(
        node_id=NodeId(settings.node_id),
        # Raised when a peer has a record of this node from before a restart.
        incarnation=1,
        sequence=0,
        address=Address(settings.host, settings.peer_port),
        region=RegionName(settings.region),
        domain=DomainName(settings.domain),
        service=ServiceName(""),
        slots=0,
        state=MemberState.JOINING,
    )


def _with_id(outcome: Outcome, request_id: int) -> Outcome:
    return msgspec.structs.replace(outcome, request_id=request_id)
