"""HTTP client with a pool of connections to one server."""

import select
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from ._messages import (
    MAX_BODY_BYTES,
    ConnectionLostError,
    Request,
    Response,
)
from ._responses import ResponseQueue

RECEIVE_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 64

Connect = Callable[[], Awaitable[anyio.abc.ByteStream]]


class NotSentError(Exception):
    """No byte of the request was sent, so the server cannot have processed it."""


def encode_request(request: Request, *, host: bytes) -> bytes:
    """Return the encoded request with its ``Host`` and ``Content-Length`` fields."""
    target = request.target.encode("latin-1")
    parts = [b"%b %b HTTP/1.1\r\n" % (request.method.encode(), target)]
    parts.append(b"host: %b\r\n" % host)
    for name, value in request.fields:
        if name in (b"content-length", b"host"):
            continue
        parts.append(b"%b: %b\r\n" % (name, value))
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        parts.append(b"content-length: %d\r\n" % len(request.body))
    parts.append(b"\r\n")
    parts.append(request.body)
    return b"".join(parts)


class _Connection:
    """One connection, used for one request and response at a time."""

    def __init__(self, *, stream: anyio.abc.ByteStream, max_body_bytes: int) -> None:
        self._stream = stream
        self._queue = ResponseQueue(max_body_bytes=max_body_bytes)
        self._poller = select.poll()
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket, None)
        if raw is not None:
            self._poller.register(raw.fileno(), select.POLLIN | select.POLLRDHUP)
        self.closed = False

    def is_stale(self) -> bool:
        """Return whether the server closed or sent bytes on the idle connection.

        No task reads an idle connection, so its socket is polled here.
        """
        return self.closed or bool(self._poller.poll(0))

    async def exchange(self, data: bytes, *, head_only: bool) -> Response:
        """Send a request and return its response.

        Raises ``ConnectionLostError`` or ``HttpError``. A cancelled exchange
        closes the connection, so that the server cancels the request.
        """
        self._queue.head_only = head_only
        try:
            await self._stream.send(data)
            response = await self._receive_response()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            await self.close()
            raise ConnectionLostError("the connection broke") from error
        except BaseException:
            with anyio.CancelScope(shield=True):
                await self.close()
            raise
        unusable = self._queue.broken or self._queue.has_more
        if unusable or not response.keep_alive:
            await self.close()
        return response

    async def close(self) -> None:
        """Close the connection at once."""
        self.closed = True
        await anyio.aclose_forcefully(self._stream)

    async def _receive_response(self) -> Response:
        while True:
            try:
                data = await self._stream.receive(RECEIVE_BYTES)
            except anyio.EndOfStream:
                raise ConnectionLostError("the server closed the connection") from None
            self._queue.feed(data)
            response = self._queue.pop()
            if response is not None:
                return response


class ClientPool:
    """A pool of reusable connections to one server."""

    def __init__(
        self,
        *,
        connect: Connect,
        host: str,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self._connect = connect
        self._host = host.encode()
        self._max_body_bytes = max_body_bytes
        self._idle: list[_Connection] = []

    async def request(self, request: Request) -> Response:
        """Send a request over an idle or a new connection and return the response.

        Raises ``NotSentError`` if no connection could be opened. After
        ``ConnectionLostError`` or ``HttpError`` the server may have processed the
        request.
        """
        connection = await self._pop_idle() or await self._open()
        data = encode_request(request, host=self._host)
        response = await connection.exchange(data, head_only=request.method == "HEAD")
        if not connection.closed and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        elif not connection.closed:
            await connection.close()
        return response

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().close()

    async def _pop_idle(self) -> _Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_stale():
                return connection
            await connection.close()
        return None

    async def _open(self) -> _Connection:
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self._connect()
        except (OSError, TimeoutError) as error:
            raise NotSentError("no connection to the server") from error
        return _Connection(stream=stream, max_body_bytes=self._max_body_bytes)
