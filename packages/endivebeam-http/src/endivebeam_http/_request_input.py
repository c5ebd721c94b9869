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
MAX_PART_WORK = 32
SMALL_PART_BYTES = 512
# Time for the turns of connections in one iteration of the event loop.
TURNS_S = 0.002
# Fewer bytes than this are no progress of a request.
MIN_PROGRESS_BYTES = 4 << 10


class RequestInput:
    """The bytes of one connection that are not parsed yet, and their parser.

    ``is_deferred`` is set while the connection waits for its turn.
    """

    def __init__(self, *, parser: RequestParser) -> None:
        self._parser = parser
        self._unparsed: deque[memoryview] = deque()
        self._unparsed_bytes = 0
        self._part_bytes = PART_BYTES
        self._requests: list[Request] = []
        self._received_bytes = 0
        # Bytes received until the last progress; None for a request that was not looked
        # at yet.
        self._progress_bytes: int | None = None
        self._progress_at = 0.0
        self.is_deferred = False

    @property
    def has_unparsed(self) -> bool:
        """Whether received bytes still have to be parsed."""
        return bool(self._unparsed)

    @property
    def is_empty(self) -> bool:
        """Whether no request is received in part."""
        return not (self._unparsed or self._parser.started)

    @property
    def held_bytes(self) -> int:
        """Bytes of a request that is received in part, and those not parsed yet."""
        return self._unparsed_bytes + self._parser.message_bytes

    def add(self, data: bytes) -> None:
        """Add received bytes."""
        self._unparsed.append(memoryview(data))
        self._unparsed_bytes += len(data)
        self._received_bytes += len(data)

    def parse(self) -> None:
        """Parse added bytes until the work of a turn is done.

        Raises ``HttpError`` for a malformed request; those before it are kept.
        """
        parser = self._parser
        last_work = parser.work + MAX_TURN_WORK
        try:
            while self._unparsed and parser.work < last_work:
                work = parser.work
                requests = parser.feed(self._take_part())
                if requests:
                    self._requests += requests
                    self._progress_bytes = None
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
        self._unparsed_bytes = 0
        self._parser.discard()

    def stalled_s(self, now: float) -> float:
        """Return for how long a request that is received in part has made no progress.

        Times are seconds of a monotonic clock; ``now`` must not decrease.
        """
        before = self._progress_bytes
        progress = self._received_bytes - (before or 0)
        if self.is_empty or before is None or progress >= MIN_PROGRESS_BYTES:
            self._progress_bytes = self._received_bytes
            self._progress_at = now
        return now - self._progress_at

    def _take_part(self) -> memoryview:
        first = self._unparsed.popleft()
        part = first[: self._part_bytes]
        if len(part) < len(first):
            self._unparsed.appendleft(first[self._part_bytes :])
        self._unparsed_bytes -= len(part)
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
        while self._waiting:
            self._waiting.popleft()()
            if time.monotonic() >= ends_at:
                break
        self._scheduled = bool(self._waiting)
        if self._scheduled:
            asyncio.get_running_loop().call_soon(self._run)
