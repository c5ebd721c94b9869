"""Silent peer streams are closed in time; the next use opens another stream."""

import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest
from anyio.streams.stapled import StapledObjectStream

from endivebeam_model import Address, DomainName, NodeId
from endivebeam_node import _peers as peers_module
from endivebeam_node._peers import Peers
from endivebeam_standins.virtual_loop import VirtualLoop
from endivebeam_wire import (
    Heartbeat,
    HeartbeatEcho,
    Hello,
    PeerStream,
    Reply,
    Request,
    SnapshotRequest,
    StreamLostError,
)

pytestmark = pytest.mark.anyio

ADDRESS = Address("peer", 1)
HELLO = Hello(protocol=1, node_id=NodeId("a"), incarnation=1, domain=DomainName("d"))
# Design document, section 12: time to close and replace a silent stream.
SILENT_BOUND_S = 2.0


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, object]]:
    return "asyncio", {"loop_factory": VirtualLoop}


class Pipe(StapledObjectStream[bytes]):
    """One end of a connection that can drop what it sends without being closed."""

    silent = False

    async def receive(self, max_bytes: int = 65536) -> bytes:
        return await super().receive()

    async def send(self, item: bytes) -> None:
        if not self.silent:
            await super().send(item)


class Network:
    """Connections to one remote node that replies to heartbeats only."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self.pipes: list[Pipe] = []
        self.remotes: list[PeerStream] = []
        self.lost: list[PeerStream] = []
        self._tasks = tasks

    async def connect(self, host: str, port: int) -> Pipe:
        ours, theirs = make_pipes()
        remote = PeerStream(stream=theirs, handle_request=handle_request, local=HELLO)  # type: ignore[arg-type]
        self.pipes.append(theirs)
        self.remotes.append(remote)
        self._tasks.start_soon(self._serve, remote)
        return ours

    async def _serve(self, remote: PeerStream) -> None:
        await remote.handshake()
        await remote.run()


def make_pipes() -> tuple[Pipe, Pipe]:
    to_a, from_b = anyio.create_memory_object_stream[bytes](math.inf)
    to_b, from_a = anyio.create_memory_object_stream[bytes](math.inf)
    return Pipe(to_a, from_a), Pipe(to_b, from_b)


async def handle_request(stream: PeerStream, request: Request) -> Reply:
    if not isinstance(request, Heartbeat):
        await anyio.sleep_forever()
    return HeartbeatEcho(request_id=request.request_id)


@asynccontextmanager
async def open_peers(
    monkeypatch: pytest.MonkeyPatch, neighbor: bool
) -> AsyncIterator[tuple[Peers, Network, anyio.abc.TaskGroup]]:
    # One hour of virtual time, so that a test fails instead of hanging.
    with anyio.fail_after(3600.0):
        async with anyio.create_task_group() as tasks:
            network = Network(tasks)
            monkeypatch.setattr(peers_module.anyio, "connect_tcp", network.connect)
            peers = Peers(
                tasks=tasks,
                handle_request=handle_request,
                hello=lambda: HELLO,
                heartbeat=lambda request_id: Heartbeat(request_id=request_id),
                on_echo=lambda stream, echo, at: None,
                on_lost=network.lost.append,
                is_neighbor=lambda address: neighbor,
            )
            yield peers, network, tasks
            tasks.cancel_scope.cancel()


class TestSilence:
    @pytest.mark.parametrize("neighbor", [True, False])
    async def test_silent_stream_is_closed_and_replaced(
        self, monkeypatch: pytest.MonkeyPatch, neighbor: bool
    ):
        """Guards against calls that wait on a silent connection."""
        async with open_peers(monkeypatch, neighbor) as (peers, network, _):
            first = await peers.connect(ADDRESS)
            await anyio.sleep(7.3)
            assert not first.closed
            network.pipes[0].silent = True
            started = anyio.current_time()
            with pytest.raises(StreamLostError):
                await peers.send_request(
                    ADDRESS, SnapshotRequest(request_id=first.next_id())
                )
            assert anyio.current_time() - started <= SILENT_BOUND_S
            second = await peers.connect(ADDRESS)
            assert second is not first
            assert network.lost == [first]
            assert not second.closed

    async def test_slow_reply_keeps_the_stream(self, monkeypatch: pytest.MonkeyPatch):
        """Guards against closing a stream because one call takes long."""
        async with open_peers(monkeypatch, False) as (peers, _, tasks):
            stream = await peers.connect(ADDRESS)
            tasks.start_soon(
                stream.send_request, SnapshotRequest(request_id=stream.next_id())
            )
            await anyio.sleep(29.0)
            assert not stream.closed

    async def test_idle_stream_is_closed(self, monkeypatch: pytest.MonkeyPatch):
        """Guards against idle streams that stay open or are reported as lost."""
        async with open_peers(monkeypatch, False) as (peers, network, _):
            stream = await peers.connect(ADDRESS)
            await anyio.sleep(peers_module.IDLE_TIMEOUT_S + 1.0)
            assert stream.closed
            assert network.lost == []

    async def test_silent_accepted_streams_are_closed(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against silent streams that use up the limit on accepted streams."""
        monkeypatch.setattr(peers_module, "MAX_ACCEPTED", 1)
        async with open_peers(monkeypatch, False) as (peers, _, tasks):
            for _ in range(3):
                ours, theirs = make_pipes()
                opener = PeerStream(
                    stream=theirs,
                    handle_request=handle_request,
                    local=HELLO,  # type: ignore[arg-type]
                )
                tasks.start_soon(peers.accept, ours)
                await opener.handshake()
                await anyio.sleep(peers_module.ACCEPTED_IDLE_TIMEOUT_S + 1.0)

    async def test_accepted_stream_with_heartbeats_stays(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against closing an accepted stream that is in use."""
        async with open_peers(monkeypatch, False) as (peers, _, tasks):
            ours, theirs = make_pipes()
            opener = PeerStream(
                stream=theirs,
                handle_request=handle_request,
                local=HELLO,  # type: ignore[arg-type]
            )
            tasks.start_soon(peers.accept, ours)
            await opener.handshake()
            tasks.start_soon(opener.run)
            for _ in range(10):
                await anyio.sleep(peers_module.IDLE_TIMEOUT_S)
                await opener.send_request(Heartbeat(request_id=opener.next_id()))
