"""Requests of this side that wait for their replies."""

import asyncio
import itertools
from collections.abc import Iterator
from enum import Enum

from ._messages import Reply


class StreamLostError(Exception):
    """The stream ended or went silent before a reply arrived."""


class StreamFullError(Exception):
    """The stream has too many requests or too many bytes waiting."""


class _Expired(Enum):
    """Result of a wait whose time was over."""

    EXPIRED = "expired"


# The reply, None when the stream was lost, or the mark of a wait that expired.
_Result = Reply | _Expired | None
Waiter = asyncio.Future[_Result]


class Waiters:
    """Waiting requests by id; an id is never used again on the same stream."""

    def __init__(self, *, most: int) -> None:
        self._most = most
        self._ids: Iterator[int] = itertools.count(1)
        self._waiters: dict[int, Waiter] = {}
        self._loop = asyncio.get_running_loop()

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waiters)

    def next_id(self) -> int:
        """Return a request id that was never used on this stream."""
        return next(self._ids)

    def add(self, request_id: int) -> Waiter:
        """Note a request; raises ``StreamFullError`` beyond the bound."""
        if len(self._waiters) >= self._most:
            raise StreamFullError("too many requests wait on this stream")
        waiter: Waiter = self._loop.create_future()
        self._waiters[request_id] = waiter
        return waiter

    async def wait(
        self, request_id: int, waiter: Waiter, timeout_s: float | None
    ) -> Reply:
        """Return the reply; raises ``StreamLostError`` or ``TimeoutError``."""
        timer = None
        if timeout_s is not None:
            timer = self._loop.call_later(timeout_s, _resolve, waiter, _Expired.EXPIRED)
        try:
            reply = await waiter
        finally:
            if timer is not None:
                timer.cancel()
            self._waiters.pop(request_id, None)
        if reply is None:
            raise StreamLostError("stream was lost before the reply arrived")
        if isinstance(reply, _Expired):
            raise TimeoutError
        return reply

    def forget(self, request_id: int) -> None:
        """Forget a request that could not be sent."""
        self._waiters.pop(request_id, None)

    def deliver(self, reply: Reply) -> None:
        """Pass a reply on.

        A reply whose request is gone has no waiter and is dropped, and so is a
        second reply that comes before the waiting task has run.
        """
        waiter = self._waiters.get(reply.request_id)
        if waiter is not None:
            _resolve(waiter, reply)

    def lose_all(self) -> None:
        """Let all requests fail, because the stream was lost."""
        for waiter in self._waiters.values():
            _resolve(waiter, None)


def _resolve(waiter: Waiter, result: _Result) -> None:
    if not waiter.done():
        waiter.set_result(result)
