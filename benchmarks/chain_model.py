"""Simulation of call chains through the real call path of the nodes.

Every service has a few nodes with the real ``CallPath``, ``LocalHandler``,
``TargetForwarder`` and ``LocalAdmission``. Peer streams, connections to targets and
time are simulated, and faults are injected by a seeded random generator.
"""

import itertools
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, cast

import anyio
import anyio.abc

from endivebeam_http import ClientPool, ConnectionLostError, Field, Request, Response
from endivebeam_limits import RetryBudgets
from endivebeam_model import (
    AccountId,
    Address,
    ChainId,
    ConfigVersion,
    Criticality,
    DomainName,
    Member,
    MemberState,
    NodeId,
    RefusalReason,
    RegionName,
    Route,
    Semantics,
    Service,
    ServiceName,
    Snapshot,
)
from endivebeam_node._admission import LocalAdmission
from endivebeam_node._calls import CallPath
from endivebeam_node._config import ConfigCopy
from endivebeam_node._forward import CONTEXT_FIELD, TargetForwarder
from endivebeam_node._inflight import InFlight
from endivebeam_node._nested import LocalHandler
from endivebeam_node._outcomes import refuse
from endivebeam_node._peers import Peers, UnreachableError
from endivebeam_node._ports import Admit, Forward, Outcome
from endivebeam_node._targets import Announcement, LocalTarget
from endivebeam_wire import CallRefused, CallRequest, StreamLostError

from .virtual_time import VirtualLoop

NODES_PER_SERVICE = 4
SLOTS = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class Faults:
    """Faults, as probabilities from 0 to 1, and behavior of the targets.

    Executions at the leaf lose the connection (``fails``) or end with status 500
    (``errors``); targets reject calls without running them (``sheds``); streams are
    lost during a call (``lost_streams``); calls reach a draining node (``drains``);
    nested calls carry no context (``no_context``).

    Targets make ``fan_out`` concurrent nested calls, each with up to
    ``target_retries`` retries. Executions at the leaf do not end if ``leaf_hangs``.
    ``detached`` targets continue nested calls after their own call was cancelled.
    """

    fails: float = 0.0
    errors: float = 0.0
    sheds: float = 0.0
    lost_streams: float = 0.0
    drains: float = 0.0
    target_retries: int = 0
    no_context: float = 0.0
    fan_out: int = 1
    leaf_hangs: bool = False
    detached: bool = False


@dataclass(slots=True)
class Tally:
    """Attempts per logical call, calls that nodes declined, executions per depth.

    ``uncertain`` attempts may have run although their stream was lost.
    """

    attempts: Counter[str] = field(default_factory=Counter)
    declined: Counter[str] = field(default_factory=Counter)
    executions: Counter[int] = field(default_factory=Counter)
    running: int = 0
    uncertain: int = 0

    @property
    def retries(self) -> int:
        """Number of attempts beyond the first one of each logical call."""
        return sum(count - 1 for count in self.attempts.values())


class _FakeStream:
    """Peer stream that serves a call at the other node or injects a fault."""

    def __init__(self, chain: "Chain", node: "ChainNode") -> None:
        self._chain = chain
        self._node = node

    def next_id(self) -> int:
        return next(self._chain.ids)

    async def send_request(self, request: CallRequest) -> Outcome:
        chain = self._chain
        if chain.draw(chain.faults.drains):
            chain.tally.declined[request.path] += 1
            return refuse(
                RefusalReason.DRAINING, "draining", credits=request.retry_credits
            )
        chain.tally.attempts[request.path] += 1
        if chain.draw(chain.faults.lost_streams):
            # The other node may still run the call after the stream is lost.
            if chain.draw(0.5):
                chain.tasks.start_soon(self._node.calls.serve, request)
            chain.tally.uncertain += 1
            raise StreamLostError("simulated loss of the stream")
        return await self._node.calls.serve(request)


class _FakePeers:
    def __init__(self, chain: "Chain") -> None:
        self._chain = chain

    async def connect(self, address: Address) -> _FakeStream:
        if self._chain.draw(self._chain.faults.drains / 2):
            raise UnreachableError("simulated refusal of the connection")
        return _FakeStream(self._chain, self._chain.by_port[address.port])


class _FakePool:
    """Connection pool whose requests are run by ``Chain.run_target``."""

    def __init__(self, node: "ChainNode") -> None:
        self._node = node

    async def request(self, request: Request) -> Response:
        return await self._node.chain.run_target(self._node, request)


class _ChainForwarder(TargetForwarder):
    node: "ChainNode"

    def _pool_for(self, announcement: Announcement) -> ClientPool:
        return cast(ClientPool, _FakePool(self.node))


class ChainNode:
    """One node with a real call path and local handler."""

    def __init__(self, chain: "Chain", depth: int, port: int) -> None:
        self.chain = chain
        self.depth = depth
        target = LocalTarget()
        target.announce(
            b'{"service":"s%d","port":1,"slots":%d,"connections":%d}'
            % (depth, SLOTS, SLOTS),
            anyio.current_time(),
        )
        in_flight = InFlight()
        admission = LocalAdmission(
            tasks=chain.tasks,
            target=target,
            in_flight=in_flight,
            config=chain.config,
        )
        forwarder = _ChainForwarder(
            target=target,
            in_flight=in_flight,
            report_load=admission.report,
            measure=admission.measure,
        )
        forwarder.node = self
        self.member = Member(
            node_id=NodeId(f"n{port}"),
            incarnation=1,
            sequence=0,
            address=Address("127.0.0.1", port),
            region=RegionName("r"),
            domain=DomainName("d"),
            service=ServiceName(f"s{depth}"),
            slots=SLOTS,
            state=MemberState.SERVING,
        )
        self.calls = CallPath(
            local=self.member.node_id,
            peers=cast(Peers, _FakePeers(chain)),
            choose=chain.choose,
            observe=lambda node_id, observation: None,
            admit=admission.admit,
            forward=forwarder.forward,
            run_once=_run_directly,
            budgets=chain.budgets,
        )
        self.local = LocalHandler(
            config=chain.config,
            calls=self.calls,
            target=target,
            in_flight=in_flight,
            on_announcement=lambda announcement: None,
        )


async def _run_directly(call: CallRequest, admit: Admit, forward: Forward) -> Outcome:
    return await forward(call)


class _Budgets(RetryBudgets):
    """Unlimited retry budgets, so that only the credits limit the retries."""

    def of(self, service: ServiceName) -> Any:
        return self

    def record_call(self, now: float) -> None:
        pass

    def spend_retry(self, now: float) -> bool:
        return True


class Chain:
    """Services in series; each target except the leaf calls the next service."""

    def __init__(
        self, *, depth: int, faults: Faults, seed: int, tasks: anyio.abc.TaskGroup
    ) -> None:
        self.depth = depth
        self.faults = faults
        self.tasks = tasks
        self.tally = Tally()
        self.ids: Iterator[int] = itertools.count(1)
        self.budgets = _Budgets()
        self.config = ConfigCopy()
        self.config.snapshot = Snapshot(
            version=ConfigVersion(1),
            services={
                ServiceName(f"s{d}"): Service(
                    service=ServiceName(f"s{d}"), routes=(Route(),)
                )
                for d in range(1, depth + 1)
            },
        )
        self._random = random.Random(seed)
        self.by_port: dict[int, ChainNode] = {}
        for d in range(depth + 1):
            for _ in range(NODES_PER_SERVICE if d else 1):
                port = len(self.by_port) + 1
                self.by_port[port] = ChainNode(self, d, port)

    def draw(self, probability: float) -> bool:
        """Return True with the given probability."""
        return self._random.random() < probability

    def choose(
        self, service: ServiceName, excluded: frozenset[NodeId]
    ) -> Member | None:
        """Choose a random node of a service that is not excluded."""
        candidates = [
            node.member
            for node in self.by_port.values()
            if node.member.service == service and node.member.node_id not in excluded
        ]
        return self._random.choice(candidates) if candidates else None

    async def call(self, credits: int, timeout_s: float = 10.0) -> Outcome:
        """Send one external request to the first service."""
        request = CallRequest(
            request_id=0,
            service=ServiceName("s1"),
            method="GET",
            path=f"/{next(self.ids)}",
            headers=[],
            body=b"",
            account=AccountId("a"),
            chain_id=ChainId("c"),
            depth=1,
            timeout_ms=round(timeout_s * 1000),
            criticality=Criticality.NORMAL,
            semantics=Semantics.IDEMPOTENT,
            retry_credits=credits,
        )
        return await self.by_port[1].calls.route(request)

    async def run_target(self, node: ChainNode, request: Request) -> Response:
        """Run one call as the target of a node."""
        faults = self.faults
        if self.draw(faults.sheds):
            return _make_response(503, Field(b"endivebeam-run", b"not-run"))
        self.tally.executions[node.depth] += 1
        self.tally.running += 1
        try:
            if node.depth < self.depth:
                return await self._call_next_service(node, request)
            if faults.leaf_hangs:
                await anyio.sleep(3600.0)
        finally:
            self.tally.running -= 1
        if self.draw(faults.fails):
            raise ConnectionLostError("simulated loss of the connection")
        return _make_response(500 if self.draw(faults.errors) else 200)

    async def _call_next_service(self, node: ChainNode, request: Request) -> Response:
        results: list[Response] = []

        async def call_one() -> None:
            results.append(await self._call_with_retries(node, request))

        if self.faults.detached:
            await self._run_detached(call_one)
        else:
            async with anyio.create_task_group() as group:
                for _ in range(self.faults.fan_out):
                    group.start_soon(call_one)
        worst = max(results, key=lambda response: response.status)
        # Many targets return the response of a failed nested call unchanged.
        return _make_response(worst.status, *worst.fields)

    async def _run_detached(self, run: Callable[[], Awaitable[None]]) -> None:
        ended = anyio.Event()

        async def run_and_signal() -> None:
            await run()
            ended.set()

        self.tasks.start_soon(run_and_signal)
        await ended.wait()

    async def _call_with_retries(self, node: ChainNode, request: Request) -> Response:
        path = f"/s{node.depth + 1}/{next(self.ids)}"
        fields = []
        if not self.draw(self.faults.no_context):
            fields.append(Field(CONTEXT_FIELD, request.get(CONTEXT_FIELD) or b""))
        nested = Request(method="GET", target=path, fields=fields, body=b"")
        response = await node.local.handle(nested)
        for _ in range(self.faults.target_retries):
            if response.status < 500:
                break
            response = await node.local.handle(nested)
        return response


def _make_response(status: int, *fields: Field) -> Response:
    return Response(status=status, fields=list(fields), body=b"")


@dataclass(slots=True, kw_only=True)
class ChainResult:
    """Counts and outcome of one request; no outcome if its caller disconnected."""

    tally: Tally
    outcome: Outcome | None
    still_running: int

    @property
    def refusal_run(self) -> str | None:
        """Run status of a refusal, or None if the call was answered."""
        match self.outcome:
            case CallRefused(refusal=refusal):
                return refusal.run.value
        return None


def run_chain(
    *,
    depth: int,
    faults: Faults,
    credits: int,
    seed: int,
    timeout_s: float = 10.0,
    disconnect_after_s: float = 3600.0,
) -> ChainResult:
    """Send one request through a chain and wait until all of its work has ended.

    The caller disconnects ``disconnect_after_s`` after it sent the request.
    """

    async def run() -> ChainResult:
        async with anyio.create_task_group() as tasks:
            chain = Chain(depth=depth, faults=faults, seed=seed, tasks=tasks)
            outcome: Outcome | None = None
            with anyio.move_on_after(disconnect_after_s):
                outcome = await chain.call(credits, timeout_s)
            # Cancelled tasks need a few iterations of the event loop to end.
            await anyio.sleep(0.01)
            running = chain.tally.running
            await anyio.sleep(60.0)
            tasks.cancel_scope.cancel()
        return ChainResult(tally=chain.tally, outcome=outcome, still_running=running)

    start: Callable[[], Awaitable[ChainResult]] = run
    return anyio.run(
        start, backend="asyncio", backend_options={"loop_factory": VirtualLoop}
    )
