"""TCP streams for the call path, with the interface of ``anyio`` byte streams.

The library's own stream yields to the loop before each send and receive, which
costs a turn of the loop and a system call at every hop of a call. This one yields
only when it has to wait, and ``consume`` hands bytes on in the turn in which they
arrive. It reads ahead up to a bound, so an idle connection that the other side
closed is known without asking the kernel.
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


OnData = Callable[[bytes], None]
"""Takes bytes in the turn of the loop in which they arrived."""

OnEnd = Callable[[Exception | None], None]
"""Takes the end of a connection; the error is None after an ordinary end."""


class _Protocol(asyncio.Protocol):
    """Receives the events of one connection.

    They wake the task that waits, or go to a consumer.
    """

    def __init__(self, on_open: Callable[["TcpStream"], object] | None) -> None:
        self._on_open = on_open
        self._on_data: OnData | None = None
        self._on_end: OnEnd | None = None
        self.transport: asyncio.Transport | None = None
        self.chunks: list[bytes] = []
        self.buffered = 0
        self.ended = False
        self.error: Exception | None = None
        self.readable = asyncio.Event()
        self.keeps_up = True
        self.writable = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transports of other loops do not derive from the standard class.
        self.transport = cast(asyncio.Transport, transport)
        _set_options(transport.get_extra_info("socket"))
        if self._on_open is not None:
            self._on_open(TcpStream(protocol=self))

    def data_received(self, data: bytes) -> None:
        if self._on_data is not None:
            self._on_data(data)
            return
        self.chunks.append(data)
        self.buffered += len(data)
        if self.buffered > MAX_BUFFERED_BYTES and self.transport is not None:
            self.transport.pause_reading()
        self.readable.set()

    def eof_received(self) -> None:
        # The loop reports an ordinary end too when the last bytes and a reset
        # arrive together; only the socket knows which it was.
        assert self.transport is not None
        self._end(_read_error(self.transport.get_extra_info("socket")))

    def connection_lost(self, error: Exception | None) -> None:
        self._end(error)
        self.writable.set()

    def consume(self, on_data: OnData, on_end: OnEnd) -> None:
        self._on_data, self._on_end = on_data, on_end
        chunks, self.chunks = self.chunks, []
        self.buffered = 0
        for chunk in chunks:
            on_data(chunk)
        if self.ended:
            self._tell_end()

    def pause_writing(self) -> None:
        self.keeps_up = False
        self.writable.clear()

    def resume_writing(self) -> None:
        self.keeps_up = True
        self.writable.set()

    def _end(self, error: Exception | None) -> None:
        self.error = self.error or error
        if self.ended:
            return
        self.ended = True
        self.readable.set()
        self._tell_end()

    def _tell_end(self) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(self.error)


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

    def consume(self, on_data: OnData, on_end: OnEnd) -> None:
        """Hand all further bytes and the end to callbacks instead of ``receive``."""
        self._protocol.consume(on_data, on_end)

    def pause(self) -> None:
        """Stop reading, so that the other side has to wait."""
        self._transport.pause_reading()

    def resume(self) -> None:
        """Go on reading after ``pause``."""
        if not self._transport.is_closing():
            self._transport.resume_reading()

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Return the bytes that arrived, waiting for the first ones."""
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
        if protocol.buffered > MAX_BUFFERED_BYTES and not protocol.ended:
            self._transport.resume_reading()
        protocol.buffered = 0
        return data

    async def send(self, item: bytes) -> None:
        """Send bytes; wait while the other side does not take them."""
        if self._closed:
            raise anyio.ClosedResourceError
        if not self.send_now(item):
            await self.drain()

    def send_now(self, item: bytes) -> bool:
        """Send bytes without waiting; return whether the other side keeps up."""
        if self._closed or self._transport.is_closing():
            raise anyio.BrokenResourceError
        self._transport.write(item)
        return self._protocol.keeps_up

    async def drain(self) -> None:
        """Wait until the other side has taken most of what was sent."""
        if self._protocol.keeps_up:
            return
        await self._protocol.writable.wait()
        if self._protocol.error is not None:
            raise anyio.BrokenResourceError from self._protocol.error

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that the kernel has not taken yet."""
        return self._transport.get_write_buffer_size()

    async def send_eof(self) -> None:
        """Tell the other side that nothing more is sent."""
        self.end_sending()

    def end_sending(self) -> None:
        """Tell the other side that nothing more is sent, and go on receiving."""
        if not self._transport.is_closing():
            self._transport.write_eof()

    async def aclose(self) -> None:
        """Close the connection after the bytes that were sent already."""
        self.close()

    def close(self) -> None:
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
        self._start: Callable[[TcpStream], object] = self._keep

    def _keep(self, stream: TcpStream) -> None:
        self._opened.append(stream)

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
            self.accept(lambda stream: tasks.start_soon(handler, stream))
            await anyio.sleep_forever()

    def accept(self, start: Callable[[TcpStream], object]) -> None:
        """Pass each connection to a function, those that came before included."""
        self._start = start
        opened, self._opened = self._opened, []
        for stream in opened:
            start(stream)

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
