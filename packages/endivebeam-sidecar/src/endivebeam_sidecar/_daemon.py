"""A node: its parts, its ports, and the order of start and stop."""

import random
from collections.abc import Awaitable, Callable
from functools import partial
from http import HTTPStatus

import anyio
import anyio.abc
from loguru import logger

from endivebeam_fleet import Announcement, FleetRetryBudget, Tolerance
from endivebeam_http import (
    Exchange,
    ExchangeHandler,
    LossDetection,
    MemoryBudget,
    PipelinedServer,
    Response,
    ServerLimits,
    TcpListener,
    listen_tcp,
)
from endivebeam_model import Address, Member, MemberState, NodeId
from endivebeam_routing import Router
from endivebeam_wire import (
    SIDECAR_PROTOCOL_VERSION,
    ConfigRequest,
    ForwardRequest,
    Heartbeat,
    HeartbeatEcho,
    Hello,
    OutcomeQuery,
    Reply,
    Request,
    SyncRequest,
    TokenRequest,
)

from ._allowances import Allowances
from ._attempts import CallSender
from ._callers import CallerHandler
from ._clock import read_clock
from ._control import Control
from ._control_store import ControlStore
from ._decisions import DecisionLog, make_null_log
from ._links import LinkLostError, LinkNotOpenError, Links
from ._lost_replies import KeptReplies
from ._metrics import SidecarMetrics
from ._observation import count_stream_bytes, measure_lag
from ._peer_calls import PeerCalls
from ._planned_stop import finish_requests, start_planned_stop
from ._resources import Resources, apply_resources
from ._settings import SidecarSettings
from ._state import FleetState
from ._supervision import supervise
from ._target import LocalTarget
from ._unreachable_nodes import UnreachableNodes

PROBE_PERIOD_S = 0.5
# Part of the time for a planned stop that is reserved for closing connections.
STOP_MARGIN_S = 1.0
GAUGE_PERIOD_S = 2.0
# Maximum for each of the ports for announcements, readiness and metrics.
MAX_CONTROL_CONNECTIONS = 64
MAX_CONTROL_BODY_BYTES = 64 << 10
# Of each port, apart from the budget for calls, so that callers can't use it up.
CONTROL_BUDGET_BYTES = 2 << 20
PROCESS_TOKEN_BITS = 62


class Sidecar:
    """A node; creates and connects its parts."""

    def __init__(
        self,
        *,
        settings: SidecarSettings,
        store: ControlStore,
        decisions: DecisionLog | None = None,
    ) -> None:
        decisions = decisions or make_null_log()
        self.settings = settings
        self.metrics = SidecarMetrics()
        self._budget = MemoryBudget()
        self._limits = ServerLimits()
        self.apply_resources(settings.resources)
        self._router = Router(
            local=settings.node_id,
            domain=settings.domain,
            region=settings.region,
            rng=random.Random(),
        )
        self._unreachable = UnreachableNodes()
        self._fleet = FleetState(
            settings=settings,
            router=self._router,
            limits=self._limits,
            on_refuted=lambda: self._control.publish_own(),
            on_returned=self._unreachable.remove,
        )
        self._target = LocalTarget(
            headers=settings.headers,
            metrics=self.metrics,
            on_change=self._update_own_record,
            decisions=decisions,
            budget=self._budget,
        )
        process_token = random.getrandbits(PROCESS_TOKEN_BITS)
        self._peer_calls = PeerCalls(
            target=self._target,
            kept_replies=KeptReplies(process_token=process_token),
            budget=self._budget,
        )
        self._links = Links(
            local=Hello(
                protocol=SIDECAR_PROTOCOL_VERSION,
                node_id=settings.node_id,
                incarnation=1,
                domain=settings.domain,
                process_token=process_token,
            ),
            handle_request=self._handle_peer_request,
            on_unreachable=self._handle_unreachable,
            on_reached=self._unreachable.remove,
            budget=self._budget,
        )
        bounds = settings.bounds
        self._control = Control(
            fleet=self._fleet,
            store=store,
            links=self._links,
            unreachable=self._unreachable,
            metrics=self.metrics,
            bounds=bounds,
        )
        self._allowances = Allowances(
            fleet=self._fleet,
            links=self._links,
            tolerance=Tolerance(
                over=bounds.rate_over,
                slack=bounds.rate_slack,
                window_s=bounds.rate_window_s,
            ),
        )
        self._caller_handler = CallerHandler(
            settings=settings,
            fleet=self._fleet,
            allowances=self._allowances,
            sender=CallSender(
                fleet=self._fleet,
                router=self._router,
                links=self._links,
                target=self._target,
                budget=FleetRetryBudget(
                    ratio=bounds.retry_ratio,
                    slack=bounds.retry_slack,
                    window_s=bounds.retry_window_s,
                ),
                metrics=self.metrics,
                decisions=decisions,
            ),
            target=self._target,
            metrics=self.metrics,
            decisions=decisions,
        )
        self._caller_server = PipelinedServer(
            handler=self._caller_handler.handle,
            error_response=self._caller_handler.reject_malformed,
            limits=self._limits,
            budget=self._budget,
        )
        self._stopping = False
        self.is_listening = False

    def apply_resources(self, resources: Resources) -> None:
        """Bound what is held for others by what the machine has."""
        apply_resources(resources, budget=self._budget, limits=self._limits)

    def announce(self, announcement: Announcement) -> None:
        """Process an announcement of the target."""
        self._target.announce(announcement)

    def process_leave(self, instance: str) -> None:
        """Process the message of a target that it is shutting down."""
        self._target.process_leave(instance)

    def members(self) -> list[Member]:
        """Return the records of the nodes that have not left."""
        return self._fleet.directory.live()

    @property
    def config_version(self) -> int:
        """Version of the configuration in force; 0 before any is known."""
        return self._fleet.config_version

    @property
    def config_age_s(self) -> float:
        """Age of the evidence that no newer configuration exists."""
        return self._fleet.freshness.age_s(read_clock())

    @property
    def allowance_holder(self) -> NodeId | None:
        """Node that holds the lease on this node's part of all allowances, or None."""
        return self._allowances.holder

    @property
    def is_ready(self) -> bool:
        """Whether callers should send new requests to this node."""
        known = self._fleet.index is not None and self._fleet.knows_members
        return known and not self._stopping

    async def check_readiness(self, exchange: Exchange) -> Response:
        """Return 200 if the node is ready, else 503."""
        status = HTTPStatus.OK if self.is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        return Response(status=int(status))

    async def run(
        self,
        *,
        announcements: ExchangeHandler,
        wait_for_stop: Callable[[], Awaitable[None]],
    ) -> None:
        """Serve until ``wait_for_stop`` returns and the planned stop is complete.

        ``announcements`` handles the announcements of the target.
        """
        async with anyio.create_task_group() as tasks:
            await self._listen(tasks, announcements)
            self.is_listening = True
            loops: tuple[Callable[[], Awaitable[None]], ...] = (
                *self._control.loops,
                self._allowances.run,
                self._probe_down_targets,
                self._update_gauges,
                partial(count_stream_bytes, self._links),
                partial(measure_lag, self.metrics),
            )
            for loop in loops:
                tasks.start_soon(supervise, loop)
            logger.bind(
                service=self.settings.service, domain=self.settings.domain
            ).info("node: Started.")
            await wait_for_stop()
            await self._stop()
            tasks.cancel_scope.cancel()
        await self._target.close()
        logger.info("node: Stopped.")

    async def _listen(
        self,
        tasks: anyio.abc.TaskGroup,
        announcements: ExchangeHandler,
    ) -> None:
        settings = self.settings
        control = ServerLimits(
            max_connections=MAX_CONTROL_CONNECTIONS,
            max_body_bytes=MAX_CONTROL_BODY_BYTES,
            max_held_bytes=CONTROL_BUDGET_BYTES // 2,
        )
        tasks.start_soon(self._links.run, await _listen(settings.peers))
        # Callers may read slowly.
        callers = await _listen(
            settings.callers, loss_detection=LossDetection.UNANSWERED_PROBES
        )
        tasks.start_soon(self._caller_server.serve, callers)
        for address, handler in (
            (settings.announcements, announcements),
            (settings.readiness, self.check_readiness),
            (settings.metrics, self.metrics.handle),
        ):
            server = PipelinedServer(
                handler=handler,
                error_response=self._caller_handler.reject_malformed,
                limits=control,
                budget=MemoryBudget(max_bytes=CONTROL_BUDGET_BYTES),
            )
            tasks.start_soon(server.serve, await _listen(address))

    async def _stop(self) -> None:
        """Announce the departure of this node and finish the calls in flight."""
        limit_s = self.settings.bounds.stop_s - STOP_MARGIN_S
        stop = start_planned_stop(limit_s=limit_s, now=read_clock())
        logger.bind(in_flight=self._target.in_flight, limit_s=limit_s).info(
            "node: A planned stop begins."
        )
        self._stopping = True
        self._target.leaving = True
        self._caller_handler.planned_stop = stop
        self._caller_server.announce_close()
        self._fleet.update_own(self._target, MemberState.LEFT)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._control.announce_departure)
            await finish_requests(
                stop,
                is_idle=lambda: self._is_idle,
                end_intake=self._caller_server.end_intake,
                is_finished=lambda: self._is_finished,
            )
            self._log_stop_end()
            tasks.cancel_scope.cancel()

    @property
    def _is_idle(self) -> bool:
        """Whether no request is in progress and no answer is left to be sent."""
        return not (
            self._target.in_flight
            or self._peer_calls.in_progress
            or self._links.unsent_bytes
            or self._caller_server.busy_connections
        )

    @property
    def _is_finished(self) -> bool:
        """Whether the node is idle and callers have closed their last connections."""
        return self._is_idle and not self._caller_server.has_lingering_connections

    def _log_stop_end(self) -> None:
        """Log the end of a planned stop, as a warning if it cuts requests."""
        bound = logger.bind(
            in_flight=self._target.in_flight,
            peer_calls=self._peer_calls.in_progress,
            unsent_to_peers=self._links.unsent_bytes,
            busy_connections=self._caller_server.busy_connections,
        )
        if self._is_idle:
            bound.info("node: No request is left in the planned stop.")
        else:
            bound.warning("node: The time for the planned stop is over.")

    def _update_own_record(self) -> None:
        if self._stopping:
            return
        accepts_work = self._target.record.accepts_work
        state = MemberState.SERVING if accepts_work else MemberState.DRAINING
        if self._fleet.update_own(self._target, state):
            self._control.publish_own()

    def _handle_unreachable(self, node_id: NodeId) -> None:
        self._router.record_lost(node_id, read_clock())
        self._allowances.suspect(node_id)
        self._unreachable.add(node_id)

    async def _handle_peer_request(self, node_id: NodeId, request: Request) -> Reply:
        self._unreachable.remove(node_id)
        match request:
            case ForwardRequest():
                return await self._peer_calls.run(request)
            case OutcomeQuery():
                return await self._peer_calls.find_outcome(request)
            case SyncRequest():
                return self._control.handle_sync(node_id, request)
            case ConfigRequest():
                return self._control.handle_transfer(node_id, request)
            case TokenRequest():
                return self._allowances.handle_request(node_id, request)
            case _:
                return HeartbeatEcho(request_id=request.request_id)

    async def _probe_down_targets(self) -> None:
        while True:
            await anyio.sleep(PROBE_PERIOD_S)
            if not self._router.has_down_targets:
                continue
            for member in self._router.probes_due(read_clock()):
                answered = True
                try:
                    with anyio.fail_after(1.0):
                        await self._links.send_request(
                            member, lambda number: Heartbeat(request_id=number)
                        )
                except (LinkNotOpenError, LinkLostError, TimeoutError):
                    answered = False
                self._router.finish_probe(
                    member.node_id, answered=answered, now=read_clock()
                )

    async def _update_gauges(self) -> None:
        while True:
            await anyio.sleep(GAUGE_PERIOD_S)
            load = self._target.load
            self.metrics.running.set(load.running)
            self.metrics.waiting.set(load.waiting)
            self.metrics.held_bytes.set(self._caller_server.held_bytes)
            self.metrics.budget_used.set(self._budget.used_bytes)
            self.metrics.members.set(len(self._fleet.directory))
            self.metrics.config_version.set(self._fleet.config_version)
            self.metrics.config_age.set(min(self.config_age_s, 3600.0))
            self.metrics.config_era.set(self._fleet.freshness.era)


async def _listen(
    address: Address, *, loss_detection: LossDetection = LossDetection.UNTAKEN_DATA
) -> TcpListener:
    return await listen_tcp(address.host, address.port, loss_detection=loss_detection)
