"""Client side: pooled connections to one server."""

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from ._messages import (
    MAX_BODY_BYTES,
    ConnectionLostError,
    HttpError,
    Request,
    Response,
)
from ._parsers import ResponseParser

RECEIVE_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0
MAX_IDLE = 64

Connect = Callable[[], Awaitable[anyio.abc.ByteStream]]


class NotSentError(Exception):
    """No byte of the request was sent, so the server cannot have run it."""


def encode_request(request: Request, *, host: bytes) -> bytes:
    """Return the bytes of a request with its framing fields."""
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
    """One connection that carries one exchange at a time."""

    def __init__(self, *, stream: anyio.abc.ByteStream, max_body_bytes: int) -> None:
        self._stream = stream
        self._parser = ResponseParser(max_body_bytes=max_body_bytes)
        self._event = anyio.Event()
        self._response: Response | None = None
        self._busy = False
        self._error: Exception | None = None
        self.closed = False

    async def read(self) -> None:
        """Read until the server closes, so that a stale connection is noticed."""
        try:
            while not self.closed:
                data = await self._stream.receive(RECEIVE_BYTES)
                if not self._busy:
                    break
                response = self._parser.feed(data)
                if response is not None:
                    self._response = response
                    self._event.set()
        except (anyio.EndOfStream, anyio.ClosedResourceError, OSError):
            pass
        except anyio.BrokenResourceError:
            pass
        except HttpError as error:
            self._error = error
        await self.close()

    async def exchange(self, data: bytes, *, head_only: bool) -> Response:
        """Send a request and return its response.

        Raises ``ConnectionLostError`` or ``HttpError``. A cancelled exchange
        closes the connection, which tells the server to cancel its work.
        """
        self._busy = True
        self._event = anyio.Event()
        self._parser.head_only = head_only
        try:
            await self._stream.send(data)
            await self._event.wait()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            self.closed = True
            raise ConnectionLostError("connection broke while sending") from error
        except anyio.get_cancelled_exc_class():
            with anyio.CancelScope(shield=True):
                await self.close()
            raise
        finally:
            self._busy = False
        response = self._response
        self._response = None
        if response is None:
            raise self._error or ConnectionLostError("server closed the connection")
        if not response.keep_alive:
            await self.close()
        return response

    async def close(self) -> None:
        """Close the connection at once."""
        self.closed = True
        self._event.set()
        await anyio.aclose_forcefully(self._stream)


class ClientPool:
    """Keeps connections to one server and reuses them.

    ``tasks`` owns one reading task per connection.
    """

    def __init__(
        self,
        *,
        connect: Connect,
        tasks: anyio.abc.TaskGroup,
        host: str,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self._connect = connect
        self._tasks = tasks
        self._host = host.encode()
        self._max_body_bytes = max_body_bytes
        self._idle: list[_Connection] = []

    async def request(self, request: Request) -> Response:
        """Send a request over an idle or a new connection.

        Raises ``NotSentError`` when no connection could be opened, else
        ``ConnectionLostError`` or ``HttpError`` with the outcome unknown.
        """
        connection = self._take_idle() or await self._open()
        data = encode_request(request, host=self._host)
        response = await connection.exchange(data, head_only=request.method == "HEAD")
        if not connection.closed and len(self._idle) < MAX_IDLE:
            self._idle.append(connection)
        elif not connection.closed:
            await connection.close()
        return response

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().close()

    def _take_idle(self) -> _Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.closed:
                return connection
        return None

    async def _open(self) -> _Connection:
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self._connect()
        except (OSError, TimeoutError) as error:
            raise NotSentError("no connection to the server") from error
        connection = _Connection(stream=stream, max_body_bytes=self._max_body_bytes)
        self._tasks.start_soon(connection.read)
        return connection
