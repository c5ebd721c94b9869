"""Direct streams on a transport in memory that the test drives by hand."""

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


class Wire:
    """The transport and the other side of a stream."""

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

    def arrive(self, *messages: Message) -> None:
        """Let messages of the other side arrive in one piece."""
        self._on_data(b"".join(encode_frame(m) for m in messages))

    def arrive_bytes(self, data: bytes) -> None:
        self._on_data(data)

    def end(self) -> None:
        self._on_end(None)

    def take_sent(self) -> list[Message]:
        sent, self._sent = self._sent, []
        return sent


async def refuse_all(node_id: NodeId, request: Request) -> Reply:
    raise AssertionError("no request was expected")


class Side:
    """A stream that has greeted, and its wire."""

    def __init__(self, answer: direct.NodeRequestHandler = refuse_all) -> None:
        self.wire = Wire()
        self.tasks: list[asyncio.Task[None]] = []
        self.closed = 0
        self.stream = DirectStream(
            transport=self.wire,
            answer=answer,
            local=HELLO,
            spawn=self._spawn,
            on_closed=self._note_closed,
        )

    async def greet(self) -> "Side":
        greeting = asyncio.ensure_future(self.stream.handshake())
        await settle()
        self.wire.arrive(PEER)
        assert (await greeting).node_id == "b"
        assert self.wire.take_sent() == [HELLO]
        return self

    def ask(self, timeout_s: float | None = None) -> "asyncio.Task[Reply]":
        request = Heartbeat(request_id=self.stream.next_id())
        return asyncio.ensure_future(self.stream.ask(request, timeout_s=timeout_s))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    def _note_closed(self, stream: DirectStream) -> None:
        self.closed += 1


async def settle() -> None:
    for _ in range(10):
        await asyncio.sleep(0)


def echo(request_id: int, mark: int = 0) -> HeartbeatEcho:
    return HeartbeatEcho(request_id=request_id, member_digest=mark)


class TestReplies:
    @settings(max_examples=60)
    @given(count=st.integers(1, 20), seed=st.integers(0, 2**32))
    async def test_replies_in_any_order(self, count: int, seed: int):
        """Guards against a reply that reaches another request than its own."""
        rng = random.Random(seed)
        side = await Side().greet()
        asked = {n: side.ask() for n in range(1, count + 1)}
        await settle()
        gone = {n for n in asked if rng.random() < 0.3}
        for number in gone:
            asked[number].cancel()
        await settle()
        cancels = {m.request_id for m in side.wire.take_sent() if type(m) is CancelCall}
        assert cancels == gone
        sent: dict[int, int] = {}
        order = [*asked, *rng.choices([*asked, count + 7], k=count)]
        rng.shuffle(order)
        for number in order:
            mark = rng.randrange(2**32)
            sent.setdefault(number, mark)
            side.wire.arrive(echo(number, mark), echo(number, mark + 1))
        await settle()
        for number, task in asked.items():
            if number not in gone:
                assert (await task).member_digest == sent[number]
        assert not side.stream.waits

    async def test_wait_that_is_over_tells_the_other_side(self):
        side = await Side().greet()
        with pytest.raises(TimeoutError):
            await side.ask(timeout_s=0.0)
        request, cancel = side.wire.take_sent()
        assert isinstance(cancel, CancelCall)
        assert cancel.request_id == request.request_id

    async def test_requests_beyond_the_bound_are_not_sent(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        monkeypatch.setattr(direct, "MAX_REQUESTS", 2)
        side = await Side().greet()
        waiting = [side.ask(), side.ask()]
        await settle()
        with pytest.raises(StreamFullError):
            await side.ask()
        assert len(side.wire.take_sent()) == 2
        for task in waiting:
            task.cancel()

    async def test_peer_that_takes_no_bytes_gets_no_more(self):
        """Guards against memory that grows with what a silent peer does not read."""
        side = await Side().greet()
        side.wire.unsent_bytes = direct.MAX_UNSENT_BYTES
        with pytest.raises(StreamFullError):
            await side.ask()
        assert not side.stream.waits


class TestCancellation:
    async def test_is_not_replaced_by_an_error_of_the_stream(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against a request that is repeated for a caller that has left."""
        side = await Side().greet()
        asked = side.ask()
        await settle()

        def fail(item: bytes) -> bool:
            raise OSError("the connection ends just now")

        monkeypatch.setattr(side.wire, "send_now", fail)
        asked.cancel()
        with pytest.raises(asyncio.CancelledError):
            await asked

    async def test_that_cannot_be_told_ends_the_stream(self):
        """Guards against work that goes on at a peer that takes no bytes."""
        side = await Side().greet()
        asked = side.ask()
        await settle()
        side.wire.unsent_bytes = direct.MAX_UNSENT_BYTES
        asked.cancel()
        with pytest.raises(asyncio.CancelledError):
            await asked
        assert side.stream.closed


class TestLoss:
    @pytest.mark.parametrize("how", ["end", "close", "garbage"])
    async def test_waiting_requests_fail_once_and_the_owner_is_told_once(
        self, how: str
    ):
        side = await Side().greet()
        asked = side.ask()
        await settle()
        if how == "end":
            side.wire.end()
        elif how == "close":
            side.stream.close()
        else:
            side.wire.arrive_bytes(b"\xff" * 8)
        side.wire.end()
        with pytest.raises(StreamLostError):
            await asked
        with pytest.raises(StreamLostError):
            await side.ask()
        assert side.closed == 1
        assert side.wire.aborted

    async def test_work_for_a_lost_peer_is_cancelled(self):
        cancelled = asyncio.Event()

        async def answer(node_id: NodeId, request: Request) -> Reply:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                cancelled.set()
                raise
            raise AssertionError

        side = await Side(answer).greet()
        side.wire.arrive(Heartbeat(request_id=5))
        await settle()
        side.wire.end()
        await asyncio.wait_for(cancelled.wait(), 5)


class TestRequests:
    async def test_are_answered_with_the_name_of_their_node(self):
        async def answer(node_id: NodeId, request: Request) -> Reply:
            assert node_id == "b"
            return echo(request.request_id, 9)

        side = await Side(answer).greet()
        side.wire.arrive(Heartbeat(request_id=4))
        await settle()
        assert side.wire.take_sent() == [echo(4, 9)]

    async def test_request_cancelled_before_it_begins_leaves_nothing_behind(self):
        """Guards against entries of requests whose task never took a step."""
        side = await Side().greet()
        side.wire.arrive(Heartbeat(request_id=4), CancelCall(request_id=4))
        await settle()
        assert side.wire.take_sent() == []
        assert side.stream._serving == {}


class TestGreetings:
    @pytest.mark.parametrize(
        "first",
        [
            Heartbeat(request_id=1),
            Hello(
                protocol=99, node_id=NodeId("b"), incarnation=1, domain=DomainName("d")
            ),
        ],
    )
    async def test_stream_that_does_not_begin_with_a_known_greeting_is_refused(
        self, first: Message
    ):
        side = Side()
        greeting = asyncio.ensure_future(side.stream.handshake())
        await settle()
        side.wire.arrive(first)
        with pytest.raises(FrameError):
            await greeting
        assert side.stream.closed

    async def test_peer_that_does_not_greet_in_time_is_left(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        monkeypatch.setattr(direct, "HELLO_TIMEOUT_S", 0.0)
        side = Side()
        with pytest.raises(StreamLostError):
            await side.stream.handshake()
        assert side.closed == 1
