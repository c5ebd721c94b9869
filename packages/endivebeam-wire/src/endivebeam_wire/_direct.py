"""Multiplexed streams that process messages in the callback that receives them."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol, cast, get_args

from endivebeam_model import NodeId

from ._call_messages import CancelCall
from ._codec import FrameError, FrameReader, encode_frame
from ._fleet_messages import Hello
from ._messages import Message, Reply, Request
from ._waiters import PendingRequests, StreamFullError, StreamLostError

HELLO_TIMEOUT_S = 2.0
MAX_UNSENT_BYTES = 8 << 20
MAX_REQUESTS = 4096
# A peer that has not greeted may be anyone.
MAX_HELLO_BYTES = 4 << 10

# One set lookup per message; an isinstance check would try each type of the union.
_REQUEST_TYPES = frozenset(get_args(Request))


class DirectTransport(Protocol):
    """A connection that passes bytes to callbacks and sends without waiting."""

    def consume(
        self,
        on_data: Callable[[bytes], None],
        on_end: Callable[[Exception | None], None],
    ) -> None:
        """Pass all further bytes and the end of the connection to callbacks."""

    def send_now(self, item: bytes) -> bool:
        """Send bytes without waiting; raises when the connection has ended."""

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that the kernel has not accepted yet."""

    def abort(self) -> None:
        """Close the connection at once."""


class Task(Protocol):
    """A running task."""

    def cancel(self) -> Any:
        """Request that the task ends."""


NodeRequestHandler = Callable[[NodeId, Request], Awaitable[Reply]]
"""Handles a request of the given node and returns the reply."""

OnData = Callable[[bytes], None]
OnEnd = Callable[[Exception | None], None]

Spawn = Callable[[Coroutine[Any, Any, None]], Task]


class DirectStream:
    """One connection between two nodes that carries many requests at once.

    Reads and writes need no tasks; only requests of the remote side are served in
    tasks, which ``spawn`` starts. ``on_closed`` is called once at the end, ``on_held``
    with the number of bytes that the stream holds after each message that it sends.
    ``last_received_at`` is the event loop's time when data last arrived.
    """

    def __init__(
        self,
        *,
        transport: DirectTransport,
        handle_request: NodeRequestHandler,
        local: Hello,
        spawn: Spawn,
        on_closed: Callable[["DirectStream"], None],
        on_held: Callable[[int], None] = lambda size: None,
    ) -> None:
        self._transport = transport
        self._handle_request = handle_request
        self._local = local
        self._spawn = spawn
        self._on_closed = on_closed
        self._on_held = on_held
        self._loop = asyncio.get_running_loop()
        self._reader = FrameReader()
        self._pending_requests = PendingRequests(max_pending=MAX_REQUESTS)
        self._serving_tasks: dict[int, Task] = {}
        self._remote_hello: asyncio.Future[Hello] = self._loop.create_future()
        self.remote: Hello | None = None
        self.closed = False
        self.last_received_at = self._loop.time()

    async def handshake(self) -> Hello:
        """Exchange ``Hello`` messages, return the remote one and set ``remote``.

        Raises ``FrameError`` when the first message of the remote side is not a
        ``Hello`` of the same protocol, and ``StreamLostError`` when none arrives
        within ``HELLO_TIMEOUT_S`` seconds.
        """
        self._transport.consume(self._process_data, self._handle_end)
        timer = self._loop.call_later(HELLO_TIMEOUT_S, self.close)
        try:
            self._send(self._local)
            return await self._remote_hello
        except BaseException:
            self.close()
            raise
        finally:
            timer.cancel()

    @property
    def has_pending_requests(self) -> bool:
        """Whether a request of this side waits for its reply."""
        return len(self._pending_requests) > 0

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that the kernel has not accepted yet."""
        return self._transport.unsent_bytes

    @property
    def held_bytes(self) -> int:
        """Number of bytes to be sent and of a message that is received in part."""
        return self._transport.unsent_bytes + self._reader.buffered_bytes

    def report_held(self) -> None:
        """Call ``on_held``; the kernel takes bytes at any time, without an event."""
        self._on_held(0 if self.closed else self.held_bytes)

    def next_id(self) -> int:
        """Return a request id that was not used on this stream before."""
        return self._pending_requests.next_id()

    async def send_request(
        self, request: Request, *, timeout_s: float | None = None
    ) -> Reply:
        """Send a request and return its reply.

        When the waiting task is cancelled or ``timeout_s`` is over, the remote side
        is sent a ``CancelCall``. Raises ``StreamLostError``, ``StreamFullError``,
        ``FrameError`` or ``TimeoutError``. After ``StreamFullError`` and
        ``FrameError`` nothing was sent.
        """
        if self.closed:
            raise StreamLostError("stream is closed")
        future = self._pending_requests.add(request.request_id)
        try:
            self._send(request)
        except (StreamLostError, StreamFullError, FrameError):
            self._pending_requests.discard(request.request_id)
            raise
        try:
            return await self._pending_requests.wait(
                request.request_id, future, timeout_s
            )
        except (asyncio.CancelledError, TimeoutError):
            self._send_cancel(request.request_id)
            raise

    def close(self) -> None:
        """Close the stream; pending requests fail with ``StreamLostError``."""
        if self.closed:
            return
        self.closed = True
        self._transport.abort()
        if not self._remote_hello.done():
            self._remote_hello.set_exception(StreamLostError("peer did not greet"))
            # Marks the exception as retrieved, in case no task awaits the future.
            self._remote_hello.exception()
        for task in list(self._serving_tasks.values()):
            task.cancel()
        self._pending_requests.fail_all()
        self.report_held()
        self._on_closed(self)

    def _process_data(self, data: bytes) -> None:
        self.last_received_at = self._loop.time()
        try:
            messages = self._reader.feed(data)
        except FrameError as error:
            self._fail_handshake(error)
            self.close()
            return
        for message in messages:
            if self.closed:
                return
            if self.remote is None:
                self._process_hello(message)
            else:
                self._dispatch(message)
        if self.remote is None and self._reader.buffered_bytes > MAX_HELLO_BYTES:
            self._fail_handshake(FrameError("the first message is too long"))
            self.close()

    def _process_hello(self, message: Message) -> None:
        if not isinstance(message, Hello):
            self._fail_handshake(
                FrameError("the first message of a stream must be Hello")
            )
            self.close()
        elif message.protocol != self._local.protocol:
            self._fail_handshake(
                FrameError(
                    f"peer speaks protocol {message.protocol}, "
                    f"this node speaks {self._local.protocol}"
                )
            )
            self.close()
        else:
            self.remote = message
            if not self._remote_hello.done():
                self._remote_hello.set_result(message)

    def _fail_handshake(self, error: Exception) -> None:
        if not self._remote_hello.done():
            self._remote_hello.set_exception(error)
            self._remote_hello.exception()

    def _handle_end(self, error: Exception | None) -> None:
        self.close()

    def _dispatch(self, message: Message) -> None:
        if type(message) in _REQUEST_TYPES:
            # A request beyond the bound gets no reply. Its sender has the same bound
            # and never exceeds it.
            request = cast(Request, message)
            if len(self._serving_tasks) < MAX_REQUESTS:
                self._serving_tasks[request.request_id] = self._spawn(
                    self._serve(request)
                )
        elif isinstance(message, CancelCall):
            # A task cancelled before its first step never removes its own entry.
            task = self._serving_tasks.pop(message.request_id, None)
            if task is not None:
                task.cancel()
        elif not isinstance(message, Hello):
            self._pending_requests.deliver(cast(Reply, message))

    async def _serve(self, request: Request) -> None:
        assert self.remote is not None
        try:
            reply = await self._handle_request(self.remote.node_id, request)
            if not self.closed:
                self._send(reply)
        except (StreamLostError, StreamFullError, FrameError):
            # The remote side detects it by the end of the stream or its own timeout.
            return
        finally:
            self._serving_tasks.pop(request.request_id, None)

    def _send_cancel(self, request_id: int) -> None:
        # An error must not replace the cancellation of the waiting task. If the
        # cancellation cannot be sent, closing the stream ends the peer's work too.
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
        self.report_held()
