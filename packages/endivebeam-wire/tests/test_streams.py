"""Tests of peer streams: replies, cancellation, lost connections and limits."""

import contextlib
import math
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import anyio.abc
import anyio.lowlevel
import pytest
from anyio.streams.stapled import StapledObjectStream
from hypothesis import given, settings
from hypothesis import strategies as st

from endivebeam_model import DomainName, NodeId
from endivebeam_standins.virtual_loop import VirtualLoop
from endivebeam_wire import (
    CancelCall,
    FrameError,
    FrameReader,
    Heartbeat,
    HeartbeatEcho,
    Hello,
    Message,
    PeerStream,
    Reply,
    Request,
    RequestHandler,
    SnapshotRequest,
    StreamFullError,
    StreamLostError,
    encode_frame,
)
from endivebeam_wire import _streams as streams

pytestmark = pytest.mark.anyio

VIRTUAL = ("asyncio", {"loop_factory": VirtualLoop})
HELLO = Hello(protocol=1, node_id=NodeId("a"), incarnation=1, domain=DomainName("d"))


class Pipe(StapledObjectStream[bytes]):
    """One end of an in-memory pair of byte streams."""

    async def receive(self, max_bytes: int = 65536) -> bytes:
        return await super().receive()


def make_pipes(size: float = math.inf) -> tuple[Pipe, Pipe]:
    to_a, from_b = anyio.create_memory_object_stream[bytes](size)
    to_b, from_a = anyio.create_memory_object_stream[bytes](size)
    return Pipe(to_a, from_a), Pipe(to_b, from_b)


class Remote:
    """The remote side of a stream, played by the test."""

    def __init__(self, pipe: Pipe) -> None:
        self.pipe = pipe
        self.received: list[Message] = []
        self._reader = FrameReader()

    async def send(self, *messages: Message) -> None:
        await self.pipe.send(b"".join(encode_frame(m) for m in messages))

    async def read(self, count: int) -> list[Message]:
        """Return the next messages that the local side sent."""
        while len(self.received) < count:
            self.received += self._reader.feed(await self.pipe.receive())
        taken, self.received = self.received[:count], self.received[count:]
        return taken


async def settle() -> None:
    """Run every task until it waits; no task waits for a timer here."""
    for _ in range(30):
        await anyio.lowlevel.checkpoint()


async def reject_all(stream: PeerStream, request: Request) -> Reply:
    raise AssertionError("no request was expected")


@asynccontextmanager
async def open_stream(
    handle_request: RequestHandler = reject_all, size: float = math.inf
) -> AsyncIterator[tuple[PeerStream, Remote, anyio.abc.TaskGroup]]:
    ours, theirs = make_pipes(size)
    remote = Remote(theirs)
    stream = PeerStream(stream=ours, handle_request=handle_request, local=HELLO)  # type: ignore[arg-type]
    with anyio.fail_after(30):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(stream.handshake)
            await remote.send(HELLO)
            await remote.read(1)
            await settle()
            tasks.start_soon(stream.run)
            yield stream, remote, tasks
            tasks.cancel_scope.cancel()


def echo(request_id: int, digest: int = 0) -> HeartbeatEcho:
    return HeartbeatEcho(request_id=request_id, member_digest=digest)


class TestReplies:
    @settings(max_examples=60)
    @given(count=st.integers(1, 20), seed=st.integers(0, 2**32))
    async def test_replies_in_any_order(self, count: int, seed: int):
        """Guards against a reply that reaches another request than its own.

        Replies arrive late, twice, out of order, with unknown ids and for requests
        that were cancelled; a dictionary of the replies sent is the reference.
        """
        rng = random.Random(seed)
        replies: dict[int, int] = {}
        sent: dict[int, int] = {}
        scopes: dict[int, anyio.CancelScope] = {}

        async def send_request(stream: PeerStream, request_id: int) -> None:
            with anyio.CancelScope() as scope:
                scopes[request_id] = scope
                reply = await stream.send_request(Heartbeat(request_id=request_id))
                assert isinstance(reply, HeartbeatEcho)
                assert reply.request_id == request_id
                replies[request_id] = reply.member_digest

        async with open_stream() as (stream, remote, tasks):
            ids = [stream.next_id() for _ in range(count)]
            for request_id in ids:
                tasks.start_soon(send_request, stream, request_id)
            await remote.read(count)
            cancelled_ids = {i for i in ids if rng.random() < 0.3}
            for request_id in cancelled_ids:
                scopes[request_id].cancel()
            cancels = await remote.read(len(cancelled_ids))
            assert {
                m.request_id for m in cancels if isinstance(m, CancelCall)
            } == cancelled_ids
            order = ids + rng.choices([*ids, count + 7, -1], k=count)
            rng.shuffle(order)
            for request_id in order:
                digest = rng.randrange(2**32)
                sent.setdefault(request_id, digest)
                await remote.send(
                    echo(request_id, digest), echo(request_id, digest + 1)
                )
                if rng.random() < 0.5:
                    await settle()
            await settle()
            # Ids are never reused, so a late reply matches no later request.
            new_id = stream.next_id()
            tasks.start_soon(send_request, stream, new_id)
            await remote.read(1)
            await remote.send(*(echo(i, 1) for i in ids))
            await settle()
            assert new_id not in replies
            assert replies == {i: sent[i] for i in ids if i not in cancelled_ids}

    async def test_lost_stream_fails_every_request(self):
        """Guards against requests that wait forever after the stream ended."""
        failed: list[int] = []

        async def send_request(stream: PeerStream, request_id: int) -> None:
            with pytest.raises(StreamLostError):
                await stream.send_request(Heartbeat(request_id=request_id))
            failed.append(request_id)

        async with open_stream() as (stream, remote, tasks):
            for request_id in range(10):
                tasks.start_soon(send_request, stream, request_id)
            await remote.read(10)
            await remote.pipe.aclose()
            await settle()
            assert sorted(failed) == list(range(10))
            with pytest.raises(StreamLostError):
                await stream.send_request(Heartbeat(request_id=11))

    async def test_malformed_bytes_close_the_stream(self):
        """Guards against further reads when the start of the next frame is unknown."""
        async with open_stream() as (stream, remote, _):
            await remote.pipe.send(b"\x00\x00\x00\x01\xc1")
            await settle()
            assert stream.closed

    @pytest.mark.parametrize(
        "first",
        [echo(1), Hello(protocol=9, node_id=NodeId("b"), incarnation=1, domain="d")],
    )
    async def test_stream_without_a_compatible_hello_is_rejected(self, first: Message):
        """Guards against calls to a peer with another protocol version."""
        ours, theirs = make_pipes()
        stream = PeerStream(stream=ours, handle_request=reject_all, local=HELLO)  # type: ignore[arg-type]
        await Remote(theirs).send(first)
        with pytest.raises(FrameError):
            await stream.handshake()


class TestServing:
    @pytest.mark.parametrize("together", [True, False])
    async def test_cancel_ends_the_served_request(self, together: bool):
        """Guards against work for a caller that has disconnected.

        The request and its cancellation may arrive in one read.
        """
        started: list[int] = []
        ended: list[int] = []

        async def hang(stream: PeerStream, request: Request) -> Reply:
            started.append(request.request_id)
            try:
                await anyio.sleep_forever()
            finally:
                ended.append(request.request_id)

        async with open_stream(hang) as (_, remote, _):
            await remote.send(Heartbeat(request_id=1))
            await settle()
            if together:
                await remote.send(Heartbeat(request_id=2), CancelCall(request_id=2))
            else:
                await remote.send(Heartbeat(request_id=2))
                await settle()
                await remote.send(CancelCall(request_id=2))
            await settle()
            assert set(started) - set(ended) == {1}

    async def test_lost_stream_ends_served_requests(self):
        """Guards against work whose reply cannot be delivered."""
        ended: list[int] = []

        async def hang(stream: PeerStream, request: Request) -> Reply:
            try:
                await anyio.sleep_forever()
            finally:
                ended.append(request.request_id)

        async with open_stream(hang) as (_, remote, _):
            await remote.send(*(Heartbeat(request_id=i) for i in range(5)))
            await settle()
            await remote.pipe.aclose()
            await settle()
            assert sorted(ended) == list(range(5))

    async def test_served_requests_are_bounded(self, monkeypatch: pytest.MonkeyPatch):
        """Guards against an unbounded number of tasks, also within one read."""
        monkeypatch.setattr(streams, "MAX_REQUESTS", 3)
        started: list[int] = []

        async def hang(stream: PeerStream, request: Request) -> Reply:
            started.append(request.request_id)
            await anyio.sleep_forever()
            raise AssertionError

        async with open_stream(hang) as (_, remote, _):
            await remote.send(*(Heartbeat(request_id=i) for i in range(9)))
            await settle()
            assert started == [0, 1, 2]


class TestBounds:
    async def test_pending_requests_are_bounded(self, monkeypatch: pytest.MonkeyPatch):
        """Guards against an unbounded number of requests on one stream."""
        monkeypatch.setattr(streams, "MAX_REQUESTS", 3)
        async with open_stream() as (stream, remote, tasks):
            for request_id in range(3):
                tasks.start_soon(stream.send_request, Heartbeat(request_id=request_id))
            await remote.read(3)
            with pytest.raises(StreamFullError):
                await stream.send_request(Heartbeat(request_id=4))
            await remote.send(*(echo(i) for i in range(3)))
            await settle()
            assert not stream.has_pending_requests

    @pytest.mark.parametrize("anyio_backend", [VIRTUAL])
    async def test_unsent_bytes_are_bounded(self, monkeypatch: pytest.MonkeyPatch):
        """Guards against memory that grows while a peer does not read."""
        monkeypatch.setattr(streams, "MAX_UNSENT_BYTES", 100)
        full = 0
        lost: list[int] = []

        async def send_request(stream: PeerStream, request_id: int) -> None:
            nonlocal full
            try:
                await stream.send_request(SnapshotRequest(request_id=request_id))
            except StreamFullError:
                full += 1
            except StreamLostError:
                lost.append(request_id)

        async with open_stream(size=1) as (stream, _, tasks):
            for request_id in range(100):
                tasks.start_soon(send_request, stream, request_id)
            await settle()
            assert not lost
            frame = len(encode_frame(SnapshotRequest(request_id=1)))
            assert full >= 100 - 100 // frame - 2
            await anyio.sleep(streams.SEND_TIMEOUT_S + 0.1)
            assert len(lost) == 100 - full
            assert stream.closed

    @pytest.mark.parametrize("anyio_backend", [VIRTUAL])
    async def test_peer_that_does_not_read_blocks_no_cancelled_caller(self):
        """Guards against a blocked write that delays a caller beyond its deadline."""

        async def fill(stream: PeerStream) -> None:
            with contextlib.suppress(StreamLostError):
                await stream.send_request(Heartbeat(request_id=0))

        async with open_stream(size=1) as (stream, _, tasks):
            tasks.start_soon(fill, stream)
            await settle()
            started = anyio.current_time()
            with anyio.move_on_after(0.5), pytest.raises(StreamLostError):
                await stream.send_request(Heartbeat(request_id=1))
            assert anyio.current_time() - started <= streams.SEND_TIMEOUT_S
            assert stream.closed

    async def test_next_ids_are_unique(self):
        """Guards against an id that is used twice on one stream."""
        async with open_stream() as (stream, _, _):
            assert len({stream.next_id() for _ in range(1000)}) == 1000
