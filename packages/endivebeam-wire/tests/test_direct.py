"""Tests of direct streams over a fake transport that the test controls."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from endivebeam_model import DomainName, NodeId
from endivebeam_wire import (
    CancelCall,
    DirectStream,
    FrameError,
    FrameReader,
    Heartbeat,
    HeartbeatEcho,
    Hello,
    Message,
    Reply,
    Request,
    StreamFullError,
    StreamLostError,
    encode_frame,
)
from endivebeam_wire import _direct as direct

pytestmark = pytest.mark.anyio
HELLO = Hello(protocol=1, node_id=NodeId("a"), incarnation=1, domain=DomainName("d"))
PEER = Hello(protocol=1, node_id=NodeId("b"), incarnation=1, domain=DomainName("d"))


class FakeTransport:
    """A transport whose remote side is played by the test."""

    def __init__(self) -> None:
        self.unsent_bytes = 0
        self.aborted = False
        self._reader = FrameReader()
        self._sent: list[Message] = []
        self._on_data: Callable[[bytes], None] = lambda data: None
        self._on_end: Callable[[Exception | None], None] = lambda error: None

    def consume(
        self,
        on_data: Callable[[bytes], None],
        on_end: Callable[[Exception | None], None],
    ) -> None:
        self._on_data, self._on_end = on_data, on_end

    def send_now(self, item: bytes) -> bool:
        self._sent += self._reader.feed(item)
        return True

    def abort(self) -> None:
        self.aborted = True

    def deliver(self, *messages: Message) -> None:
        """Deliver messages of the remote side in one chunk."""
        self._on_data(b"".join(encode_frame(m) for m in messages))

    def deliver_bytes(self, data: bytes) -> None:
        self._on_data(data)

    def end(self) -> None:
        self._on_end(None)

    def pop_sent(self) -> list[Message]:
        sent, self._sent = self._sent, []
        return sent


async def reject_all(node_id: NodeId, request: Request) -> Reply:
    raise AssertionError("no request was expected")


class StreamHarness:
    """A stream with its fake transport."""

    def __init__(self, handle_request: direct.NodeRequestHandler = reject_all) -> None:
        self.transport = FakeTransport()
        self.tasks: list[asyncio.Task[None]] = []
        self.closed = 0
        self.stream = DirectStream(
            transport=self.transport,
            handle_request=handle_request,
            local=HELLO,
            spawn=self._spawn,
            on_closed=self._count_closed,
        )

    async def complete_handshake(self) -> "StreamHarness":
        handshake_task = asyncio.ensure_future(self.stream.handshake())
        await settle()
        self.transport.deliver(PEER)
        assert (await handshake_task).node_id == "b"
        assert self.transport.pop_sent() == [HELLO]
        return self

    def send_request(self, timeout_s: float | None = None) -> "asyncio.Task[Reply]":
        request = Heartbeat(request_id=self.stream.next_id())
        return asyncio.ensure_future(
            self.stream.send_request(request, timeout_s=timeout_s)
        )

    def _spawn(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    def _count_closed(self, stream: DirectStream) -> None:
        self.closed += 1


async def settle() -> None:
    for _ in range(10):
        await asyncio.sleep(0)


def echo(request_id: int, digest: int = 0) -> HeartbeatEcho:
    return HeartbeatEcho(request_id=request_id, member_digest=digest)


class TestReplies:
    @settings(max_examples=60)
    @given(count=st.integers(1, 20), seed=st.integers(0, 2**32))
    async def test_replies_in_any_order(self, count: int, seed: int):
        """Guards against a reply that reaches another request than its own."""
        rng = random.Random(seed)
        harness = await StreamHarness().complete_handshake()
        pending = {n: harness.send_request() for n in range(1, count + 1)}
        await settle()
        cancelled_ids = {n for n in pending if rng.random() < 0.3}
        for number in cancelled_ids:
            pending[number].cancel()
        await settle()
        cancels = {
            m.request_id for m in harness.transport.pop_sent() if type(m) is CancelCall
        }
        assert cancels == cancelled_ids
        sent: dict[int, int] = {}
        order = [*pending, *rng.choices([*pending, count + 7], k=count)]
        rng.shuffle(order)
        for number in order:
            digest = rng.randrange(2**32)
            sent.setdefault(number, digest)
            harness.transport.deliver(echo(number, digest), echo(number, digest + 1))
        await settle()
        for number, task in pending.items():
            if number not in cancelled_ids:
                assert (await task).member_digest == sent[number]
        assert not harness.stream.has_pending_requests

    async def test_timed_out_request_is_cancelled_at_the_peer(self):
        """Guards against a peer that keeps working on a request that timed out."""
        harness = await StreamHarness().complete_handshake()
        with pytest.raises(TimeoutError):
            await harness.send_request(timeout_s=0.0)
        request, cancel = harness.transport.pop_sent()
        assert isinstance(cancel, CancelCall)
        assert cancel.request_id == request.request_id

    async def test_requests_beyond_the_bound_are_not_sent(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against an unbounded number of requests on one stream."""
        monkeypatch.setattr(direct, "MAX_REQUESTS", 2)
        harness = await StreamHarness().complete_handshake()
        waiting = [harness.send_request(), harness.send_request()]
        await settle()
        with pytest.raises(StreamFullError):
            await harness.send_request()
        assert len(harness.transport.pop_sent()) == 2
        for task in waiting:
            task.cancel()

    async def test_no_requests_are_sent_to_a_peer_that_does_not_read(self):
        """Guards against memory that grows while a peer does not read."""
        harness = await StreamHarness().complete_handshake()
        harness.transport.unsent_bytes = direct.MAX_UNSENT_BYTES
        with pytest.raises(StreamFullError):
            await harness.send_request()
        assert not harness.stream.has_pending_requests


class TestCancellation:
    async def test_cancellation_is_not_replaced_by_a_stream_error(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against retrying a request whose caller has disconnected."""
        harness = await StreamHarness().complete_handshake()
        pending = harness.send_request()
        await settle()

        def fail(item: bytes) -> bool:
            raise OSError("the connection ended")

        monkeypatch.setattr(harness.transport, "send_now", fail)
        pending.cancel()
        with pytest.raises(asyncio.CancelledError):
            await pending

    async def test_cancellation_that_cannot_be_sent_closes_the_stream(self):
        """Guards against work that continues at a peer that does not read."""
        harness = await StreamHarness().complete_handshake()
        pending = harness.send_request()
        await settle()
        harness.transport.unsent_bytes = direct.MAX_UNSENT_BYTES
        pending.cancel()
        with pytest.raises(asyncio.CancelledError):
            await pending
        assert harness.stream.closed


class TestLoss:
    @pytest.mark.parametrize("cause", ["end", "close", "garbage"])
    async def test_pending_requests_fail_and_on_closed_is_called_once(self, cause: str):
        """Guards against requests that wait forever after the stream was lost."""
        harness = await StreamHarness().complete_handshake()
        pending = harness.send_request()
        await settle()
        if cause == "end":
            harness.transport.end()
        elif cause == "close":
            harness.stream.close()
        else:
            harness.transport.deliver_bytes(b"\xff" * 8)
        harness.transport.end()
        with pytest.raises(StreamLostError):
            await pending
        with pytest.raises(StreamLostError):
            await harness.send_request()
        assert harness.closed == 1
        assert harness.transport.aborted

    async def test_requests_of_a_lost_peer_are_cancelled(self):
        """Guards against work whose reply cannot be delivered."""
        cancelled = asyncio.Event()

        async def handle_request(node_id: NodeId, request: Request) -> Reply:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                cancelled.set()
                raise
            raise AssertionError

        harness = await StreamHarness(handle_request).complete_handshake()
        harness.transport.deliver(Heartbeat(request_id=5))
        await settle()
        harness.transport.end()
        await asyncio.wait_for(cancelled.wait(), 5)


class TestRequests:
    async def test_handler_gets_the_node_id_of_the_sender(self):
        """Guards against a request that is attributed to another node."""

        async def handle_request(node_id: NodeId, request: Request) -> Reply:
            assert node_id == "b"
            return echo(request.request_id, 9)

        harness = await StreamHarness(handle_request).complete_handshake()
        harness.transport.deliver(Heartbeat(request_id=4))
        await settle()
        assert harness.transport.pop_sent() == [echo(4, 9)]

    async def test_request_cancelled_before_its_task_starts_is_removed(self):
        """Guards against entries that stay when a task never ran its first step."""
        harness = await StreamHarness().complete_handshake()
        harness.transport.deliver(Heartbeat(request_id=4), CancelCall(request_id=4))
        await settle()
        assert harness.transport.pop_sent() == []
        assert harness.stream._serving_tasks == {}


class TestHandshake:
    @pytest.mark.parametrize(
        "first",
        [
            Heartbeat(request_id=1),
            Hello(
                protocol=99, node_id=NodeId("b"), incarnation=1, domain=DomainName("d")
            ),
        ],
    )
    async def test_stream_without_a_compatible_hello_is_rejected(self, first: Message):
        """Guards against calls to a peer with another protocol version."""
        harness = StreamHarness()
        handshake_task = asyncio.ensure_future(harness.stream.handshake())
        await settle()
        harness.transport.deliver(first)
        with pytest.raises(FrameError):
            await handshake_task
        assert harness.stream.closed

    async def test_stream_is_closed_when_no_hello_arrives_in_time(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against a connection that waits forever for a silent peer."""
        monkeypatch.setattr(direct, "HELLO_TIMEOUT_S", 0.0)
        harness = StreamHarness()
        with pytest.raises(StreamLostError):
            await harness.stream.handshake()
        assert harness.closed == 1


class TestMalformedBytes:
    @settings(max_examples=200)
    @given(st.lists(st.binary(max_size=80), max_size=8), st.booleans())
    async def test_end_only_their_stream(self, parts: list[bytes], framed: bool):
        """Guards against an exception in the callback that receives bytes."""
        harness = await StreamHarness().complete_handshake()
        request = harness.send_request()
        await settle()
        for part in parts:
            if harness.stream.closed:
                break
            header = len(part).to_bytes(4, "big") if framed else b""
            harness.transport.deliver_bytes(header + part)
        harness.stream.close()
        with pytest.raises(StreamLostError):
            await request
        assert harness.closed == 1
        for task in harness.tasks:
            task.cancel()

    async def test_long_first_message_is_not_held(self):
        """Guards against anyone that sends a node long messages without a greeting."""
        harness = StreamHarness()
        handshake_task = asyncio.ensure_future(harness.stream.handshake())
        await settle()
        harness.transport.deliver_bytes((1 << 20).to_bytes(4) + bytes(64 << 10))
        with pytest.raises(FrameError):
            await handshake_task
        assert harness.transport.aborted
        assert harness.closed == 1
