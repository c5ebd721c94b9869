"""Structured logs on standard output, limited in rate and non-blocking.

A line is a JSON object with the part of the node that writes it, a short message
and the values behind it. Lines are dropped and counted when nothing reads standard
output or when too many are written at once.
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
# The last third of the budget is reserved for failures and changes of state.
RESERVED_LINES = BURST_LINES / 3
MAX_PENDING_BYTES = 1 << 20
# Lines written within this time share one system call.
FLUSH_PERIOD_S = 0.5

_encoder = msgspec.json.Encoder(enc_hook=str)


class LineBudget:
    """Token bucket of log lines with a reserve for urgent ones."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._tokens = BURST_LINES
        self._refilled_at = clock()
        self.omitted = 0

    def try_acquire(self, *, urgent: bool) -> bool:
        """Return whether a line may be written, and count it."""
        self._refill()
        required = 1.0 if urgent else RESERVED_LINES
        if self._tokens < required:
            self.omitted += 1
            return False
        self._tokens -= 1.0
        return True

    def _refill(self) -> None:
        now = self._clock()
        self._tokens = min(
            BURST_LINES, self._tokens + (now - self._refilled_at) * LINES_PER_S
        )
        self._refilled_at = now


class LineWriter:
    """Writes lines to a file descriptor without blocking.

    Lines are buffered until ``flush``, because each write is a system call.
    """

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Buffer a line; it is dropped when too many bytes are pending."""
        if self._pending_bytes + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending.append(line)
        self._pending_bytes += len(line)

    def flush(self) -> None:
        """Write pending lines until the descriptor would block."""
        while self._pending:
            data = b"".join(self._pending)
            self._pending.clear()
            self._pending.append(data)
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader closed the pipe; nothing more can be written.
                self.dropped += len(self._pending)
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written == len(data):
                self._pending.popleft()
            else:
                self._pending[0] = data[written:]


class Logs(NamedTuple):
    """The writer of log lines, and the log of decisions about requests."""

    writer: LineWriter
    decisions: DecisionLog


def configure_logging(
    *, node_id: str, level: str, clock: Callable[[], float], descriptor: int = 1
) -> Logs:
    """Write log lines of this process to a descriptor, by default standard output."""
    writer = LineWriter(descriptor=descriptor)
    budget = LineBudget(clock=clock)

    def is_within_budget(record: "Record") -> bool:
        # These lines are about the state of the node, not about single requests.
        return budget.try_acquire(urgent=True)

    def write(message: "Message") -> None:
        omitted, budget.omitted = budget.omitted, 0
        dropped, writer.dropped = writer.dropped, 0
        writer.write(format_line(message.record, node_id, omitted + dropped))
        if message.record["level"].no >= 30:
            writer.flush()

    logger.remove()
    logger.add(
        write, level=level, filter=is_within_budget, format="{message}", catch=False
    )
    decisions = DecisionLog(node_id=node_id, budget=budget, write=writer.write)
    return Logs(writer=writer, decisions=decisions)


async def flush_forever(writer: LineWriter) -> None:
    """Flush buffered lines periodically until cancelled."""
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
    fields: dict[str, object] = {
        "at": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "node": node_id,
        "part": part,
        "message": message,
        **record["extra"],
    }
    if omitted:
        fields["omitted"] = omitted
    if record["exception"] is not None:
        fields["error"] = repr(record["exception"].value)
    return _encoder.encode(fields) + b"\n"
