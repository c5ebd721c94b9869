"""What a node holds for calls of other nodes, and of the answers of its target."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import msgspec
import pytest

from endivebeam_http import (
    MemoryBudget,
    PipelinedServer,
    Response,
    ServerLimits,
    TaskSet,
    connect_stream,
    listen_tcp,
    plain_error_response,
)
from endivebeam_model import NodeId, Semantics
from endivebeam_sidecar._decisions import make_null_log
from endivebeam_sidecar._lost_replies import KeptReplies
from endivebeam_sidecar._metrics import SidecarMetrics
from endivebeam_sidecar._peer_calls import PeerCalls
from endivebeam_sidecar._settings import HeaderNames
from endivebeam_sidecar._target import LocalTarget
from endivebeam_wire import (
    DirectStream,
    ForwardOutcome,
    ForwardReply,
    Heartbeat,
    OutcomeQuery,
    Reply,
    TargetLoad,
)
from endivebeam_wire import Request as WireRequest

from ._fleet import FakeTarget, Request
from .test_links import make_hello, make_links
from .test_target import make_announcement, make_call, wait_until

pytestmark = pytest.mark.anyio

BUDGET_BYTES = 4 << 20
BODY_BYTES = 1 << 20
PROCESS_TOKEN = 7


class SecondNode:
    """The target of a node, and the calls of others to it."""

    def __init__(self, port: int, fake: FakeTarget) -> None:
        self.fake = fake
        self.released = anyio.Event()
        self.budget = MemoryBudget(max_bytes=BUDGET_BYTES)
        self.target = LocalTarget(
            headers=HeaderNames(),
            metrics=SidecarMetrics(),
            on_change=lambda: None,
            decisions=make_null_log(),
            budget=self.budget,
        )
        self.target.announce(make_announcement(port, slots=8))
        self.calls = PeerCalls(
            target=self.target,
            kept_replies=KeptReplies(process_token=PROCESS_TOKEN),
            budget=self.budget,
        )
        self.response_bytes = 10

    async def answer(self, request: Request) -> Response:
        await self.released.wait()
        return self.fake.make_response(request, body=bytes(self.response_bytes))

    def send(self, number: int, body: bytes = b"") -> "asyncio.Task[ForwardReply]":
        call = make_call(number, Semantics.AT_MOST_ONCE)
        call = msgspec.structs.replace(call, method="POST", body=body, send_id=number)
        return asyncio.ensure_future(self.calls.run(call))


@asynccontextmanager
async def run_second_node() -> AsyncIterator[SecondNode]:
    fake = FakeTarget(instance="i-1", port=0)
    server = PipelinedServer(
        handler=fake.handle,
        error_response=plain_error_response,
        limits=ServerLimits(),
    )
    listener = await listen_tcp("127.0.0.1", 0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, listener)
        node = SecondNode(listener.port, fake)
        fake.behavior = node.answer
        yield node
        await node.target.close()
        tasks.cancel_scope.cancel()


class TestCalls:
    async def test_without_room_is_refused_and_a_small_one_is_run(self):
        """Guards against a node that holds all bodies that other nodes send it."""
        async with run_second_node() as node:
            large = [node.send(n, bytes(BODY_BYTES)) for n in range(1, 5)]
            small = node.send(9, bytes(1000))
            await wait_until(lambda: sum(task.done() for task in large) == 3)
            node.released.set()
            outcomes = [(await task).outcome for task in large]
            assert (await small).outcome is ForwardOutcome.ANSWERED
            await wait_until(lambda: node.budget.used_bytes == 0)
        assert outcomes.count(ForwardOutcome.REFUSED) == 3
        assert outcomes.count(ForwardOutcome.ANSWERED) == 1
        assert len(node.fake.received) == 2

    async def test_that_was_refused_never_runs_when_its_reply_is_lost(self):
        """Guards against a refusal that is not known any more when it is asked for."""
        async with run_second_node() as node:
            node.budget.max_bytes = 0
            assert (await node.send(3)).outcome is ForwardOutcome.REFUSED
            node.budget.max_bytes = BUDGET_BYTES
            query = OutcomeQuery(
                request_id=1, send_id=3, process_token=PROCESS_TOKEN, sent_age_ms=10
            )
            reply = await node.calls.find_outcome(query)
            assert reply.outcome is ForwardOutcome.REFUSED
            assert (await node.send(3)).outcome is ForwardOutcome.REFUSED
        assert node.fake.received == []


class TestStreams:
    async def test_replies_that_are_not_sent_are_held_at_once(self):
        """Guards against answers that are read while earlier ones wait to be sent."""
        budget = MemoryBudget(max_bytes=BUDGET_BYTES)
        body = bytes(BODY_BYTES // 2)

        async def answer(node_id: NodeId, request: WireRequest) -> Reply:
            return ForwardReply(
                request_id=request.request_id,
                outcome=ForwardOutcome.ANSWERED,
                load=TargetLoad(0, 0, 1, False, 0.0),
                status=200,
                body=body,
            )

        links = make_links("served", answer, budget)
        listener = await listen_tcp("127.0.0.1", 0)
        tasks_of_peer = TaskSet()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(links.run, listener)
            raw = await connect_stream("127.0.0.1", listener.port)
            stream = DirectStream(
                transport=raw,
                handle_request=answer,
                local=make_hello("peer"),
                spawn=tasks_of_peer.spawn,
                on_closed=lambda stream: None,
            )
            await stream.handshake()
            raw.pause()
            for _ in range(40):
                request = Heartbeat(request_id=stream.next_id())
                tasks_of_peer.spawn(stream.send_request(request))
            # Nothing counts the bytes now and then here.
            await wait_until(lambda: budget.used_bytes > 2 * BODY_BYTES)
            stream.close()
            await wait_until(lambda: budget.used_bytes == 0)
            tasks.cancel_scope.cancel()
        await tasks_of_peer.close()


class TestAnswers:
    async def test_without_room_end_as_unknown_and_the_next_is_whole(self):
        """Guards against a node that runs out of memory for answers of its target."""
        async with run_second_node() as node:
            node.response_bytes = BODY_BYTES
            node.budget.max_bytes = BODY_BYTES // 2
            node.released.set()
            assert (await node.send(1)).outcome is ForwardOutcome.UNKNOWN
            assert node.budget.used_bytes == 0
            node.budget.max_bytes = BUDGET_BYTES
            reply = await node.send(2)
            assert reply.outcome is ForwardOutcome.ANSWERED
            assert len(reply.body) == BODY_BYTES
            assert node.budget.used_bytes == 0
