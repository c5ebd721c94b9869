"""One HTTP/1.1 connection of a server, with one request at a time."""

import time
from collections import deque
from collections.abc import Awaitable, Callable
from enum import Enum
from http import HTTPStatus

import anyio
import anyio.abc

from ._messages import (
    MAX_BODY_BYTES,
    MAX_PIPELINED,
    Field,
    HttpError,
    Request,
    Response,
)
from ._parsers import RequestParser

RECEIVE_BYTES = 65536
REQUEST_TIMEOUT_S = 20.0
IDLE_TIMEOUT_S = 120.0
SEND_TIMEOUT_S = 30.0
CLOSE_TIMEOUT_S = 1.0
# A disconnect within this time after the handler started is detected only when the
# response is sent.
DISCONNECT_WATCH_DELAY_S = 0.1
# Limit of pipelined bytes that are read while a request is handled.
MAX_READ_AHEAD_BYTES = 256 << 10
BODILESS_STATUS = frozenset({204, 304})

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

Handler = Callable[[Request], Awaitable[Response]]
ErrorResponse = Callable[[HttpError], Response]


class Phase(Enum):
    """Phase of a connection; each has its own timeout except ``HANDLING``."""

    IDLE = "idle"
    RECEIVING = "receiving"
    HANDLING = "handling"
    SENDING = "sending"


_PHASE_TIMEOUTS_S = {
    Phase.IDLE: IDLE_TIMEOUT_S,
    Phase.RECEIVING: REQUEST_TIMEOUT_S,
    Phase.SENDING: SEND_TIMEOUT_S,
}


def encode_response(response: Response, *, method: str, keep_alive: bool) -> bytes:
    """Return the encoded response with its ``Content-Length`` field.

    A response to HEAD keeps the ``Content-Length`` of the target, which is the
    length of the body that GET would return.
    """
    reason = _REASONS.get(response.status, b"Unknown")
    parts = [b"HTTP/1.1 %d %b\r\n" % (response.status, reason)]
    keeps_length = method == "HEAD" or response.status == 304
    for name, value in response.fields:
        if name == b"content-length" and not keeps_length:
            continue
        parts.append(b"%b: %b\r\n" % (name, value))
    parts.append(response.encoded_fields)
    bodiless = method == "HEAD" or response.status in BODILESS_STATUS
    if not bodiless:
        parts.append(b"content-length: %d\r\n" % len(response.body))
    if not keep_alive:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    if not bodiless:
        parts.append(response.body)
    return b"".join(parts)


class ServerConnection:
    """Serves the requests of one connection in order, one at a time.

    One task receives, handles and sends. It does not read while it handles a
    request, which keeps fast calls cheap. The owner calls ``sweep`` periodically:
    it enforces the timeout of each phase and, for slow requests, starts a
    background read that detects a disconnect of the caller.
    """

    def __init__(
        self,
        *,
        stream: anyio.abc.ByteStream,
        handler: Handler,
        error_response: ErrorResponse,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self._stream = stream
        self._handler = handler
        self._error_response = error_response
        self._parser = RequestParser(max_body_bytes=max_body_bytes)
        self._requests: deque[Request] = deque()
        self._scope = anyio.CancelScope()
        self._phase = Phase.IDLE
        self._phase_since = time.monotonic()
        self._timed_out = False
        self._close_announced = False
        self._close_when_idle = False
        # Set when the background read has received bytes or ended.
        self._watch_event: anyio.Event | None = None
        self._watch_running = False
        self._read_ahead = b""

    async def run(self) -> None:
        """Serve until either side closes the connection."""
        try:
            with self._scope:
                await self._serve()
            if self._timed_out:
                await self._send_timeout_error()
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(CLOSE_TIMEOUT_S):
                await self._stream.aclose()

    def announce_close(self) -> None:
        """Send ``Connection: close`` with the next response, then close.

        An idle connection stays open: closing it could lose a request that the
        caller is sending at that time.
        """
        self._close_announced = True

    def drain(self) -> None:
        """Close the connection as soon as no request is in progress."""
        self._close_announced = True
        self._close_when_idle = True
        if self._phase is Phase.IDLE:
            self._scope.cancel()

    def sweep(self, now: float, tasks: anyio.abc.TaskGroup) -> None:
        """Enforce timeouts; start to watch for a disconnect during a slow request."""
        elapsed_s = now - self._phase_since
        if self._phase is Phase.HANDLING:
            if elapsed_s >= DISCONNECT_WATCH_DELAY_S and self._watch_event is None:
                self._watch_event = anyio.Event()
                self._watch_running = True
                tasks.start_soon(self._watch_for_disconnect)
        elif elapsed_s >= _PHASE_TIMEOUTS_S[self._phase]:
            self._timed_out = self._phase is Phase.RECEIVING
            self._scope.cancel()

    async def _serve(self) -> None:
        while True:
            try:
                request = await self._next_request()
            except HttpError as error:
                await self._send_error(error)
                return
            if request is None:
                return
            keep_alive = await self._respond(request)
            if not keep_alive:
                return

    async def _next_request(self) -> Request | None:
        while not self._requests:
            if not self._parser.started:
                if self._close_when_idle:
                    return None
                self._enter_phase(Phase.IDLE)
            data = await self._receive()
            if not data:
                return None
            if self._phase is Phase.IDLE:
                self._enter_phase(Phase.RECEIVING)
            self._requests.extend(self._parser.feed(data))
            if len(self._requests) > MAX_PIPELINED:
                raise HttpError(HTTPStatus.BAD_REQUEST, "too many pipelined requests")
            if self._parser.expects_continue:
                self._parser.expects_continue = False
                await self._send(CONTINUE)
        return self._requests.popleft()

    async def _respond(self, request: Request) -> bool:
        self._enter_phase(Phase.HANDLING)
        response = await self._handler(request)
        self._enter_phase(Phase.SENDING)
        keep_alive = (
            request.keep_alive and response.keep_alive and not self._close_announced
        )
        data = encode_response(response, method=request.method, keep_alive=keep_alive)
        return await self._send(data) and keep_alive

    async def _watch_for_disconnect(self) -> None:
        # Reads while a handler runs. The end of the stream cancels the handler; bytes
        # of pipelined requests are buffered for the next receive.
        try:
            while len(self._read_ahead) < MAX_READ_AHEAD_BYTES:
                data = await self._receive_bytes()
                if not data:
                    self._scope.cancel()
                    return
                self._read_ahead += data
                if self._phase is not Phase.HANDLING:
                    return
                self._set_watch_event()
        finally:
            self._watch_running = False
            self._set_watch_event()

    def _set_watch_event(self) -> None:
        if self._watch_event is not None:
            self._watch_event.set()

    async def _receive(self) -> bytes:
        if self._watch_event is None:
            return await self._receive_bytes()
        # Only one task may read at a time, so wait for the background read instead.
        await self._watch_event.wait()
        self._watch_event = anyio.Event() if self._watch_running else None
        data, self._read_ahead = self._read_ahead, b""
        return data

    async def _receive_bytes(self) -> bytes:
        try:
            return await self._stream.receive(RECEIVE_BYTES)
        except (anyio.EndOfStream, anyio.ClosedResourceError, OSError):
            return b""
        except anyio.BrokenResourceError:
            return b""

    def _enter_phase(self, phase: Phase) -> None:
        self._phase = phase
        self._phase_since = time.monotonic()

    async def _send_timeout_error(self) -> None:
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            await self._send_error(
                HttpError(HTTPStatus.REQUEST_TIMEOUT, "request was not sent in time")
            )

    async def _send_error(self, error: HttpError) -> None:
        self._enter_phase(Phase.SENDING)
        response = self._error_response(error)
        await self._send(encode_response(response, method="GET", keep_alive=False))

    async def _send(self, data: bytes) -> bool:
        try:
            await self._stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            return False
        return True


def plain_error_response(error: HttpError) -> Response:
    """Return a plain-text response with the message of the error."""
    fields = [Field(b"content-type", b"text/plain")]
    body = error.message.encode() + b"\n"
    return Response(status=int(error.status), fields=fields, body=body)
