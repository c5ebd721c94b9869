"""Tests of the end of the streams between nodes."""

import anyio
import pytest

from endivebeam_http import MemoryBudget, TaskSet, connect_stream, listen_tcp
from endivebeam_model import DomainName, NodeId
from endivebeam_sidecar import _links as links_module
from endivebeam_sidecar._links import Links
from endivebeam_wire import (
    SIDECAR_PROTOCOL_VERSION,
    DirectStream,
    Heartbeat,
    HeartbeatEcho,
    Hello,
    NodeRequestHandler,
    Reply,
    Request,
)

pytestmark = pytest.mark.anyio
WAIT_S = 10.0


def make_hello(name: str) -> Hello:
    return Hello(
        protocol=SIDECAR_PROTOCOL_VERSION,
        node_id=NodeId(name),
        incarnation=1,
        domain=DomainName("d"),
    )


def make_links(
    name: str, handle_request: NodeRequestHandler, budget: MemoryBudget | None = None
) -> Links:
    return Links(
        local=make_hello(name),
        handle_request=handle_request,
        on_unreachable=lambda node_id: None,
        on_reached=lambda node_id: None,
        budget=budget,
    )


class TestEnd:
    async def test_no_stream_is_accepted_while_requests_end(self):
        """Guards against a node that serves its peers after it has ended.

        A peer connects again as soon as its stream is closed. If the node still
        accepts it, the node goes on holding allowances or a role.
        """
        started, release = anyio.Event(), anyio.Event()

        async def end_slowly(node_id: NodeId, request: Request) -> Reply:
            started.set()
            try:
                await anyio.sleep_forever()
            finally:
                with anyio.CancelScope(shield=True):
                    await release.wait()
            return HeartbeatEcho(request_id=request.request_id)

        links = make_links("ending", end_slowly)
        listener = await listen_tcp("127.0.0.1", 0)
        port = listener.port
        scope = anyio.CancelScope()
        closed = anyio.Event()
        tasks_of_peer = TaskSet()

        async def run() -> None:
            with scope:
                await links.run(listener)

        with anyio.fail_after(WAIT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(run)
                stream = DirectStream(
                    transport=await connect_stream("127.0.0.1", port),
                    handle_request=end_slowly,
                    local=make_hello("peer"),
                    spawn=tasks_of_peer.spawn,
                    on_closed=lambda stream: closed.set(),
                )
                await stream.handshake()
                request = Heartbeat(request_id=stream.next_id())
                tasks_of_peer.spawn(stream.send_request(request))
                await started.wait()
                scope.cancel()
                await closed.wait()
                with pytest.raises(ConnectionRefusedError):
                    await connect_stream("127.0.0.1", port)
                release.set()
        await tasks_of_peer.close()


class TestGreeting:
    async def test_silent_streams_are_few_and_a_node_that_greets_is_served(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against anyone that opens streams to a node and says nothing."""
        monkeypatch.setattr(links_module, "MAX_UNGREETED_STREAMS", 3)

        async def echo(node_id: NodeId, request: Request) -> Reply:
            return HeartbeatEcho(request_id=request.request_id)

        links = make_links("served", echo)
        listener = await listen_tcp("127.0.0.1", 0)
        tasks_of_peer = TaskSet()
        with anyio.fail_after(WAIT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(links.run, listener)
                stream = DirectStream(
                    transport=await connect_stream("127.0.0.1", listener.port),
                    handle_request=echo,
                    local=make_hello("peer"),
                    spawn=tasks_of_peer.spawn,
                    on_closed=lambda stream: None,
                )
                await stream.handshake()
                silent = [
                    await connect_stream("127.0.0.1", listener.port) for _ in range(5)
                ]
                while sum(s.has_ended for s in silent) < 2:
                    await anyio.lowlevel.checkpoint()
                request = Heartbeat(request_id=stream.next_id())
                assert isinstance(await stream.send_request(request), HeartbeatEcho)
                assert sum(s.has_ended for s in silent) == 2
                for raw in silent:
                    raw.abort()
                stream.close()
                tasks.cancel_scope.cancel()
        await tasks_of_peer.close()
