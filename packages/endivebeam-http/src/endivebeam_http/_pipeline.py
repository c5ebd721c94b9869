"""Server connections that handle pipelined requests concurrently.

Responses are sent in the order of the requests. Reading continues while requests are
handled, so that a disconnect of the caller is detected. Requests are parsed in the
event loop iteration in which their bytes arrive; only handlers run as tasks.
"""

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable
from enum import Enum
from http import HTTPStatus

import anyio
from loguru import logger

from ._messages import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    HttpError,
    Request,
    Response,
)
from ._parsers import RequestParser
from ._server import CONTINUE, ErrorResponse, encode_response
from ._tasks import TaskSet
from ._transport import TcpListener, TcpStream

# Requests of one connection whose handlers run concurrently.
MAX_OPEN_EXCHANGES = 32
# Parsed requests whose handlers have not started. Reading is paused only beyond these
# limits, because a disconnect is not detected while reading is paused.
MAX_PENDING_EXCHANGES = 512
MAX_PENDING_BYTES = 256 << 10
SEND_TIMEOUT_S = 20.0
BODY_TIMEOUT_S = 20.0
# Closing a connection with unread bytes resets it, and the caller may lose a response
# in transit. The caller gets this time to read it and to close the connection.
LINGER_TIMEOUT_S = 1.0
SWEEP_PERIOD_S = 1.0


class ServerLimits:
    """Limits that may change while connections are open; timeouts in seconds."""

    def __init__(
        self,
        *,
        max_header_bytes: int = MAX_HEADER_BYTES,
        max_body_bytes: int = MAX_BODY_BYTES,
        header_timeout_s: float = 20.0,
        idle_timeout_s: float = 120.0,
        max_connections: int = 2048,
    ) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.max_connections = max_connections


class Exchange:
    """One request and its response, once the handler has returned it.

    The handler is cancelled if the caller disconnects before the response is ready.
    """

    __slots__ = ("request", "response", "task")

    def __init__(self, request: Request) -> None:
        self.request = request
        self.response: Response | None = None
        self.task: asyncio.Task[None] | None = None


ExchangeHandler = Callable[[Exchange], Awaitable[Response]]


class _Phase(Enum):
    """Phase of a connection.

    ``ENDING``: no more requests are accepted, pending responses are sent.
    ``LINGERING``: the last response was sent; the caller should close the connection.
    """

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
        self._parser = RequestParser(
            max_body_bytes=limits.max_body_bytes,
            max_header_bytes=limits.max_header_bytes,
        )
        self._open: deque[Exchange] = deque()
        # The last exchanges of ``_open``, whose handlers have not started.
        self._pending: deque[Exchange] = deque()
        self._pending_bytes = 0
        self._phase = _Phase.OPEN
        self._state_since = time.monotonic()
        self._error: HttpError | None = None
        self._close_announced = False
        self._reading_paused = False
        self._send_blocked = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received or handled."""
        return not self._open and not self._parser.started

    def start(self) -> None:
        """Start to process received bytes."""
        self._stream.consume(self._on_data, self._on_end)

    def announce_close(self) -> None:
        """Send ``Connection: close`` with the response to the last open request."""
        self._close_announced = True

    def end_intake(self) -> None:
        """Accept no further request; respond to the open ones, then close.

        A request of which a part was received is not accepted.
        """
        if self._open:
            self._close_announced = True
            self._phase = _Phase.ENDING
        elif self._phase is not _Phase.LINGERING:
            self.close()

    def close(self) -> None:
        """Close the connection and cancel the handlers of open requests."""
        if self._phase is _Phase.CLOSED:
            return
        self._phase = _Phase.CLOSED
        for exchange in self._open:
            if exchange.task is not None:
                exchange.task.cancel()
        self._stream.close()
        self._on_closed(self)

    def sweep(self, now: float) -> None:
        """Close the connection if the timeout of its current state has expired."""
        if now - self._state_since > self._timeout_s():
            self.close()

    def _timeout_s(self) -> float:
        if self._phase is _Phase.LINGERING:
            return LINGER_TIMEOUT_S
        if self._send_blocked:
            return SEND_TIMEOUT_S
        if self._open:
            return float("inf")
        if not self._parser.started:
            return self._limits.idle_timeout_s
        body_s = BODY_TIMEOUT_S if self._parser.has_headers else 0.0
        return self._limits.header_timeout_s + body_s

    def _on_data(self, data: bytes) -> None:
        if self._phase is not _Phase.OPEN:
            return
        if self.is_idle:
            self._state_since = time.monotonic()
        try:
            requests = self._parser.feed(data)
        except HttpError as error:
            # Requests before the malformed one still get their responses.
            requests = self._parser.pop_complete()
            self._phase = _Phase.ENDING
            self._error = error
        for request in requests:
            exchange = Exchange(request)
            self._open.append(exchange)
            self._pending.append(exchange)
            self._pending_bytes += len(request.body)
            if not request.keep_alive:
                self._phase = _Phase.ENDING
                break
        if self._open:
            self._start_handlers()
        else:
            self._flush()

    def _start_handlers(self) -> None:
        """Start handlers up to the limit; pause or resume reading as needed."""
        while self._pending and (
            len(self._open) - len(self._pending) < MAX_OPEN_EXCHANGES
        ):
            exchange = self._pending.popleft()
            self._pending_bytes -= len(exchange.request.body)
            exchange.task = self._tasks.spawn(self._handle(exchange))
        full = (
            len(self._pending) > MAX_PENDING_EXCHANGES
            or self._pending_bytes > MAX_PENDING_BYTES
        )
        if full and not self._reading_paused:
            self._reading_paused = True
            self._stream.pause()
            logger.bind(open=len(self._open)).info(
                "calls: A connection has too many open requests; reading is paused."
            )
        elif self._reading_paused and not full:
            self._reading_paused = False
            self._stream.resume()

    def _on_end(self, error: Exception | None) -> None:
        # A caller that closed its sending side counts as disconnected: nobody reads
        # its responses.
        self.close()

    async def _handle(self, exchange: Exchange) -> None:
        try:
            exchange.response = await self._handler(exchange)
        except Exception:
            # A failed request must not end the connections of all others.
            logger.exception("calls: The handler of a request failed.")
            error = HttpError(
                HTTPStatus.BAD_GATEWAY, "the request could not be handled"
            )
            exchange.response = self._error_response(error)
        self._flush()

    def _flush(self) -> None:
        """Send complete responses in order until the write buffer is full."""
        while (
            not self._send_blocked and self._open and self._open[0].response is not None
        ):
            exchange = self._open.popleft()
            if not self._send_response(exchange):
                return
        self._start_handlers()
        if self._open or self._send_blocked:
            return
        if self._error is not None:
            response, self._error = self._error_response(self._error), None
            self._send(encode_response(response, method="GET", keep_alive=False))
            self._linger()
        elif self._parser.expects_continue:
            self._parser.expects_continue = False
            self._send(CONTINUE)

    def _send_response(self, exchange: Exchange) -> bool:
        """Send one response; return whether more may follow on the connection."""
        request, response = exchange.request, exchange.response
        assert response is not None
        # Requests after a response with ``Connection: close`` count as unread, so only
        # the response to the last open request may carry it.
        closing = self._close_announced and not self._open
        keep_alive = request.keep_alive and not closing
        data = encode_response(response, method=request.method, keep_alive=keep_alive)
        self._state_since = time.monotonic()
        if not self._send(data):
            return False
        if not keep_alive:
            self._linger()
        return keep_alive

    def _linger(self) -> None:
        self._phase = _Phase.LINGERING
        self._state_since = time.monotonic()
        self._stream.end_sending()

    def _send(self, data: bytes) -> bool:
        """Send bytes; return whether the connection is still usable."""
        if self._phase is _Phase.CLOSED:
            return False
        try:
            is_writable = self._stream.send_now(data)
        except anyio.BrokenResourceError:
            self.close()
            return False
        if not is_writable and not self._send_blocked:
            self._send_blocked = True
            self._tasks.spawn(self._resume_sending())
        return True

    async def _resume_sending(self) -> None:
        """Wait until the write buffer is low, then send further responses."""
        try:
            await self._stream.drain()
        except anyio.BrokenResourceError:
            self.close()
            return
        self._send_blocked = False
        self._state_since = time.monotonic()
        self._flush()


class PipelinedServer:
    """Serves pipelined connections.

    A connection beyond ``limits.max_connections`` is closed at once.
    """

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
        self._close_announced = False
        self._listener: TcpListener | None = None

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def busy_connections(self) -> int:
        """Number of connections with a request in progress."""
        return sum(1 for c in self._connections if not c.is_idle)

    async def serve(self, listener: TcpListener) -> None:
        """Serve until cancelled, then close the listener and all connections."""
        self._listener = listener
        async with listener:
            listener.accept(self._start)
            try:
                await self._sweep()
            finally:
                # A request on a connection that is accepted from now on would be cut.
                listener.close()
                for connection in list(self._connections):
                    connection.close()
                await self._tasks.close()

    def announce_close(self) -> None:
        """Ask callers to reconnect elsewhere.

        Each connection sends ``Connection: close`` with the response to its last open
        request; idle connections stay open.
        """
        self._close_announced = True
        for connection in self._connections:
            connection.announce_close()

    def end_intake(self) -> None:
        """Accept no connection and no request from now on.

        Requests that were received whole still get their responses. This happens at
        once: between a look at ``busy_connections`` and this call, as long as nothing
        is awaited, no request can arrive.
        """
        if self._listener is not None:
            self._listener.close()
        for connection in list(self._connections):
            connection.end_intake()

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
        if self._close_announced:
            connection.announce_close()
        self._connections.add(connection)
        connection.start()

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP_PERIOD_S)
            now = time.monotonic()
            for connection in list(self._connections):
                connection.sweep(now)
