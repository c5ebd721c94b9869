"""TCP streams for the call path, with the interface of ``anyio`` byte streams.

The library's own stream yields to the loop before each send and receive, which
costs a turn of the loop and a system call at every hop of a call. This one yields
only when it has to wait. It reads ahead up to a bound, so an idle connection that
the other side closed is known without asking the kernel.
"""

import asyncio
import os
import socket
from collections.abc import Callable, Mapping
from typing import Any, cast

import anyio
import anyio.abc
from anyio.abc import SocketAttribute

# Bytes that are read ahead before the other side has to wait.
MAX_BUFFERED_BYTES = 256 << 10
LISTEN_BACKLOG = 1024
# After this time without acknowledgement the kernel gives a connection up, so
# that writes to a machine without power do not hang.
UNACKNOWLEDGED_LIMIT_MS = 5000


class _Protocol(asyncio.Protocol):
    """Receives the events of one connection and wakes the task that waits."""

    def __init__(self, on_open: Callable[["TcpStream"], None] | None) -> None:
        self._on_open = on_open
        self.transport: asyncio.Transport | None = None
        self.chunks: list[bytes] = []
        self.buffered = 0
        self.ended = False
        self.expired = False
        self.error: Exception | None = None
        self.readable = asyncio.Event()
        self.writable = asyncio.Event()
        self.writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transports of other loops do not derive from the standard class.
        self.transport = cast(asyncio.Transport, transport)
        _set_options(transport.get_extra_info("socket"))
        if self._on_open is not None:
            self._on_open(TcpStream(protocol=self))

    def data_received(self, data: bytes) -> None:
        self.chunks.append(data)
        self.buffered += len(data)
        if self.buffered > MAX_BUFFERED_BYTES and self.transport is not None:
            self.transport.pause_reading()
        self.readable.set()

    def eof_received(self) -> None:
        # The loop reports an ordinary end too when the last bytes and a reset
        # arrive together; only the socket knows which it was.
        assert self.transport is not None
        self.error = _read_error(self.transport.get_extra_info("socket"))
        self.ended = True
        self.readable.set()

    def connection_lost(self, error: Exception | None) -> None:
        self.ended = True
        self.error = self.error or error
        self.readable.set()
        self.writable.set()

    def expire(self) -> None:
        self.expired = True
        self.readable.set()
        self.writable.set()

    def pause_writing(self) -> None:
        self.writable.clear()

    def resume_writing(self) -> None:
        self.writable.set()


class TcpStream(anyio.abc.ByteStream):
    """One connection."""

    def __init__(self, *, protocol: _Protocol) -> None:
        assert protocol.transport is not None
        self._protocol = protocol
        self._transport = protocol.transport
        self._closed = False

    @property
    def is_quiet(self) -> bool:
        """Whether the other side neither ended the connection nor sent bytes."""
        protocol = self._protocol
        return not (protocol.ended or protocol.chunks or self._closed)

    @property
    def has_ended(self) -> bool:
        """Whether the connection has ended, or the other side ended its half."""
        return self._protocol.ended or self._closed

    def expire_after(self, seconds: float) -> asyncio.TimerHandle:
        """Let later waits fail with ``TimeoutError``; cancel the result to undo it.

        This costs less than a cancel scope around each exchange.
        """
        loop = asyncio.get_running_loop()
        return loop.call_later(seconds, self._protocol.expire)

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Return the bytes that arrived, waiting for the first ones."""
        protocol = self._protocol
        while not protocol.chunks:
            if protocol.expired:
                raise TimeoutError
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
        if protocol.buffered > MAX_BUFFERED_BYTES and not protocol.ended:
            self._transport.resume_reading()
        protocol.buffered = 0
        return data

    async def send(self, item: bytes) -> None:
        """Send bytes; wait while the other side does not take them."""
        if self._closed:
            raise anyio.ClosedResourceError
        if self._transport.is_closing():
            raise anyio.BrokenResourceError
        self._transport.write(item)
        if not self._protocol.writable.is_set():
            await self._protocol.writable.wait()
            if self._protocol.expired:
                raise TimeoutError
            if self._protocol.error is not None:
                raise anyio.BrokenResourceError from self._protocol.error

    def send_now(self, item: bytes) -> bool:
        """Send bytes without waiting; return whether the other side keeps up."""
        if self._closed or self._transport.is_closing():
            raise anyio.BrokenResourceError
        self._transport.write(item)
        return self._protocol.writable.is_set()

    async def send_eof(self) -> None:
        """Tell the other side that nothing more is sent."""
        self._transport.write_eof()

    async def aclose(self) -> None:
        """Close the connection after the bytes that were sent already."""
        self._closed = True
        self._transport.close()
        self._protocol.readable.set()

    def abort(self) -> None:
        """Close the connection without sending what waits."""
        self._closed = True
        self._transport.abort()
        self._protocol.readable.set()

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Return the attributes that ``anyio`` streams have."""
        found = self._transport.get_extra_info("socket")
        return {SocketAttribute.raw_socket: lambda: found}


class TcpListener(anyio.abc.Listener[TcpStream]):
    """Accepts connections on one address."""

    def __init__(self, *, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._server: asyncio.Server | None = None
        self._opened: list[TcpStream] = []
        self._start: Callable[[TcpStream], None] = self._opened.append

    @property
    def port(self) -> int:
        """Port that is bound; useful when the kernel chose it."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def open(self) -> None:
        """Bind the address; raises ``OSError`` when it is in use."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Protocol(lambda stream: self._start(stream)),
            self._host,
            self._port,
            backlog=LISTEN_BACKLOG,
        )

    async def serve(
        self,
        handler: Callable[[TcpStream], Any],
        task_group: anyio.abc.TaskGroup | None = None,
    ) -> None:
        """Run a handler for each connection until cancelled."""
        async with anyio.create_task_group() as tasks:

            def start(stream: TcpStream) -> None:
                tasks.start_soon(handler, stream)

            self._start = start
            for stream in self._opened:
                start(stream)
            self._opened.clear()
            await anyio.sleep_forever()

    async def aclose(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Return no attributes."""
        return {}


async def connect_stream(host: str, port: int) -> TcpStream:
    """Open a connection to an IP address; raises ``OSError``."""
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_connection(lambda: _Protocol(None), host, port)
    return TcpStream(protocol=protocol)


async def listen_tcp(host: str, port: int) -> TcpListener:
    """Return a listener that is bound already; raises ``OSError``."""
    listener = TcpListener(host=host, port=port)
    await listener.open()
    return listener


def _read_error(raw: socket.socket) -> Exception | None:
    """Return the error of an ended connection, or None after an ordinary end."""
    try:
        os.read(raw.fileno(), 1)
    except BlockingIOError:
        return None
    except OSError as error:
        return error
    return None


def _set_options(raw: socket.socket) -> None:
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)
