"""Pool of connections to one target, with one exchange at a time on each.

A response is matched to its request by an id that the target echoes, because a
target may send a late response in place of the next one.
"""

import asyncio
import re
import time
from collections.abc import Awaitable, Callable

import anyio

from ._client import NotSentError
from ._loss_detection import LossDetection
from ._memory import HeldBytes, MemoryBudget, Purpose
from ._messages import MAX_BODY_BYTES, ConnectionLostError, HttpError, Response
from ._responses import ResponseQueue
from ._transport import TcpStream

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 256
# A target takes a request of one segment at once if it is there. It may read a longer
# one slowly, so that its window stays closed; the request's time is the limit then.
MAX_SEGMENT_BYTES = 1200
# Keep-alive time of a target that sends no ``Keep-Alive: timeout``.
DEFAULT_KEEP_ALIVE_S = 5.0
# A connection is reused only within this fraction of the keep-alive time; the rest
# covers the time until the request arrives at the target.
KEEP_ALIVE_FRACTION = 0.8
# The same for requests that cannot be retried.
AT_MOST_ONCE_KEEP_ALIVE_FRACTION = 0.4
# Responses to other requests that one exchange may skip before it fails.
MAX_SKIPPED_RESPONSES = 2
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)")

Connect = Callable[[], Awaitable[TcpStream]]
Matches = Callable[[Response], bool]


class MismatchedResponseError(Exception):
    """The target sent responses that do not match the request."""


class TargetConnection:
    """One connection to a target; ``is_new`` is true until the first exchange."""

    def __init__(
        self,
        *,
        stream: TcpStream,
        max_body_bytes: int = MAX_BODY_BYTES,
        budget: MemoryBudget | None = None,
    ) -> None:
        self._stream = stream
        self._received = HeldBytes(budget or MemoryBudget())
        self._queue = ResponseQueue(max_body_bytes=max_body_bytes)
        self._loop = asyncio.get_running_loop()
        self._waiter: asyncio.Future[Response] | None = None
        self._matches: Matches = _match_none
        self._skipped = 0
        self._ended = False
        self.closed = False
        self.idle_since = time.monotonic()
        self.is_new = True
        self.keep_alive_s = DEFAULT_KEEP_ALIVE_S
        self._keep_alive_value: bytes | None = None
        stream.consume(self._on_data, self._on_end)

    def is_usable(self, *, fraction: float) -> bool:
        """Return whether the connection may be used for another request.

        It may not if it was idle for more than ``fraction`` of the keep-alive
        time or if either side closed it.
        """
        idle_s = time.monotonic() - self.idle_since
        if self.closed or idle_s > self.keep_alive_s * fraction:
            return False
        return not self._ended

    async def exchange(
        self, data: bytes, *, head_only: bool, matches: Matches, timeout_s: float
    ) -> Response:
        """Send a request and return the response that matches it.

        Raises ``ConnectionLostError``, ``HttpError``, ``MismatchedResponseError`` or
        ``TimeoutError``. The connection is closed after an error or a cancellation,
        so that the target cancels the request.
        """
        self._queue.head_only = head_only
        self.is_new = False
        self._matches = matches
        self._skipped = 0
        waiter: asyncio.Future[Response] = self._loop.create_future()
        self._waiter = waiter
        timer = self._loop.call_later(timeout_s, self._on_timeout)
        try:
            self._send(data)
            response = await waiter
        except BaseException:
            self.close()
            raise
        finally:
            timer.cancel()
            self._waiter = None
            self._received.resize(0)
        self._update_keep_alive(response)
        # A target may respond before it has read a long body; the connection cannot be
        # reused while the rest of the body is unsent.
        unsent = self._stream.unsent_bytes > 0
        # After an answer to another request the answers are behind the requests: any
        # later one may be a copy too.
        unusable = self._queue.broken or self._queue.has_more or self._skipped > 0
        if unsent or unusable or not response.keep_alive:
            self.close()
        return response

    @property
    def has_skipped_responses(self) -> bool:
        """Whether the last exchange skipped responses to other requests."""
        return self._skipped > 0

    def close(self) -> None:
        """Close the connection at once."""
        self.closed = True
        self._stream.abort()

    def _send(self, data: bytes) -> None:
        if self._ended:
            raise ConnectionLostError("the target closed the connection")
        is_short = len(data) <= MAX_SEGMENT_BYTES
        self._stream.detect_loss(
            LossDetection.UNTAKEN_DATA if is_short else LossDetection.UNANSWERED_PROBES
        )
        try:
            self._stream.send_now(data)
        except anyio.BrokenResourceError as error:
            raise ConnectionLostError("the connection broke") from error

    def _on_data(self, data: bytes) -> None:
        if self._waiter is None:
            # Bytes that belong to no request: a target may go on sending them without
            # end, and reading them would cost processor time for as long.
            self.close()
            return
        try:
            self._queue.feed(data)
        except HttpError as error:
            self._fail(error)
            return
        if not self._received.grow(self._queue.message_bytes, Purpose.ANSWER):
            # At once: the exchange ends only when all other connections were read.
            self._fail(ConnectionLostError("no memory is left for the response"))
            self._queue.discard()
            self.close()
            return
        self._match_responses()

    def _on_end(self, error: Exception | None) -> None:
        self._ended = True
        if self._waiter is None:
            return
        if error is not None:
            self._fail(ConnectionLostError(f"the connection broke: {error}"))
            return
        if self._stream.has_untaken_bytes:
            # A target in trouble: what it sent before may be a part of its answer.
            reason = "the target closed the connection before it took the request"
            self._fail(ConnectionLostError(reason))
            return
        self._queue.finish()
        self._match_responses()

    def _match_responses(self) -> None:
        while (response := self._queue.pop()) is not None:
            if self._matches(response):
                if self._waiter is not None and not self._waiter.done():
                    self._waiter.set_result(response)
                return
            self._skipped += 1
            if self._skipped > MAX_SKIPPED_RESPONSES:
                self._fail(
                    MismatchedResponseError("the answers belong to other requests")
                )
                return
        if self._queue.broken:
            self._fail(ConnectionLostError("the target closed the connection"))

    def _on_timeout(self) -> None:
        self._fail(TimeoutError("no response in time"))

    def _fail(self, error: Exception) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(error)

    def _update_keep_alive(self, response: Response) -> None:
        self.idle_since = time.monotonic()
        value = response.get(b"keep-alive")
        if value == self._keep_alive_value:
            return
        self._keep_alive_value = value
        timeout_match = _KEEP_ALIVE_TIMEOUT.search(value) if value else None
        if timeout_match:
            self.keep_alive_s = float(timeout_match.group(1))


def _match_none(response: Response) -> bool:
    return False


class TargetPool:
    """A pool of connections to one target; reuses the last released one first.

    ``budget`` bounds what is held of responses that are received in part.
    """

    def __init__(
        self,
        *,
        connect: Connect,
        max_body_bytes: int = MAX_BODY_BYTES,
        budget: MemoryBudget | None = None,
    ) -> None:
        self._connect = connect
        self._budget = budget
        self._max_body_bytes = max_body_bytes
        self._idle: list[TargetConnection] = []

    async def acquire(
        self, *, at_most_once: bool, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> TargetConnection:
        """Return an idle or a new connection for one exchange.

        ``at_most_once`` is for requests that cannot be retried: it returns only
        connections that are far from the target's keep-alive timeout. Raises
        ``NotSentError`` if no connection can be opened within ``timeout_s``.
        """
        fraction = (
            AT_MOST_ONCE_KEEP_ALIVE_FRACTION if at_most_once else KEEP_ALIVE_FRACTION
        )
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
        return TargetConnection(
            stream=stream, max_body_bytes=self._max_body_bytes, budget=self._budget
        )

    def release(self, connection: TargetConnection) -> None:
        """Return a connection to the pool after its exchange."""
        if connection.closed:
            return
        if len(self._idle) >= MAX_IDLE_CONNECTIONS:
            connection.close()
        else:
            self._idle.append(connection)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()
