"""Multiplexed streams between two nodes."""

import contextlib
from collections.abc import Awaitable, Callable
from typing import cast, get_args

import anyio
import anyio.abc

from ._call_messages import CancelCall
from ._codec import FrameError, FrameReader, encode_frame
from ._fleet_messages import Hello
from ._messages import Message, Reply, Request
from ._waiters import StreamFullError, StreamLostError, Waiters

RECEIVE_BYTES = 65536
HELLO_TIMEOUT_S = 2.0
# Longer than the silence after which a peer counts as lost.
SEND_LIMIT_S = 2.0
MAX_PENDING_BYTES = 8 << 20
MAX_REQUESTS = 4096


# One look-up for each message; an isinstance check walks the whole union.
_REQUESTS = frozenset(get_args(Request))


RequestHandler = Callable[["PeerStream", Request], Awaitable[Reply]]


class PeerStream:
    """One connection between two nodes that carries many requests at once.

    Requests of the other side are answered by ``answer``, each in its own
    task. ``last_received_at`` is the loop's time at the latest bytes.
    """

    def __init__(
        self,
        *,
        stream: anyio.abc.ByteStream,
        answer: RequestHandler,
        local: Hello,
    ) -> None:
        self._stream = stream
        self._answer = answer
        self._local = local
        self._reader = FrameReader()
        self._waiters = Waiters(most=MAX_REQUESTS)
        self._serving: dict[int, anyio.TaskHandle[None]] = {}
        self._pending: list[bytes] = []
        self._pending_bytes = 0
        self._flushing = False
        self._early: list[Message] = []
        self.remote: Hello | None = None
        self.closed = False
        self.last_received_at = anyio.current_time()

    async def handshake(self) -> Hello:
        """Exchange greetings; the remote node is known afterwards.

        Raises ``FrameError`` when the other side does not greet first and
        ``StreamLostError`` when it does not greet in time.
        """
        await self._send(self._local)
        with anyio.move_on_after(HELLO_TIMEOUT_S):
            while True:
                messages = self._reader.feed(await self._receive())
                if not messages:
                    continue
                first, *self._early = messages
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
    def waits(self) -> bool:
        """Whether a request waits for its reply."""
        return len(self._waiters) > 0

    def next_id(self) -> int:
        """Return a request id that was never used on this stream."""
        return self._waiters.next_id()

    async def ask(self, request: Request, *, timeout_s: float | None = None) -> Reply:
        """Send a request and return its reply.

        When the waiting task is cancelled or the time is over, the other side is
        told to cancel. Raises ``StreamLostError``, ``StreamFullError`` or
        ``TimeoutError``.
        """
        if self.closed:
            raise StreamLostError("stream is closed")
        waiter = self._waiters.add(request.request_id)
        try:
            await self._send(request)
            return await self._waiters.wait(request.request_id, waiter, timeout_s)
        except (anyio.get_cancelled_exc_class(), TimeoutError):
            await self._send_cancel(request.request_id)
            raise
        finally:
            self._waiters.forget(request.request_id)

    async def run(self) -> None:
        """Read until the stream ends; answer requests and deliver replies."""
        try:
            async with anyio.create_task_group() as tasks:
                for message in self._early:
                    self._dispatch(message, tasks)
                await self._read(tasks)
                tasks.cancel_scope.cancel()
        finally:
            self._mark_closed()
            with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
                await anyio.aclose_forcefully(self._stream)

    async def close(self) -> None:
        """Close the stream; waiting requests fail with ``StreamLostError``."""
        self._mark_closed()
        await anyio.aclose_forcefully(self._stream)

    def cancel_served(self, request_id: int) -> None:
        """Cancel a request that this side is answering."""
        task = self._serving.get(request_id)
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
                self.cancel_served(request_id)
            case _ if type(message) in _REQUESTS:
                # A request beyond the bound gets no answer; its sender has the
                # same bound and never exceeds it.
                request = cast(Request, message)
                if len(self._serving) < MAX_REQUESTS:
                    # Known before its task runs, because its cancellation and
                    # further requests may have arrived in the same read.
                    task = tasks.create_task(self._serve(request))
                    self._serving[request.request_id] = task
            case _:
                self._waiters.deliver(cast(Reply, message))

    async def _serve(self, request: Request) -> None:
        try:
            reply = await self._answer(self, request)
            await self._send(reply)
        except (StreamLostError, StreamFullError):
            pass
        finally:
            self._serving.pop(request.request_id, None)

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
        self._pending.append(frame)
        self._pending_bytes += len(frame)
        with contextlib.suppress(StreamLostError):
            await self.flush()

    async def _send(self, message: Message) -> None:
        if self.closed:
            raise StreamLostError("stream is closed")
        frame = encode_frame(message)
        if self._pending_bytes + len(frame) > MAX_PENDING_BYTES:
            raise StreamFullError("too many bytes wait on this stream")
        self._pending.append(frame)
        self._pending_bytes += len(frame)
        await self.flush()

    async def flush(self) -> None:
        """Write the waiting frames; the first task to come writes for all.

        The stream is closed when the peer takes no bytes for ``SEND_LIMIT_S``.
        """
        if self._flushing:
            return
        self._flushing = True
        try:
            # Shielded so that a cancelled caller cannot drop the frames of others.
            with anyio.CancelScope(shield=True):
                while self._pending and not self.closed:
                    data = b"".join(self._pending)
                    self._pending.clear()
                    self._pending_bytes = 0
                    # A peer that stopped reading must not hold the task that
                    # writes, which nobody else can cancel.
                    with anyio.fail_after(SEND_LIMIT_S):
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
        self._pending.clear()
        self._pending_bytes = 0
        self._waiters.lose_all()
