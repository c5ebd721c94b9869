"""Server connections that handle pipelined requests at the same time.

Responses leave in the order of the requests. The connection is always read, so
that a caller that leaves is noticed while its requests are handled. Requests are
parsed in the turn of the loop in which their bytes arrive; only their handlers are
tasks.
"""

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable
from enum import Enum
from http import HTTPStatus

import anyio
from loguru import logger

from ._messages import HttpError, Request, Response
from ._parsers import RequestParser
from ._server import CONTINUE, ErrorResponse, encode_response
from ._tasks import TaskSet
from ._transport import TcpListener, TcpStream

# Requests of one connection that are handled at the same time.
MAX_OPEN_EXCHANGES = 32
# Requests that wait behind them. Only beyond these is the connection not read, since
# the end of a connection that is not read cannot be seen.
MAX_WAITING_EXCHANGES = 512
MAX_WAITING_BYTES = 256 << 10
SEND_TIMEOUT_S = 20.0
BODY_TIMEOUT_S = 20.0
# A connection that is closed with bytes unread is reset, which may destroy the
# response on its way, so the caller gets this time to read it and to leave.
LINGER_S = 1.0
SWEEP_PERIOD_S = 0.5


class ServerLimits:
    """Limits that may change while connections are open; times in seconds."""

    def __init__(
        self,
        *,
        max_body_bytes: int = 1 << 20,
        header_timeout_s: float = 20.0,
        idle_timeout_s: float = 120.0,
        max_connections: int = 2048,
    ) -> None:
        self.max_body_bytes = max_body_bytes
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.max_connections = max_connections


class Exchange:
    """One request and its place in the order of responses.

    The handler is cancelled when the caller leaves before its answer.
    """

    __slots__ = ("request", "response", "task")

    def __init__(self, request: Request) -> None:
        self.request = request
        self.response: Response | None = None
        self.task: asyncio.Task[None] | None = None


ExchangeHandler = Callable[[Exchange], Awaitable[Response]]


class _Phase(Enum):
    """Whether a connection takes requests, only ends, or is closed."""

    OPEN = "open"
    ENDING = "ending"
    LINGERING = "lingering"
    CLOSED = "closed"


class PipelinedConnection:
    """One connection of a caller."""

    def __init__(
        self,
        *,
        stream: TcpStream,
        handler: ExchangeHandler,
        error_response: ErrorResponse,
        limits: ServerLimits,
        tasks: TaskSet,
        on_closed: Callable[["PipelinedConnection"], None],
    ) -> None:
        self._stream = stream
        self._handler = handler
        self._error_response = error_response
        self._limits = limits
        self._tasks = tasks
        self._on_closed = on_closed
        self._parser = RequestParser(max_body_bytes=limits.max_body_bytes)
        self._open: deque[Exchange] = deque()
        # The last ones of the open exchanges, whose handlers did not start yet.
        self._waiting: deque[Exchange] = deque()
        self._waiting_bytes = 0
        self._phase = _Phase.OPEN
        self._since = time.monotonic()
        self._error: HttpError | None = None
        self._announcing = False
        self._paused = False
        self._draining = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received or handled."""
        return not self._open and not self._parser.started

    def start(self) -> None:
        """Serve from now on."""
        self._stream.consume(self._take, self._end)

    def announce_close(self) -> None:
        """Say ``Connection: close`` with the next response."""
        self._announcing = True

    def close_idle(self) -> None:
        """Close the connection if no request is in progress."""
        if self.is_idle:
            self.close()

    def close(self) -> None:
        """Close the connection and cancel what is not answered."""
        if self._phase is _Phase.CLOSED:
            return
        self._phase = _Phase.CLOSED
        for exchange in self._open:
            if exchange.task is not None:
                exchange.task.cancel()
        self._stream.close()
        self._on_closed(self)

    def sweep(self, now: float) -> None:
        """Enforce the time limits of the present state."""
        if now - self._since > self._limit_s():
            self.close()

    def _limit_s(self) -> float:
        if self._phase is _Phase.LINGERING:
            return LINGER_S
        if self._draining:
            return SEND_TIMEOUT_S
        if self._open:
            return float("inf")
        if not self._parser.started:
            return self._limits.idle_timeout_s
        body_s = BODY_TIMEOUT_S if self._parser.has_headers else 0.0
        return self._limits.header_timeout_s + body_s

    def _take(self, data: bytes) -> None:
        if self._phase is not _Phase.OPEN:
            return
        if self.is_idle:
            self._since = time.monotonic()
        try:
            requests = self._parser.feed(data)
        except HttpError as error:
            # Requests before the malformed one are still answered.
            requests = self._parser.take_complete()
            self._phase = _Phase.ENDING
            self._error = error
        for request in requests:
            exchange = Exchange(request)
            self._open.append(exchange)
            self._waiting.append(exchange)
            self._waiting_bytes += len(request.body)
            if not request.keep_alive:
                self._phase = _Phase.ENDING
                break
        if self._open:
            self._start_waiting()
        else:
            self._flush()

    def _start_waiting(self) -> None:
        """Start the handlers that there is room for; read on unless many wait."""
        while self._waiting and (
            len(self._open) - len(self._waiting) < MAX_OPEN_EXCHANGES
        ):
            exchange = self._waiting.popleft()
            self._waiting_bytes -= len(exchange.request.body)
            exchange.task = self._tasks.spawn(self._handle(exchange))
        full = (
            len(self._waiting) > MAX_WAITING_EXCHANGES
            or self._waiting_bytes > MAX_WAITING_BYTES
        )
        if full and not self._paused:
            self._paused = True
            self._stream.pause()
            logger.bind(open=len(self._open)).info(
                "calls: A caller has too many open requests; reading is paused."
            )
        elif self._paused and not full:
            self._paused = False
            self._stream.resume()

    def _end(self, error: Exception | None) -> None:
        # A caller that closed its side has left; its answers have no reader any more.
        self.close()

    async def _handle(self, exchange: Exchange) -> None:
        try:
            exchange.response = await self._handler(exchange)
        except Exception:
            # One request must not end the connections of all others.
            logger.exception("calls: The handler of a request failed.")
            error = HttpError(
                HTTPStatus.BAD_GATEWAY, "the request could not be handled"
            )
            exchange.response = self._error_response(error)
        self._flush()

    def _flush(self) -> None:
        """Send the responses that are due; the rest follows when there is room."""
        while not self._draining and self._open and self._open[0].response is not None:
            exchange = self._open.popleft()
            if not self._send_response(exchange):
                return
        self._start_waiting()
        if self._open or self._draining:
            return
        if self._error is not None:
            response, self._error = self._error_response(self._error), None
            self._send(encode_response(response, method="GET", keep_alive=False))
            self._linger()
        elif self._parser.expects_continue:
            self._parser.expects_continue = False
            self._send(CONTINUE)

    def _send_response(self, exchange: Exchange) -> bool:
        """Send one response; return whether further ones may follow."""
        request, response = exchange.request, exchange.response
        assert response is not None
        # Requests behind a response that closes the connection count as unread, so
        # only the last of the open ones may close it.
        closing = self._announcing and not self._open
        keep_alive = request.keep_alive and not closing
        data = encode_response(response, method=request.method, keep_alive=keep_alive)
        self._since = time.monotonic()
        if not self._send(data):
            return False
        if not keep_alive:
            self._linger()
        return keep_alive

    def _linger(self) -> None:
        self._phase = _Phase.LINGERING
        self._since = time.monotonic()
        self._stream.end_sending()

    def _send(self, data: bytes) -> bool:
        """Send bytes; return whether the connection still works."""
        if self._phase is _Phase.CLOSED:
            return False
        try:
            keeps_up = self._stream.send_now(data)
        except anyio.BrokenResourceError:
            self.close()
            return False
        if not keeps_up and not self._draining:
            self._draining = True
            self._tasks.spawn(self._drain())
        return True

    async def _drain(self) -> None:
        """Wait until the caller has read enough, then go on sending."""
        try:
            await self._stream.drain()
        except anyio.BrokenResourceError:
            self.close()
            return
        self._draining = False
        self._since = time.monotonic()
        self._flush()


class PipelinedServer:
    """Serves pipelined connections; those above the bound are closed."""

    def __init__(
        self,
        *,
        handler: ExchangeHandler,
        error_response: ErrorResponse,
        limits: ServerLimits,
    ) -> None:
        self._handler = handler
        self._error_response = error_response
        self._limits = limits
        self._connections: set[PipelinedConnection] = set()
        self._tasks = TaskSet()
        self._announcing = False

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def busy(self) -> int:
        """Number of connections with a request in progress."""
        return sum(1 for c in self._connections if not c.is_idle)

    async def serve(self, listener: TcpListener) -> None:
        """Serve until cancelled; the listener and all connections are closed then."""
        async with listener:
            listener.accept(self._start)
            try:
                await self._sweep()
            finally:
                for connection in list(self._connections):
                    connection.close()
                await self._tasks.close()

    def announce_close(self) -> None:
        """Ask callers to reconnect elsewhere with their next response."""
        self._announcing = True
        for connection in self._connections:
            connection.announce_close()

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for connection in list(self._connections):
            connection.close_idle()

    def _start(self, stream: TcpStream) -> None:
        if len(self._connections) >= self._limits.max_connections:
            stream.abort()
            return
        connection = PipelinedConnection(
            stream=stream,
            handler=self._handler,
            error_response=self._error_response,
            limits=self._limits,
            tasks=self._tasks,
            on_closed=self._connections.discard,
        )
        if self._announcing:
            connection.announce_close()
        self._connections.add(connection)
        connection.start()

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP_PERIOD_S)
            now = time.monotonic()
            for connection in list(self._connections):
                connection.sweep(now)
