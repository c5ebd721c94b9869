"""At-most-once calls whose stream between two nodes is lost while they run.

Guards against work that was done but given up, and against callers that are told that
a call may have run although it never arrived: the streams of a machine that was silent
for a while are closed, and links between machines are reset.
"""

import anyio
import pytest

from endivebeam_http import Request, Response
from endivebeam_model import AccountId, Semantics, ServiceName
from endivebeam_sidecar._lost_replies import KeptReplies
from endivebeam_sidecar._peer_calls import PeerCalls
from endivebeam_wire import (
    ForwardOutcome,
    ForwardReply,
    ForwardRequest,
    OutcomeQuery,
)

from ._fleet import Fleet, Node, run_fleet, wait_until
from .test_target import BlockedTarget, run_target

pytestmark = pytest.mark.anyio

TOKEN = 7


class HeldTarget:
    """Holds the answers of a node's target until they are released."""

    def __init__(self, node: Node) -> None:
        self.released = anyio.Event()
        self.started = anyio.Event()
        self._target = node.target
        self._target.behavior = self._answer

    async def _answer(self, request: Request) -> Response:
        self.started.set()
        await self.released.wait()
        return self._target.make_response(request)


def lose_streams(fleet: Fleet, number: int) -> None:
    """Close all streams between the nodes, as a reset of a machine's links does."""
    for stream in list(fleet.nodes[number].sidecar._links._streams.values()):
        stream.close()


def make_call(send_id: int) -> ForwardRequest:
    return ForwardRequest(
        request_id=1,
        call_id=f"call-{send_id}",
        service=ServiceName("stock"),
        method="POST",
        path="/charge/x",
        encoded_fields=b"host: a\r\n",
        body=b"",
        account=AccountId("fit"),
        semantics=Semantics.AT_MOST_ONCE,
        rank=0.0,
        internal=False,
        shed_order=0.0,
        budget_ms=5000,
        objective_ms=1000,
        send_id=send_id,
    )


def make_query(send_id: int, *, token: int = TOKEN) -> OutcomeQuery:
    return OutcomeQuery(
        request_id=2, send_id=send_id, process_token=token, sent_age_ms=10
    )


class TestRunningCall:
    async def test_answer_reaches_the_caller_over_another_stream(self):
        async with run_fleet(("vans", "stock")) as fleet:
            held = HeldTarget(fleet.nodes[1])
            async with fleet.nodes[0].connect() as connection:
                await connection.send("/charge/x", method="POST")
                await held.started.wait()
                lose_streams(fleet, 0)
                held.released.set()
                response = await connection.receive()
            assert response.status == 200
            assert len(fleet.nodes[1].target.received) == 1

    async def test_answer_that_was_lost_on_its_way_is_sent_again(self):
        async with run_fleet(("vans", "stock")) as fleet:
            held = HeldTarget(fleet.nodes[1])
            async with fleet.nodes[0].connect() as connection:
                await connection.send("/charge/x", method="POST")
                await held.started.wait()
                target = fleet.nodes[1].sidecar._target
                for stream in fleet.nodes[1].sidecar._links._streams.values():
                    stream._send = lambda message: None
                held.released.set()
                await wait_until(lambda: not target.in_flight)
                lose_streams(fleet, 0)
                response = await connection.receive()
            assert response.status == 200
            assert len(fleet.nodes[1].target.received) == 1

    async def test_restart_of_the_node_leaves_the_outcome_unknown(self):
        async with run_fleet(("vans", "stock")) as fleet:
            held = HeldTarget(fleet.nodes[1])
            async with fleet.nodes[0].connect() as connection:
                await connection.send("/charge/x", method="POST")
                await held.started.wait()
                await fleet.restart(1)
                response = await connection.receive()
            assert response.status in (502, 504)
            assert len(fleet.nodes[1].target.received) == 1


class TestPeerCalls:
    async def test_call_that_did_not_arrive_is_refused_if_it_arrives_later(self):
        blocked = BlockedTarget()
        blocked.released.set()
        async with run_target(blocked) as target:
            calls = PeerCalls(
                target=target, kept_replies=KeptReplies(process_token=TOKEN)
            )
            reply = await calls.find_outcome(make_query(5))
            assert reply.outcome is ForwardOutcome.REFUSED
            late = await calls.run(make_call(5))
            assert late.outcome is ForwardOutcome.REFUSED
            assert not blocked.target.received

    async def test_another_process_does_not_know_the_outcome(self):
        async with run_target(BlockedTarget()) as target:
            calls = PeerCalls(
                target=target, kept_replies=KeptReplies(process_token=TOKEN)
            )
            reply = await calls.find_outcome(make_query(5, token=TOKEN + 1))
            assert reply.outcome is ForwardOutcome.UNKNOWN

    async def test_call_that_waited_when_its_stream_was_lost_did_not_run(self):
        blocked = BlockedTarget()
        async with run_target(blocked) as target:
            calls = PeerCalls(
                target=target, kept_replies=KeptReplies(process_token=TOKEN)
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(calls.run, make_call(1))
                await wait_until(lambda: target.load.running == 1)
                scope = anyio.CancelScope()

                async def wait_in_queue() -> None:
                    with scope:
                        await calls.run(make_call(2))

                tasks.start_soon(wait_in_queue)
                await wait_until(lambda: target.load.waiting == 1)
                scope.cancel()
                await wait_until(lambda: target.load.waiting == 0)
                reply = await calls.find_outcome(make_query(2))
                blocked.released.set()
            assert reply.outcome is ForwardOutcome.REFUSED
            assert len(blocked.target.received) == 1

    async def test_questions_wait_for_the_end_of_the_call(self):
        blocked = BlockedTarget()
        replies: list[ForwardReply] = []
        async with run_target(blocked) as target:
            calls = PeerCalls(
                target=target, kept_replies=KeptReplies(process_token=TOKEN)
            )

            async def ask() -> None:
                replies.append(await calls.find_outcome(make_query(1)))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(calls.run, make_call(1))
                await wait_until(lambda: target.load.running == 1)
                tasks.start_soon(ask)
                tasks.start_soon(ask)
                await wait_until(lambda: len(calls._kept_replies._ends) == 1)
                blocked.released.set()
        outcomes = {(reply.request_id, reply.outcome) for reply in replies}
        assert outcomes == {(2, ForwardOutcome.ANSWERED)}
        assert len(replies) == 2
