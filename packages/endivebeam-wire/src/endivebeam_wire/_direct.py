"""Multiplexed streams that handle messages in the turn in which they arrive."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol, cast, get_args

from endivebeam_model import NodeId

from ._call_messages import CancelCall
from ._codec import FrameError, FrameReader, encode_frame
from ._fleet_messages import Hello
from ._messages import Message, Reply, Request
from ._waiters import StreamFullError, StreamLostError, Waiters

HELLO_TIMEOUT_S = 2.0
MAX_UNSENT_BYTES = 8 << 20
MAX_REQUESTS = 4096

# One look-up for each message; an isinstance check walks the whole union.
_REQUESTS = frozenset(get_args(Request))


class DirectTransport(Protocol):
    """A connection that passes bytes to callbacks and sends without waiting."""

    def consume(
        self,
        on_data: Callable[[bytes], None],
        on_end: Callable[[Exception | None], None],
    ) -> None:
        """Pass further bytes and the end to callbacks."""

    def send_now(self, item: bytes) -> bool:
        """Send bytes; raises an error when the connection has ended."""

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that the kernel has not taken yet."""

    def abort(self) -> None:
        """Close the connection at once."""


class Task(Protocol):
    """A started task."""

    def cancel(self) -> Any:
        """Ask the task to end."""


NodeRequestHandler = Callable[[NodeId, Request], Awaitable[Reply]]
"""Answers a request of the node that is named."""

OnData = Callable[[bytes], None]
OnEnd = Callable[[Exception | None], None]

Spawn = Callable[[Coroutine[Any, Any, None]], Task]


class DirectStream:
    """One connection between two nodes that carries many requests at once.

    No task reads or writes; only the answers to requests of the other side are
    tasks, which ``spawn`` starts. ``on_closed`` is called once at the end.
    ``last_received_at`` is the loop's time at the latest bytes.
    """

    def __init__(
        self,
        *,
        transport: DirectTransport,
        answer: NodeRequestHandler,
        local: Hello,
        spawn: Spawn,
        on_closed: Callable[["DirectStream"], None],
    ) -> None:
        self._transport = transport
        self._answer = answer
        self._local = local
        self._spawn = spawn
        self._on_closed = on_closed
        self._loop = asyncio.get_running_loop()
        self._reader = FrameReader()
        self._waiters = Waiters(most=MAX_REQUESTS)
        self._serving: dict[int, Task] = {}
        self._greeting: asyncio.Future[Hello] = self._loop.create_future()
        self.remote: Hello | None = None
        self.closed = False
        self.last_received_at = self._loop.time()

    async def handshake(self) -> Hello:
        """Exchange greetings; the remote node is known afterwards.

        Raises ``FrameError`` when the other side does not greet first and
        ``StreamLostError`` when it does not greet in time.
        """
        self._transport.consume(self._take, self._end)
        timer = self._loop.call_later(HELLO_TIMEOUT_S, self.close)
        try:
            self._send(self._local)
            return await self._greeting
        except BaseException:
            self.close()
            raise
        finally:
            timer.cancel()

    @property
    def waits(self) -> bool:
        """Whether a request waits for its reply."""
        return len(self._waiters) > 0

    def next_id(self) -> int:
        """Return a request id that was never used on this stream."""
        return self._waiters.next_id()

    async def ask(self, request: Request, *, timeout_s: float | None = None) -> Reply:
        """Send a request and return its reply.

        When the waiting task is cancelled or the time is over, the other side is
        told to cancel. Raises ``StreamLostError``, ``StreamFullError``,
        ``FrameError`` or ``TimeoutError``; nothing was sent after the second and
        the third.
        """
        if self.closed:
            raise StreamLostError("stream is closed")
        waiter = self._waiters.add(request.request_id)
        try:
            self._send(request)
        except (StreamLostError, StreamFullError, FrameError):
            self._waiters.forget(request.request_id)
            raise
        try:
            return await self._waiters.wait(request.request_id, waiter, timeout_s)
        except (asyncio.CancelledError, TimeoutError):
            self._send_cancel(request.request_id)
            raise

    def close(self) -> None:
        """Close the stream; waiting requests fail with ``StreamLostError``."""
        if self.closed:
            return
        self.closed = True
        self._transport.abort()
        if not self._greeting.done():
            self._greeting.set_exception(StreamLostError("peer did not greet"))
            # Nobody may wait for the greeting any more.
            self._greeting.exception()
        for task in list(self._serving.values()):
            task.cancel()
        self._waiters.lose_all()
        self._on_closed(self)

    def _take(self, data: bytes) -> None:
        self.last_received_at = self._loop.time()
        try:
            messages = self._reader.feed(data)
        except FrameError as error:
            self._fail_greeting(error)
            self.close()
            return
        for message in messages:
            if self.closed:
                return
            if self.remote is None:
                self._greet(message)
            else:
                self._dispatch(message)

    def _greet(self, message: Message) -> None:
        if not isinstance(message, Hello):
            self._fail_greeting(
                FrameError("the first message of a stream must be Hello")
            )
            self.close()
        elif message.protocol != self._local.protocol:
            self._fail_greeting(
                FrameError(
                    f"peer speaks protocol {message.protocol}, "
                    f"this node speaks {self._local.protocol}"
                )
            )
            self.close()
        else:
            self.remote = message
            if not self._greeting.done():
                self._greeting.set_result(message)

    def _fail_greeting(self, error: Exception) -> None:
        if not self._greeting.done():
            self._greeting.set_exception(error)
            self._greeting.exception()

    def _end(self, error: Exception | None) -> None:
        self.close()

    def _dispatch(self, message: Message) -> None:
        if type(message) in _REQUESTS:
            # A request beyond the bound gets no answer; its sender has the same
            # bound and never exceeds it.
            request = cast(Request, message)
            if len(self._serving) < MAX_REQUESTS:
                self._serving[request.request_id] = self._spawn(self._serve(request))
        elif isinstance(message, CancelCall):
            # A task that was cancelled before its first step never ends its entry.
            task = self._serving.pop(message.request_id, None)
            if task is not None:
                task.cancel()
        elif not isinstance(message, Hello):
            self._waiters.deliver(cast(Reply, message))

    async def _serve(self, request: Request) -> None:
        assert self.remote is not None
        try:
            reply = await self._answer(self.remote.node_id, request)
            if not self.closed:
                self._send(reply)
        except (StreamLostError, StreamFullError, FrameError):
            # The other side learns it from the end of the stream or its own timeout.
            return
        finally:
            self._serving.pop(request.request_id, None)

    def _send_cancel(self, request_id: int) -> None:
        # An error must not replace the cancellation of the task that waits. A peer
        # that cannot be told has to lose the stream, which ends its work as well.
        if self.closed:
            return
        try:
            self._send(CancelCall(request_id=request_id))
        except StreamFullError:
            self.close()
        except StreamLostError:
            return

    def _send(self, message: Message) -> None:
        frame = encode_frame(message)
        if self._transport.unsent_bytes + len(frame) > MAX_UNSENT_BYTES:
            raise StreamFullError("too many bytes wait on this stream")
        try:
            self._transport.send_now(frame)
        except Exception as error:
            self.close()
            raise StreamLostError("stream broke while sending") from error
