"""Connections to one target, with one exchange at a time on each.

Responses are matched to requests by an id that the target echoes, because a
target may send a response late, at the place of the next one.
"""

import asyncio
import re
import time
from collections.abc import Awaitable, Callable

import anyio

from ._client import NotSentError
from ._messages import MAX_BODY_BYTES, ConnectionLostError, HttpError, Response
from ._responses import ResponseQueue
from ._transport import TcpStream

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE = 256
# Idle time after which a connection is not reused when the target told none.
DEFAULT_KEEP_ALIVE_S = 5.0
# Part of the announced keep-alive time that is used; the rest covers the way.
KEEP_ALIVE_FRACTION = 0.8
CAREFUL_FRACTION = 0.4
# Responses to other requests that may be skipped before the connection is closed.
MAX_SKIPPED = 2
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)")

Connect = Callable[[], Awaitable[TcpStream]]
Matches = Callable[[Response], bool]


class WrongAnswerError(Exception):
    """The target sent bytes that are not the answer to the request."""


class TargetConnection:
    """One connection; ``is_new`` until its first exchange begins."""

    def __init__(
        self, *, stream: TcpStream, max_body_bytes: int = MAX_BODY_BYTES
    ) -> None:
        self._stream = stream
        self._queue = ResponseQueue(max_body_bytes=max_body_bytes)
        self._loop = asyncio.get_running_loop()
        self._waiter: asyncio.Future[Response] | None = None
        self._matches: Matches = _refuse_all
        self._skipped = 0
        self._ended = False
        self._spoilt = False
        self.closed = False
        self.idle_since = time.monotonic()
        self.is_new = True
        self.keep_alive_s = DEFAULT_KEEP_ALIVE_S
        stream.consume(self._take, self._end)

    def is_usable(self, *, fraction: float) -> bool:
        """Return whether the connection may carry another request.

        A connection that the target closed, or on which it sent bytes that
        belong to no request, is of no use.
        """
        idle_s = time.monotonic() - self.idle_since
        if self.closed or idle_s > self.keep_alive_s * fraction:
            return False
        return not (self._ended or self._spoilt)

    async def exchange(
        self, data: bytes, *, head_only: bool, matches: Matches, timeout_s: float
    ) -> Response:
        """Send a request and return the response that matches it.

        Raises ``ConnectionLostError``, ``HttpError``, ``WrongAnswerError`` or
        ``TimeoutError``.
        The connection is closed after any error and after a cancellation, which
        tells the target to stop its work.
        """
        self._queue.head_only = head_only
        self.is_new = False
        self._matches = matches
        self._skipped = 0
        waiter: asyncio.Future[Response] = self._loop.create_future()
        self._waiter = waiter
        timer = self._loop.call_later(timeout_s, self._expire)
        try:
            self._start(data)
            response = await waiter
        except BaseException:
            self.close()
            raise
        finally:
            timer.cancel()
            self._waiter = None
        self._note_keep_alive(response)
        # A target may answer before it has read a long body; the rest is still due.
        unsent = self._stream.unsent_bytes > 0
        spent = self._queue.broken or self._queue.has_more
        if unsent or spent or not response.keep_alive:
            self.close()
        return response

    def close(self) -> None:
        """Close the connection at once."""
        self.closed = True
        self._stream.abort()

    def _start(self, data: bytes) -> None:
        if self._ended:
            raise ConnectionLostError("the target closed the connection")
        try:
            self._stream.send_now(data)
        except anyio.BrokenResourceError as error:
            raise ConnectionLostError("the connection broke") from error

    def _take(self, data: bytes) -> None:
        if self._waiter is None:
            self._spoilt = True
            return
        try:
            self._queue.feed(data)
        except HttpError as error:
            self._fail(error)
            return
        self._look_for_response()

    def _end(self, error: Exception | None) -> None:
        self._ended = True
        if self._waiter is None:
            return
        if error is not None:
            self._fail(ConnectionLostError(f"the connection broke: {error}"))
            return
        self._queue.finish()
        self._look_for_response()

    def _look_for_response(self) -> None:
        while (response := self._queue.take()) is not None:
            if self._matches(response):
                if self._waiter is not None and not self._waiter.done():
                    self._waiter.set_result(response)
                return
            self._skipped += 1
            if self._skipped > MAX_SKIPPED:
                self._fail(WrongAnswerError("the answers belong to other requests"))
                return
        if self._queue.broken:
            self._fail(ConnectionLostError("the target closed the connection"))

    def _expire(self) -> None:
        self._fail(TimeoutError("no answer in time"))

    def _fail(self, error: Exception) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(error)

    def _note_keep_alive(self, response: Response) -> None:
        self.idle_since = time.monotonic()
        value = response.get(b"keep-alive")
        found = _KEEP_ALIVE_TIMEOUT.search(value) if value else None
        if found:
            self.keep_alive_s = float(found.group(1))


def _refuse_all(response: Response) -> bool:
    return False


class TargetPool:
    """Connections to one target; the newest idle one is reused first."""

    def __init__(
        self, *, connect: Connect, max_body_bytes: int = MAX_BODY_BYTES
    ) -> None:
        self._connect = connect
        self._max_body_bytes = max_body_bytes
        self._idle: list[TargetConnection] = []

    async def acquire(
        self, *, careful: bool, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> TargetConnection:
        """Return a connection for one exchange.

        A ``careful`` caller cannot repeat its request, so it gets only
        connections that are far from the target's idle timeout. Raises
        ``NotSentError`` when no connection can be opened in time.
        """
        fraction = CAREFUL_FRACTION if careful else KEEP_ALIVE_FRACTION
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable(fraction=fraction):
                return connection
            connection.close()
        try:
            with anyio.fail_after(min(timeout_s, CONNECT_TIMEOUT_S)):
                stream = await self._connect()
        except (OSError, TimeoutError) as error:
            raise NotSentError(f"no connection to the target: {error}") from error
        return TargetConnection(stream=stream, max_body_bytes=self._max_body_bytes)

    def release(self, connection: TargetConnection) -> None:
        """Take a connection back after its exchange."""
        if connection.closed:
            return
        if len(self._idle) >= MAX_IDLE:
            connection.close()
        else:
            self._idle.append(connection)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()
