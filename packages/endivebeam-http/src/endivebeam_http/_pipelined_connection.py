"""One connection whose pipelined requests are handled concurrently.

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
from ._slow_readers import SendProgress
from ._tasks import TaskSet
from ._transport import TcpStream

# Requests of one connection whose handlers run concurrently.
MAX_OPEN_EXCHANGES = 32
# Parsed requests whose handlers have not started. Reading is paused only beyond these
# limits, because a disconnect is not detected while reading is paused.
MAX_PENDING_EXCHANGES = 512
MAX_PENDING_BYTES = 256 << 10
# Time in which a caller must take some of the bytes that are held for it.
SEND_TIMEOUT_S = 20.0
BODY_TIMEOUT_S = 20.0
# Closing a connection with unread bytes resets it, and the caller may lose a response
# in transit. The caller gets this time to read it and to close the connection.
LINGER_TIMEOUT_S = 1.0


class ServerLimits:
    """Limits that may change while connections are open; timeouts in seconds.

    ``max_held_bytes`` bounds the responses that the callers of all connections together
    have not taken. Beyond it, connections are closed.
    """

    def __init__(
        self,
        *,
        max_header_bytes: int = MAX_HEADER_BYTES,
        max_body_bytes: int = MAX_BODY_BYTES,
        header_timeout_s: float = 20.0,
        idle_timeout_s: float = 120.0,
        max_connections: int = 2048,
        max_held_bytes: int = 32 << 20,
    ) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.max_connections = max_connections
        self.max_held_bytes = max_held_bytes


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
    ``CLOSED``: what is buffered is still sent.
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
        on_held: Callable[[int], None],
    ) -> None:
        self._stream = stream
        self._handler = handler
        self._error_response = error_response
        self._limits = limits
        self._tasks = tasks
        self._on_closed = on_closed
        self._on_held = on_held
        self._parser = RequestParser(
            max_body_bytes=limits.max_body_bytes,
            max_header_bytes=limits.max_header_bytes,
        )
        self._open: deque[Exchange] = deque()
        # The last exchanges of ``_open``, whose handlers have not started.
        self._pending: deque[Exchange] = deque()
        self._pending_bytes = 0
        # Bodies of complete responses that are not sent yet.
        self._ready_bytes = 0
        self._send_progress = SendProgress()
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

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress or a response is not sent whole."""
        if self._stream.unsent_bytes:
            return True
        return self._phase is not _Phase.CLOSED and not self.is_idle

    @property
    def is_lingering(self) -> bool:
        """Whether the caller still has to close the connection."""
        return self._phase is _Phase.LINGERING

    @property
    def held_bytes(self) -> int:
        """Bytes of responses that the caller has not taken."""
        return self._ready_bytes + self._stream.unsent_bytes

    def stalled_s(self, now: float) -> float:
        """Return for how long the caller has taken none of the bytes held for it."""
        self._send_progress.update(unsent_bytes=self._stream.unsent_bytes, now=now)
        return self._send_progress.stalled_s(now=now)

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
        """Cancel the handlers of open requests; close once the buffer is sent."""
        if self._phase is _Phase.CLOSED:
            return
        self._cancel_open()
        self._stream.close()
        if not self._stream.unsent_bytes:
            self._on_closed(self)

    def abort(self) -> None:
        """Cancel the handlers of open requests; close at once, with bytes unsent."""
        self._cancel_open()
        self._stream.abort()
        self._on_closed(self)

    def _cancel_open(self) -> None:
        self._phase = _Phase.CLOSED
        for exchange in self._open:
            if exchange.task is not None:
                exchange.task.cancel()
        self._open.clear()
        self._pending.clear()
        self._ready_bytes = 0

    def sweep(self, now: float) -> None:
        """Close the connection if the timeout of its current state has expired."""
        stalled_s = self.stalled_s(now)
        if self._stream.is_lost:
            self.abort()
        elif self._stream.unsent_bytes:
            # The timeout of the next state begins when the buffer is sent.
            self._state_since = now
            if stalled_s > SEND_TIMEOUT_S:
                self.abort()
        elif self._phase is _Phase.CLOSED:
            self._on_closed(self)
        elif now - self._state_since > self._timeout_s():
            self.close()

    def _timeout_s(self) -> float:
        if self._phase is _Phase.LINGERING:
            return LINGER_TIMEOUT_S
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
        while (
            self._pending and len(self._open) - len(self._pending) < MAX_OPEN_EXCHANGES
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
        if self._phase is _Phase.CLOSED:
            return
        size = len(exchange.response.body)
        self._ready_bytes += size
        self._flush()
        if self.held_bytes:
            self._on_held(size)

    def _flush(self) -> None:
        """Send complete responses in order until the write buffer is full."""
        if self._phase is _Phase.CLOSED:
            return
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
        self._ready_bytes -= len(response.body)
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
        self._send_progress.record_sent(
            len(data), unsent_bytes=self._stream.unsent_bytes, now=time.monotonic()
        )
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
        self._flush()
