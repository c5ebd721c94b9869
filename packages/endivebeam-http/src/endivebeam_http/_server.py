"""Server side of one HTTP/1.1 connection."""

from collections import deque
from collections.abc import Awaitable, Callable
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
BODILESS_STATUS = frozenset({204, 304})

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

Handler = Callable[[Request], Awaitable[Response]]
ErrorResponse = Callable[[HttpError], Response]


def encode_response(response: Response, *, method: str, keep_alive: bool) -> bytes:
    """Return the bytes of a response with its framing fields.

    A response to HEAD keeps the ``Content-Length`` of the target, because it
    tells the length of the body that GET would return.
    """
    reason = _REASONS.get(response.status, b"Unknown")
    parts = [b"HTTP/1.1 %d %b\r\n" % (response.status, reason)]
    keeps_length = method == "HEAD" or response.status == 304
    for name, value in response.fields:
        if name == b"content-length" and not keeps_length:
            continue
        parts.append(b"%b: %b\r\n" % (name, value))
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
    """Serves requests of one connection in order, one at a time.

    When the client closes the connection, the request that is being handled
    is cancelled. ``drain`` closes the connection after the current request.
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
        self._arrived = anyio.Event()
        self._room = anyio.Event()
        self._ended = False
        self._error: HttpError | None = None
        self._scope: anyio.CancelScope | None = None
        self._draining = False
        self._idle_scope: anyio.CancelScope | None = None

    async def run(self) -> None:
        """Serve until either side closes the connection."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._read)
                await self._serve()
                tasks.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
                await self._stream.aclose()

    def drain(self) -> None:
        """Close the connection as soon as no request is in progress."""
        self._draining = True
        if self._idle_scope is not None and not self._parser.started:
            self._idle_scope.cancel()

    async def _serve(self) -> None:
        while True:
            request = await self._next_request()
            if request is None:
                return
            keep_alive = await self._respond(request)
            if not keep_alive:
                return

    async def _next_request(self) -> Request | None:
        while not self._requests:
            if self._error is not None:
                await self._send_error(self._error)
                return None
            if self._ended or (self._draining and not self._parser.started):
                return None
            self._arrived = anyio.Event()
            with anyio.move_on_after(self._wait_limit()) as scope:
                self._idle_scope = scope
                await self._arrived.wait()
            self._idle_scope = None
            if scope.cancelled_caught:
                await self._report_timeout()
                return None
        self._room.set()
        return self._requests.popleft()

    def _wait_limit(self) -> float:
        return REQUEST_TIMEOUT_S if self._parser.started else IDLE_TIMEOUT_S

    async def _report_timeout(self) -> None:
        if self._parser.started:
            await self._send_error(
                HttpError(HTTPStatus.REQUEST_TIMEOUT, "request was not sent in time")
            )

    async def _respond(self, request: Request) -> bool:
        response: Response | None = None
        with anyio.CancelScope() as scope:
            self._scope = scope
            response = await self._handler(request)
        self._scope = None
        if response is None:
            return False
        keep_alive = request.keep_alive and response.keep_alive and not self._draining
        data = encode_response(response, method=request.method, keep_alive=keep_alive)
        return await self._send(data) and keep_alive

    async def _read(self) -> None:
        while True:
            try:
                data = await self._stream.receive(RECEIVE_BYTES)
            except (anyio.EndOfStream, anyio.ClosedResourceError, OSError):
                break
            except anyio.BrokenResourceError:
                break
            if not await self._feed(data):
                return
        self._ended = True
        self._arrived.set()
        if self._scope is not None:
            self._scope.cancel()

    async def _feed(self, data: bytes) -> bool:
        try:
            requests = self._parser.feed(data)
        except HttpError as error:
            self._error = error
            self._arrived.set()
            return False
        if requests:
            self._requests.extend(requests)
            self._arrived.set()
        if self._parser.expects_continue:
            self._parser.expects_continue = False
            await self._send(_CONTINUE)
        while len(self._requests) > MAX_PIPELINED:
            self._room = anyio.Event()
            await self._room.wait()
        return True

    async def _send_error(self, error: HttpError) -> None:
        response = self._error_response(error)
        await self._send(encode_response(response, method="GET", keep_alive=False))

    async def _send(self, data: bytes) -> bool:
        try:
            with anyio.fail_after(SEND_TIMEOUT_S):
                await self._stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return False
        except (OSError, TimeoutError):
            return False
        return True


def plain_error_response(error: HttpError) -> Response:
    """Return a response that only names the error."""
    fields = [Field(b"content-type", b"text/plain")]
    body = error.message.encode() + b"\n"
    return Response(status=int(error.status), fields=fields, body=body)
