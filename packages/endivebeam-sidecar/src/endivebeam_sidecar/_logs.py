"""Structured logs on standard output, bounded in rate and never blocking.

A line is a JSON object with the part of the node that writes it, a short
sentence and the values that decided. When nobody reads standard output, or when
too many lines come at once, lines are counted and left out.
"""

import os
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import anyio
import msgspec
from loguru import logger

from ._decisions import DecisionLog

if TYPE_CHECKING:
    from loguru import Message, Record

LINES_PER_S = 200.0
BURST_LINES = 600.0
# The last part of the budget is kept for lines that explain a failure.
DETAIL_LEVEL = BURST_LINES / 3
MAX_WAITING_BYTES = 1 << 20
# Lines that wait this long are written together.
FLUSH_PERIOD_S = 0.05

_encoder = msgspec.json.Encoder(enc_hook=str)


class LineBudget:
    """Token bucket of log lines; lines of decisions on failures go first."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._tokens = BURST_LINES
        self._at = clock()
        self.omitted = 0

    def take(self, *, urgent: bool) -> bool:
        """Return whether a line may be written."""
        self._refill()
        least = 1.0 if urgent else DETAIL_LEVEL
        if self._tokens < least:
            self.omitted += 1
            return False
        self._tokens -= 1.0
        return True

    def _refill(self) -> None:
        now = self._clock()
        self._tokens = min(BURST_LINES, self._tokens + (now - self._at) * LINES_PER_S)
        self._at = now


class LineWriter:
    """Writes lines to a descriptor without blocking.

    Lines are gathered until ``flush``, because each write is a system call.
    """

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self.lost = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line now or later; it is lost when too many bytes wait."""
        if self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self.lost += 1
            return
        self._waiting.append(line)
        self._waiting_bytes += len(line)

    def flush(self) -> None:
        """Write what the reader takes."""
        while self._waiting:
            line = b"".join(self._waiting)
            self._waiting.clear()
            self._waiting.append(line)
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good; nothing more can be written.
                self.lost += len(self._waiting)
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written == len(line):
                self._waiting.popleft()
            else:
                self._waiting[0] = line[written:]


class Logs(NamedTuple):
    """Where lines go, and the log of decisions about requests."""

    writer: LineWriter
    decisions: DecisionLog


def configure_logging(
    *, node_id: str, level: str, clock: Callable[[], float], descriptor: int = 1
) -> Logs:
    """Send log lines of this process to a descriptor, standard output by default."""
    writer = LineWriter(descriptor=descriptor)
    budget = LineBudget(clock=clock)

    def keep(record: "Record") -> bool:
        return budget.take(urgent=record["level"].no >= 30)

    def write(message: "Message") -> None:
        omitted, budget.omitted = budget.omitted, 0
        lost, writer.lost = writer.lost, 0
        writer.write(format_line(message.record, node_id, omitted + lost))
        if message.record["level"].no >= 30:
            writer.flush()

    logger.remove()
    logger.add(write, level=level, filter=keep, format="{message}", catch=False)
    decisions = DecisionLog(node_id=node_id, budget=budget, write=writer.write)
    return Logs(writer=writer, decisions=decisions)


async def flush_forever(writer: LineWriter) -> None:
    """Write gathered lines until cancelled."""
    while True:
        await anyio.sleep(FLUSH_PERIOD_S)
        writer.flush()


def format_line(record: "Record", node_id: str, omitted: int) -> bytes:
    """Return a record as one JSON line.

    The message starts with the prefix of its part, such as ``calls:``.
    """
    part, colon, message = record["message"].partition(": ")
    if not colon:
        part, message = "node", record["message"]
    line: dict[str, object] = {
        "at": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "node": node_id,
        "part": part,
        "message": message,
        **record["extra"],
    }
    if omitted:
        line["omitted"] = omitted
    if record["exception"] is not None:
        line["error"] = repr(record["exception"].value)
    return _encoder.encode(line) + b"\n"
