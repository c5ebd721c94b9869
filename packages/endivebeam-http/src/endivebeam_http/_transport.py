"""TCP streams that carry calls, with the interface of ``anyio`` byte streams.

The stream of ``anyio`` yields to the event loop before each send and receive, which
costs a loop iteration and a system call at every hop of a call. ``TcpStream`` yields
only when it has to wait, and ``consume`` passes bytes to a callback in the iteration
in which they arrive. It reads ahead up to a limit, so it detects that the peer closed
an idle connection without a system call.
"""

import asyncio
import socket
from collections.abc import Callable, Mapping
from typing import Any, cast

import anyio
import anyio.abc
from anyio.abc import SocketAttribute

from ._loss_detection import LossDetection, set_loss_detection
from ._socket_state import count_unacknowledged_bytes, read_end_error

# Bytes that are read ahead before reading is paused.
MAX_BUFFERED_BYTES = 256 << 10
LISTEN_BACKLOG = 1024

OnData = Callable[[bytes], None]
"""Receives bytes in the event loop iteration in which they arrived."""

OnEnd = Callable[[Exception | None], None]
"""Called at the end of a connection; the error is None after a regular close."""


class _Protocol(asyncio.Protocol):
    """Receives the events of one connection.

    Received bytes are buffered for ``TcpStream.receive`` or passed to the callbacks
    of ``consume``.
    """

    def __init__(
        self,
        *,
        loss_detection: LossDetection,
        on_open: Callable[["TcpStream"], object] | None = None,
    ) -> None:
        self.loss_detection = loss_detection
        self._on_open = on_open
        self._on_data: OnData | None = None
        self._on_end: OnEnd | None = None
        self.transport: asyncio.Transport | None = None
        self.chunks: list[bytes] = []
        self.buffered_bytes = 0
        self.ended = False
        self.is_lost = False
        self.error: Exception | None = None
        self.readable = asyncio.Event()
        self.is_writable = True
        self.writable = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Transports of other event loops do not derive from asyncio.Transport.
        self.transport = cast(asyncio.Transport, transport)
        raw = transport.get_extra_info("socket")
        _set_options(raw, self.loss_detection)
        if self._on_open is not None:
            self._on_open(TcpStream(protocol=self))

    def data_received(self, data: bytes) -> None:
        if self._on_data is not None:
            self._on_data(data)
            return
        self.chunks.append(data)
        self.buffered_bytes += len(data)
        if self.buffered_bytes > MAX_BUFFERED_BYTES and self.transport is not None:
            self.transport.pause_reading()
        self.readable.set()

    def eof_received(self) -> None:
        # The event loop may report a regular end although a reset arrived together
        # with the last bytes; the socket distinguishes the two.
        assert self.transport is not None
        self._record_end(read_end_error(self.transport.get_extra_info("socket")))

    def connection_lost(self, error: Exception | None) -> None:
        self.is_lost = True
        self._record_end(error)
        self.writable.set()

    def consume(self, on_data: OnData, on_end: OnEnd) -> None:
        self._on_data, self._on_end = on_data, on_end
        chunks, self.chunks = self.chunks, []
        self.buffered_bytes = 0
        for chunk in chunks:
            on_data(chunk)
        if self.ended:
            self._report_end()

    def pause_writing(self) -> None:
        self.is_writable = False
        self.writable.clear()

    def resume_writing(self) -> None:
        self.is_writable = True
        self.writable.set()

    def _record_end(self, error: Exception | None) -> None:
        self.error = self.error or error
        if self.ended:
            return
        self.ended = True
        self.readable.set()
        self._report_end()

    def _report_end(self) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(self.error)


class TcpStream(anyio.abc.ByteStream):
    """One TCP connection."""

    def __init__(self, *, protocol: _Protocol) -> None:
        assert protocol.transport is not None
        self._protocol = protocol
        self._transport = protocol.transport
        self._closed = False

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and no received bytes are buffered."""
        protocol = self._protocol
        return not (protocol.ended or protocol.chunks or self._closed)

    @property
    def has_ended(self) -> bool:
        """Whether the connection is closed or the peer closed its sending side."""
        return self._protocol.ended or self._closed

    @property
    def is_lost(self) -> bool:
        """Whether the connection has ended in both directions."""
        return self._protocol.is_lost

    def consume(self, on_data: OnData, on_end: OnEnd) -> None:
        """Pass received bytes and the end to callbacks, in place of ``receive``."""
        self._protocol.consume(on_data, on_end)

    def pause(self) -> None:
        """Pause reading, so that TCP flow control stops the peer."""
        self._transport.pause_reading()

    def resume(self) -> None:
        """Resume reading after ``pause``."""
        if not self._transport.is_closing():
            self._transport.resume_reading()

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Return all buffered bytes, after waiting for the first.

        ``max_bytes`` is ignored. Raises ``anyio.EndOfStream`` after a regular end,
        ``anyio.BrokenResourceError`` after an error and
        ``anyio.ClosedResourceError`` if the stream was closed locally.
        """
        protocol = self._protocol
        while not protocol.chunks:
            if self._closed:
                raise anyio.ClosedResourceError
            if protocol.ended:
                if protocol.error is not None:
                    raise anyio.BrokenResourceError from protocol.error
                raise anyio.EndOfStream
            protocol.readable.clear()
            await protocol.readable.wait()
        chunks = protocol.chunks
        data = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        chunks.clear()
        if protocol.buffered_bytes > MAX_BUFFERED_BYTES and not protocol.ended:
            self._transport.resume_reading()
        protocol.buffered_bytes = 0
        return data

    async def send(self, item: bytes) -> None:
        """Send bytes; wait while the write buffer is above its high-water mark."""
        if self._closed:
            raise anyio.ClosedResourceError
        if not self.send_now(item):
            await self.drain()

    def send_now(self, item: bytes) -> bool:
        """Send bytes without waiting.

        Returns whether the write buffer is below its high-water mark. Raises
        ``anyio.BrokenResourceError`` on a closed connection.
        """
        if self._closed or self._transport.is_closing():
            raise anyio.BrokenResourceError
        self._transport.write(item)
        return self._protocol.is_writable

    async def drain(self) -> None:
        """Wait until a full write buffer has fallen to its low-water mark.

        Raises ``anyio.BrokenResourceError`` after an error of the connection.
        """
        if self._protocol.is_writable:
            return
        await self._protocol.writable.wait()
        if self._protocol.error is not None:
            raise anyio.BrokenResourceError from self._protocol.error

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes in the write buffer, not yet accepted by the kernel."""
        return self._transport.get_write_buffer_size()

    @property
    def has_untaken_bytes(self) -> bool:
        """Whether the peer's kernel has not taken all sent bytes."""
        if self.unsent_bytes:
            return True
        raw = self._transport.get_extra_info("socket")
        return raw is not None and count_unacknowledged_bytes(raw) > 0

    def detect_loss(self, detection: LossDetection) -> None:
        """Change how the kernel finds out that the peer is gone."""
        if detection is not self._protocol.loss_detection and not self.has_ended:
            self._protocol.loss_detection = detection
            set_loss_detection(self._transport.get_extra_info("socket"), detection)

    async def send_eof(self) -> None:
        """Close the sending side of the connection."""
        self.end_sending()

    def end_sending(self) -> None:
        """Close the sending side of the connection; it can still receive."""
        if not self._transport.is_closing():
            self._transport.write_eof()

    async def aclose(self) -> None:
        """Close the connection after its write buffer was sent."""
        self.close()

    def close(self) -> None:
        """Close the connection after its write buffer was sent."""
        self._closed = True
        self._transport.close()
        self._protocol.readable.set()

    def abort(self) -> None:
        """Close the connection at once; discard its write buffer."""
        self._closed = True
        # The transport of asyncio fails if it is aborted after the connection was lost.
        if not self._protocol.is_lost:
            self._transport.abort()
        self._protocol.readable.set()

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Typed attributes of ``anyio``: the raw socket."""
        raw = self._transport.get_extra_info("socket")
        return {SocketAttribute.raw_socket: lambda: raw}


class TcpListener(anyio.abc.Listener[TcpStream]):
    """Accepts connections on one address."""

    def __init__(self, *, host: str, port: int, loss_detection: LossDetection) -> None:
        self._host = host
        self._port = port
        self._loss_detection = loss_detection
        self._server: asyncio.Server | None = None
        self._pending: list[TcpStream] = []
        self._on_accept: Callable[[TcpStream], object] = self._queue_stream

    def _queue_stream(self, stream: TcpStream) -> None:
        self._pending.append(stream)

    @property
    def port(self) -> int:
        """Bound port; needed when ``port`` 0 let the kernel choose it."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def open(self) -> None:
        """Bind the address; raises ``OSError`` if it is in use."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Protocol(
                loss_detection=self._loss_detection,
                on_open=lambda stream: self._on_accept(stream),
            ),
            self._host,
            self._port,
            backlog=LISTEN_BACKLOG,
        )

    async def serve(
        self,
        handler: Callable[[TcpStream], Any],
        task_group: anyio.abc.TaskGroup | None = None,
    ) -> None:
        """Run a handler for each connection until cancelled, then stop accepting."""
        async with anyio.create_task_group() as tasks:
            self.accept(lambda stream: tasks.start_soon(handler, stream))
            try:
                await anyio.sleep_forever()
            finally:
                # The task group can't run handlers once it has ended.
                self.close()

    def accept(self, on_accept: Callable[[TcpStream], object]) -> None:
        """Pass each connection to a function, including those accepted before."""
        self._on_accept = on_accept
        pending, self._pending = self._pending, []
        for stream in pending:
            on_accept(stream)

    async def aclose(self) -> None:
        """Stop accepting connections."""
        self.close()

    def close(self) -> None:
        """Stop accepting connections; abort those accepted from now on."""
        self._on_accept = TcpStream.abort
        if self._server is not None:
            self._server.close()

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Typed attributes of ``anyio``: none."""
        return {}


async def connect_stream(host: str, port: int) -> TcpStream:
    """Open a connection to an IP address; raises ``OSError`` on failure."""
    loop = asyncio.get_running_loop()
    try:
        _, protocol = await loop.create_connection(
            lambda: _Protocol(loss_detection=LossDetection.UNTAKEN_DATA), host, port
        )
    except (OverflowError, ValueError) as error:
        # Addresses come from other machines; some that are malformed raise these.
        raise OSError(f"not an address: {host!r}, port {port}") from error
    return TcpStream(protocol=protocol)


async def listen_tcp(
    host: str,
    port: int,
    *,
    loss_detection: LossDetection = LossDetection.UNTAKEN_DATA,
) -> TcpListener:
    """Return a bound listener; raises ``OSError`` if the address is in use."""
    listener = TcpListener(host=host, port=port, loss_detection=loss_detection)
    await listener.open()
    return listener


def _set_options(raw: socket.socket, detection: LossDetection) -> None:
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    set_loss_detection(raw, detection)
