"""Received bytes of callers, parsed in small parts and in turns.

A read may bring many requests, or a body in many chunks, and their work would keep the
event loop from all other connections. So the work for one connection in one turn is
bounded, and connections with more input take turns.
"""

import asyncio
import time
from collections import deque
from collections.abc import Callable

from ._messages import HttpError, Request
from ._parsers import RequestParser

# Work of a connection in one turn, as counted by the parser.
MAX_TURN_WORK = 128
PART_BYTES = 2 << 10
# After a part with more work than this, the next one is small.
MAX_PART_WORK = 16
SMALL_PART_BYTES = 512
# Time for the turns of connections in one iteration of the event loop.
TURNS_S = 0.002


class RequestInput:
    """The bytes of one connection that are not parsed yet, and their parser.

    ``is_deferred`` is set while the connection waits for its turn.
    """

    def __init__(self, *, parser: RequestParser) -> None:
        self._parser = parser
        self._unparsed: deque[memoryview] = deque()
        self._part_bytes = PART_BYTES
        self._requests: list[Request] = []
        self.is_deferred = False

    @property
    def has_unparsed(self) -> bool:
        """Whether received bytes still have to be parsed."""
        return bool(self._unparsed)

    @property
    def is_empty(self) -> bool:
        """Whether no request is received in part."""
        return not (self._unparsed or self._parser.started)

    def add(self, data: bytes) -> None:
        """Add received bytes."""
        self._unparsed.append(memoryview(data))

    def parse(self) -> None:
        """Parse added bytes until the work of a turn is done.

        Raises ``HttpError`` for a malformed request; those before it are kept.
        """
        parser = self._parser
        last_work = parser.work + MAX_TURN_WORK
        try:
            while self._unparsed and parser.work < last_work:
                work = parser.work
                self._requests += parser.feed(self._take_part())
                self._adapt_part(parser.work - work)
        except HttpError:
            self._requests += parser.pop_complete()
            raise

    def pop_requests(self) -> list[Request]:
        """Return and remove the requests that are complete."""
        requests, self._requests = self._requests, []
        return requests

    def clear(self) -> None:
        """Drop everything that is received."""
        self._unparsed.clear()
        self._parser.discard()

    def _take_part(self) -> memoryview:
        first = self._unparsed.popleft()
        part = first[: self._part_bytes]
        if len(part) < len(first):
            self._unparsed.appendleft(first[self._part_bytes :])
        return part

    def _adapt_part(self, work: int) -> None:
        self._part_bytes = SMALL_PART_BYTES if work > MAX_PART_WORK else PART_BYTES


class InputQueue:
    """Connections whose input waits to be parsed; each takes a turn after the other."""

    def __init__(self) -> None:
        self._waiting: deque[Callable[[], None]] = deque()
        self._scheduled = False

    def add(self, take_turn: Callable[[], None]) -> None:
        """Call a function in one of the next iterations of the event loop."""
        self._waiting.append(take_turn)
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        ends_at = time.monotonic() + TURNS_S
        while self._waiting and time.monotonic() < ends_at:
            self._waiting.popleft()()
        self._scheduled = bool(self._waiting)
        if self._scheduled:
            asyncio.get_running_loop().call_soon(self._run)
