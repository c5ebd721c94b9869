"""One connection whose pipelined requests are handled concurrently.

Responses are sent in the order of the requests. Reading continues while requests are
handled, so that a disconnect of the caller is detected. Requests are parsed in the
event loop iteration in which their bytes arrive, unless they take much work; only
handlers run as tasks.
"""

import time
from collections.abc import Callable
from enum import Enum
from http import HTTPStatus

from loguru import logger

from ._connection_memory import ConnectionMemory
from ._exchanges import Exchange, ExchangeHandler, OpenExchanges
from ._idle_connections import Standing
from ._limits import ServerLimits
from ._memory import MemoryBudget, make_full_error
from ._messages import HttpError, Request, Response
from ._parsers import RequestParser
from ._request_input import InputQueue, RequestInput
from ._response_sender import ResponseSender
from ._server import CONTINUE, ErrorResponse, encode_response
from ._tasks import TaskSet
from ._transport import TcpStream

# Time in which a caller must take some of the bytes that are held for it.
SEND_TIMEOUT_S = 20.0
BODY_TIMEOUT_S = 20.0
# Closing a connection with unread bytes resets it, and the caller may lose a response
# in transit. The caller gets this time to read it and to close the connection.
LINGER_TIMEOUT_S = 1.0
# What it still sends in that time is read up to this, so that it gets to the response.
MAX_DISCARDED_BYTES = 1 << 20


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
        on_full: Callable[[], None],
        budget: MemoryBudget,
        input_queue: InputQueue,
    ) -> None:
        self._stream = stream
        self._handler = handler
        self._error_response = error_response
        self._limits = limits
        self._tasks = tasks
        self._on_closed = on_closed
        self._on_held = on_held
        self._input_queue = input_queue
        self._parser = RequestParser(
            max_body_bytes=limits.max_body_bytes,
            max_header_bytes=limits.max_header_bytes,
        )
        self._input = RequestInput(parser=self._parser)
        self._memory = ConnectionMemory(budget=budget, on_full=on_full)
        self._open = OpenExchanges()
        self._sender = ResponseSender(
            stream=stream, tasks=tasks, on_writable=self._flush, on_broken=self.close
        )
        self._phase = _Phase.OPEN
        self._state_since = time.monotonic()
        self._error: HttpError | None = None
        self._close_announced = False
        self._reading_paused = False
        self._discarded_bytes = 0
        self._has_served = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received or handled."""
        return not self._open and self._input.is_empty

    @property
    def standing(self) -> Standing:
        """What the connection is worth when there are too many."""
        if self._open or self._stream.unsent_bytes or self._phase is _Phase.ENDING:
            return Standing.BUSY
        if self._has_served:
            return Standing.IDLE if self._input.is_empty else Standing.BUSY
        return Standing.SILENT if self._input.is_empty else Standing.UNFINISHED

    def waited_s(self, now: float) -> float:
        """Return for how long the connection has been in its present state."""
        return now - self._state_since

    def request_stalled_s(self, now: float) -> float:
        """Return for how long a request that is received in part has stopped."""
        if self._phase is not _Phase.OPEN or self._reading_paused:
            return 0.0
        return self._input.stalled_s(now)

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
        return self._open.response_bytes + self._stream.unsent_bytes

    def stalled_s(self, now: float) -> float:
        """Return for how long the caller has taken none of the bytes held for it."""
        return self._sender.stalled_s(now)

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
            self._finish()

    def abort(self) -> None:
        """Cancel the handlers of open requests; close at once, with bytes unsent."""
        self._cancel_open()
        self._stream.abort()
        self._finish()

    def reject_stalled(self) -> None:
        """Give up a request that is received in part; it has not run."""
        self._fail(
            HttpError(HTTPStatus.REQUEST_TIMEOUT, "the request stopped arriving")
        )

    def _finish(self) -> None:
        self._memory.resize_accepted(0)
        self._on_closed(self)

    def _cancel_open(self) -> None:
        self._phase = _Phase.CLOSED
        self._open.cancel()
        self._clear_input()
        self._update_held()

    def _clear_input(self) -> None:
        self._input.clear()
        self._memory.drop_received()

    def _update_held(self) -> None:
        held_bytes = self._open.held_bytes + self._stream.unsent_bytes
        self._memory.resize_accepted(held_bytes)

    def sweep(self, now: float) -> None:
        """Close the connection if the timeout of its current state has expired."""
        stalled_s = self.stalled_s(now)
        self._update_held()
        if self._stream.is_lost:
            self.abort()
        elif self._stream.unsent_bytes:
            # The timeout of the next state begins when the buffer is sent.
            self._state_since = now
            if stalled_s > SEND_TIMEOUT_S:
                self.abort()
        elif self._phase is _Phase.CLOSED:
            self._finish()
        elif now - self._state_since > self._timeout_s():
            self.close()

    def _timeout_s(self) -> float:
        if self._phase is _Phase.LINGERING:
            return LINGER_TIMEOUT_S
        if self._open:
            return float("inf")
        if self._input.is_empty:
            return self._limits.idle_timeout_s
        body_s = BODY_TIMEOUT_S if self._parser.has_headers else 0.0
        return self._limits.header_timeout_s + body_s

    def _on_data(self, data: bytes) -> None:
        if self._phase is not _Phase.OPEN:
            self._discard(len(data))
            return
        if self.is_idle:
            self._state_since = time.monotonic()
        self._input.add(data)
        if self._input.is_deferred:
            self._hold_received()
        else:
            self._parse()

    def _hold_received(self) -> None:
        has_room = self._memory.receive(self._input.held_bytes)
        if self._phase is not _Phase.OPEN:
            # This request was given up to make room.
            self._memory.drop_received()
        elif not has_room:
            self._fail(make_full_error())

    def _discard(self, size: int) -> None:
        self._discarded_bytes += size
        self._update_reading()

    def _take_turn(self) -> None:
        self._input.is_deferred = False
        if self._phase is _Phase.OPEN:
            self._parse()

    def _parse(self) -> None:
        error = None
        try:
            self._input.parse()
        except HttpError as parse_error:
            # Requests before the malformed one still get their responses.
            error = parse_error
        self._accept(self._input.pop_requests())
        if error is not None:
            self._fail(error)
            return
        if self._phase is _Phase.OPEN:
            self._hold_received()
        self._proceed()

    def _proceed(self) -> None:
        self._start_handlers()
        if not self._open or self._open.has_next_response:
            self._flush()

    def _accept(self, requests: list[Request]) -> None:
        """Hold complete requests; those for which there is no room are rejected."""
        if not requests:
            return
        self._has_served = True
        received_bytes = self._memory.drop_received()
        for request in requests:
            exchange = Exchange(request)
            if self._memory.accept(exchange.held_bytes, received_bytes=received_bytes):
                self._open.add(exchange)
            else:
                response = self._error_response(make_full_error())
                self._open.add_rejected(exchange, response)
            # The first request was the one that was received in part.
            received_bytes = 0
            if not request.keep_alive:
                self._phase = _Phase.ENDING
                self._clear_input()
                break

    def _fail(self, error: HttpError) -> None:
        """Accept no further request; send an error after the open responses."""
        if self._phase is not _Phase.OPEN:
            return
        self._phase = _Phase.ENDING
        self._error = error
        self._clear_input()
        self._proceed()

    def _start_handlers(self) -> None:
        """Start handlers up to the limit."""
        while (exchange := self._open.pop_pending()) is not None:
            exchange.task = self._tasks.spawn(self._handle(exchange))
        self._update_reading()

    def _update_reading(self) -> None:
        """Pause or resume reading; let the connection wait for its turn."""
        if self._phase is _Phase.OPEN:
            full, unparsed = self._open.is_full, self._input.has_unparsed
            if unparsed and not full and not self._input.is_deferred:
                self._input.is_deferred = True
                self._input_queue.add(self._take_turn)
            pause = full or unparsed
        else:
            pause = self._discarded_bytes > MAX_DISCARDED_BYTES
        if pause is self._reading_paused:
            return
        self._reading_paused = pause
        if pause:
            self._stream.pause()
            if self._open.is_full:
                logger.bind(open=len(self._open)).info(
                    "calls: A connection has too many open requests; reading is paused."
                )
        else:
            self._stream.resume()

    def _on_end(self, error: Exception | None) -> None:
        # A caller that closed its sending side counts as disconnected: nobody reads
        # its responses.
        self.close()

    async def _handle(self, exchange: Exchange) -> None:
        try:
            response = await self._handler(exchange)
        except Exception:
            # A failed request must not end the connections of all others.
            logger.exception("calls: The handler of a request failed.")
            error = HttpError(
                HTTPStatus.BAD_GATEWAY, "the request could not be handled"
            )
            response = self._error_response(error)
        if self._phase is _Phase.CLOSED:
            return
        self._open.complete(exchange, response)
        self._update_held()
        self._flush()
        if self.held_bytes:
            self._on_held(len(response.body))

    def _flush(self) -> None:
        """Send complete responses in order until the write buffer is full."""
        if self._phase is _Phase.CLOSED:
            return
        while not self._sender.is_blocked and self._open.has_next_response:
            if not self._send_response(*self._open.pop_complete()):
                return
        self._start_handlers()
        self._update_held()
        if self._open or self._sender.is_blocked:
            return
        if self._error is not None:
            response, self._error = self._error_response(self._error), None
            self._send(encode_response(response, method="GET", keep_alive=False))
            self._linger()
        elif self._parser.expects_continue:
            self._parser.expects_continue = False
            self._send(CONTINUE)

    def _send_response(self, request: Request, response: Response) -> bool:
        """Send one response; return whether more may follow on the connection."""
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
        return self._sender.send(data)
