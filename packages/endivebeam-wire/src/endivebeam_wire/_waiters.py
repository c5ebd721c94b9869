"""Requests of the local side that wait for their replies."""

import asyncio
import itertools
from collections.abc import Iterator
from enum import Enum

from ._messages import Reply


class StreamLostError(Exception):
    """The stream ended, or its peer was silent too long, before a reply arrived."""


class StreamFullError(Exception):
    """Too many requests wait for replies, or too many bytes wait to be sent."""


class _Expired(Enum):
    """Result of a wait that timed out."""

    EXPIRED = "expired"


# The reply, None when the stream was lost, or EXPIRED when the wait timed out.
_Result = Reply | _Expired | None
ReplyFuture = asyncio.Future[_Result]


class PendingRequests:
    """Pending requests of one stream by id; an id is never reused."""

    def __init__(self, *, max_pending: int) -> None:
        self._max_pending = max_pending
        self._ids: Iterator[int] = itertools.count(1)
        self._futures: dict[int, ReplyFuture] = {}
        self._loop = asyncio.get_running_loop()

    def __len__(self) -> int:
        """Return the number of pending requests."""
        return len(self._futures)

    def next_id(self) -> int:
        """Return a request id that was not used on this stream before."""
        return next(self._ids)

    def add(self, request_id: int) -> ReplyFuture:
        """Add a request; raises ``StreamFullError`` when too many are pending."""
        if len(self._futures) >= self._max_pending:
            raise StreamFullError("too many requests wait on this stream")
        future: ReplyFuture = self._loop.create_future()
        self._futures[request_id] = future
        return future

    async def wait(
        self, request_id: int, future: ReplyFuture, timeout_s: float | None
    ) -> Reply:
        """Wait for a reply and return it.

        Raises ``StreamLostError``, or ``TimeoutError`` after ``timeout_s`` seconds.
        """
        timer = None
        if timeout_s is not None:
            timer = self._loop.call_later(timeout_s, _resolve, future, _Expired.EXPIRED)
        try:
            reply = await future
        finally:
            if timer is not None:
                timer.cancel()
            self._futures.pop(request_id, None)
        if reply is None:
            raise StreamLostError("stream was lost before the reply arrived")
        if isinstance(reply, _Expired):
            raise TimeoutError
        return reply

    def discard(self, request_id: int) -> None:
        """Remove a request that could not be sent."""
        self._futures.pop(request_id, None)

    def deliver(self, reply: Reply) -> None:
        """Pass a reply to the task that waits for it.

        Drops a reply whose request is no longer pending, and a second reply that
        arrives before the waiting task has run.
        """
        future = self._futures.get(reply.request_id)
        if future is not None:
            _resolve(future, reply)

    def fail_all(self) -> None:
        """Fail all pending requests with ``StreamLostError``."""
        for future in self._futures.values():
            _resolve(future, None)


def _resolve(future: ReplyFuture, result: _Result) -> None:
    if not future.done():
        future.set_result(result)
