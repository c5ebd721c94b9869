"""Multiplexed streams that read in one task and serve each request in its own."""

import contextlib
from collections.abc import Awaitable, Callable
from typing import cast, get_args

import anyio
import anyio.abc

from ._call_messages import CancelCall
from ._codec import FrameError, FrameReader, encode_frame
from ._fleet_messages import Hello
from ._messages import Message, Reply, Request
from ._waiters import PendingRequests, StreamFullError, StreamLostError

RECEIVE_BYTES = 65536
HELLO_TIMEOUT_S = 2.0
# Longer than the time without data after which a peer is considered lost.
SEND_TIMEOUT_S = 2.0
MAX_UNSENT_BYTES = 8 << 20
MAX_REQUESTS = 4096


# One set lookup per message; an isinstance check would try each type of the union.
_REQUEST_TYPES = frozenset(get_args(Request))


RequestHandler = Callable[["PeerStream", Request], Awaitable[Reply]]


class PeerStream:
    """One connection between two nodes that carries many requests at once.

    ``handle_request`` handles requests of the remote side, each in its own task.
    ``last_received_at`` is the event loop's time when data last arrived.
    """

    def __init__(
        self,
        *,
        stream: anyio.abc.ByteStream,
        handle_request: RequestHandler,
        local: Hello,
    ) -> None:
        self._stream = stream
        self._handle_request = handle_request
        self._local = local
        self._reader = FrameReader()
        self._pending_requests = PendingRequests(max_pending=MAX_REQUESTS)
        self._serving_tasks: dict[int, anyio.TaskHandle[None]] = {}
        self._unsent: list[bytes] = []
        self._unsent_bytes = 0
        self._flushing = False
        self._early_messages: list[Message] = []
        self.remote: Hello | None = None
        self.closed = False
        self.last_received_at = anyio.current_time()

    async def handshake(self) -> Hello:
        """Exchange ``Hello`` messages, return the remote one and set ``remote``.

        Raises ``FrameError`` when the first message of the remote side is not a
        ``Hello`` of the same protocol, and ``StreamLostError`` when none arrives
        within ``HELLO_TIMEOUT_S`` seconds.
        """
        await self._send(self._local)
        with anyio.move_on_after(HELLO_TIMEOUT_S):
            while True:
                messages = self._reader.feed(await self._receive())
                if not messages:
                    continue
                first, *self._early_messages = messages
                if not isinstance(first, Hello):
                    raise FrameError("the first message of a stream must be Hello")
                if first.protocol != self._local.protocol:
                    raise FrameError(
                        f"peer speaks protocol {first.protocol}, "
                        f"this node speaks {self._local.protocol}"
                    )
                self.remote = first
                return first
        raise StreamLostError("peer did not greet in time")

    @property
    def has_pending_requests(self) -> bool:
        """Whether a request of this side waits for its reply."""
        return len(self._pending_requests) > 0

    def next_id(self) -> int:
        """Return a request id that was not used on this stream before."""
        return self._pending_requests.next_id()

    async def send_request(
        self, request: Request, *, timeout_s: float | None = None
    ) -> Reply:
        """Send a request and return its reply.

        When the waiting task is cancelled or ``timeout_s`` is over, the remote side
        is sent a ``CancelCall``. Raises ``StreamLostError``, ``StreamFullError`` or
        ``TimeoutError``.
        """
        if self.closed:
            raise StreamLostError("stream is closed")
        future = self._pending_requests.add(request.request_id)
        try:
            await self._send(request)
            return await self._pending_requests.wait(
                request.request_id, future, timeout_s
            )
        except (anyio.get_cancelled_exc_class(), TimeoutError):
            await self._send_cancel(request.request_id)
            raise
        finally:
            self._pending_requests.discard(request.request_id)

    async def run(self) -> None:
        """Read until the stream ends; serve requests and deliver replies."""
        try:
            async with anyio.create_task_group() as tasks:
                for message in self._early_messages:
                    self._dispatch(message, tasks)
                await self._read(tasks)
                tasks.cancel_scope.cancel()
        finally:
            self._mark_closed()
            with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
                await anyio.aclose_forcefully(self._stream)

    async def close(self) -> None:
        """Close the stream; pending requests fail with ``StreamLostError``."""
        self._mark_closed()
        await anyio.aclose_forcefully(self._stream)

    def cancel_served_request(self, request_id: int) -> None:
        """Cancel the task that serves a request of the remote side."""
        task = self._serving_tasks.get(request_id)
        if task is not None:
            task.cancel()

    async def _read(self, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            try:
                data = await self._receive()
                messages = self._reader.feed(data)
            except (StreamLostError, FrameError):
                return
            self.last_received_at = anyio.current_time()
            for message in messages:
                self._dispatch(message, tasks)

    def _dispatch(self, message: Message, tasks: anyio.abc.TaskGroup) -> None:
        match message:
            case Hello():
                return
            case CancelCall(request_id=request_id):
                self.cancel_served_request(request_id)
            case _ if type(message) in _REQUEST_TYPES:
                # A request beyond the bound gets no reply. Its sender has the same
                # bound and never exceeds it.
                request = cast(Request, message)
                if len(self._serving_tasks) < MAX_REQUESTS:
                    # Stored before the task runs, because its cancellation and
                    # further requests may have arrived in the same read.
                    task = tasks.create_task(self._serve(request))
                    self._serving_tasks[request.request_id] = task
            case _:
                self._pending_requests.deliver(cast(Reply, message))

    async def _serve(self, request: Request) -> None:
        try:
            reply = await self._handle_request(self, request)
            await self._send(reply)
        except (StreamLostError, StreamFullError):
            pass
        finally:
            self._serving_tasks.pop(request.request_id, None)

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive(RECEIVE_BYTES)
        except (anyio.EndOfStream, anyio.ClosedResourceError, OSError) as error:
            raise StreamLostError("stream ended") from error
        except anyio.BrokenResourceError as error:
            raise StreamLostError("stream broke") from error

    async def _send_cancel(self, request_id: int) -> None:
        if self.closed:
            return
        frame = encode_frame(CancelCall(request_id=request_id))
        self._unsent.append(frame)
        self._unsent_bytes += len(frame)
        with contextlib.suppress(StreamLostError):
            await self.flush()

    async def _send(self, message: Message) -> None:
        if self.closed:
            raise StreamLostError("stream is closed")
        frame = encode_frame(message)
        if self._unsent_bytes + len(frame) > MAX_UNSENT_BYTES:
            raise StreamFullError("too many bytes wait on this stream")
        self._unsent.append(frame)
        self._unsent_bytes += len(frame)
        await self.flush()

    async def flush(self) -> None:
        """Write the unsent frames; the first task that calls this writes for all.

        Closes the stream when the peer accepts no bytes for ``SEND_TIMEOUT_S``
        seconds.
        """
        if self._flushing:
            return
        self._flushing = True
        try:
            # Shielded, so that a cancelled caller does not drop frames of other tasks.
            with anyio.CancelScope(shield=True):
                while self._unsent and not self.closed:
                    data = b"".join(self._unsent)
                    self._unsent.clear()
                    self._unsent_bytes = 0
                    # The shielded write cannot be cancelled, so a peer that stopped
                    # reading would block it without this limit.
                    with anyio.fail_after(SEND_TIMEOUT_S):
                        await self._stream.send(data)
        except TimeoutError as error:
            self._mark_closed()
            await anyio.aclose_forcefully(self._stream)
            raise StreamLostError("peer takes no bytes") from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            self._mark_closed()
            raise StreamLostError("stream broke while sending") from error
        finally:
            self._flushing = False

    def _mark_closed(self) -> None:
        self.closed = True
        self._unsent.clear()
        self._unsent_bytes = 0
        self._pending_requests.fail_all()
