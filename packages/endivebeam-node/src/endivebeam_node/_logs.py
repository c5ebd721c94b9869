"""Logging: formats, sampling of repeated messages and redaction of client keys.

Each message starts with the prefix of its part, for example ``calls:``. A message
logged through ``call_logger`` includes the chain and request of its call.
"""

import re
import sys
import time
import traceback
from collections.abc import Callable
from typing import TYPE_CHECKING, TextIO

import msgspec
from loguru import logger

from endivebeam_wire import CallRequest

if TYPE_CHECKING:
    from loguru import Logger, Message, Record

PARTS = frozenset(
    {
        "admin",
        "calls",
        "config",
        "limits",
        "members",
        "node",
        "peers",
        "store",
        "target",
    }
)
WINDOW_S = 10.0
MAX_PER_WINDOW = 10
MAX_CALL_SITES = 1024

_SECRETS = re.compile(
    r"eb_[0-9A-Za-z_-]{8,}|(?<=bearer )\S+|(?<=x-api-key: )\S+", re.IGNORECASE
)
REDACTED = "(hidden)"


class LogLine(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Fields of one log line in the JSON format."""

    at: str
    level: str
    part: str
    message: str
    chain: str | None = None
    request: int | None = None
    omitted: int = 0
    error: str | None = None


class Sampler:
    """Filter that passes a bounded number of messages per call site and window.

    A call site is a line of the source. A flood of one message thus neither fills
    the disk nor suppresses messages of other call sites. The next message after the
    window reports how many were omitted.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._windows: dict[tuple[str | None, int], _Window] = {}

    def __call__(self, record: "Record") -> bool:
        """Return whether a message is written."""
        now = self._clock()
        call_site = (record["name"], record["line"])
        window = self._windows.get(call_site)
        if window is None or now - window.started >= WINDOW_S:
            if window is None and len(self._windows) >= MAX_CALL_SITES:
                self._windows.clear()
            record["extra"]["omitted"] = 0 if window is None else window.omitted
            self._windows[call_site] = _Window(started=now)
            return True
        window.count += 1
        if window.count <= MAX_PER_WINDOW:
            return True
        window.omitted += 1
        return False


class _Window:
    __slots__ = ("count", "omitted", "started")

    def __init__(self, *, started: float) -> None:
        self.started = started
        self.count = 1
        self.omitted = 0


def configure_logging(
    *,
    level: str,
    as_json: bool,
    stream: TextIO = sys.stderr,
    clock: Callable[[], float] = time.monotonic,
) -> None:
    """Write log lines to a stream, as text or as JSON lines."""
    format_line = format_json if as_json else format_text

    def write(message: "Message") -> None:
        stream.write(redact_secrets(format_line(message.record)) + "\n")
        stream.flush()

    logger.remove()
    # With diagnose, tracebacks include the values of variables, which may be keys.
    logger.add(
        write,
        level=level,
        filter=Sampler(clock=clock),
        backtrace=False,
        diagnose=False,
    )


def call_logger(call: CallRequest) -> "Logger":
    """Return a logger that adds the chain and request of a call to messages."""
    return logger.bind(chain=call.chain_id, request=call.request_id)


def redact_secrets(text: str) -> str:
    """Replace everything that looks like a client key or token.

    >>> redact_secrets("key eb_0123456789abcdef refused")
    'key (hidden) refused'
    """
    return _SECRETS.sub(REDACTED, text)


def format_text(record: "Record") -> str:
    """Return a record as a line of text."""
    line = read_record(record)
    text = f"{line.at} {line.level:<7} {line.part}: {line.message}"
    if line.chain is not None:
        text += f" chain={line.chain} request={line.request}"
    if line.omitted:
        text += f" ({line.omitted} similar messages omitted)"
    if line.error is not None:
        text += f"\n{line.error}"
    return text


def format_json(record: "Record") -> str:
    """Return a record as a JSON object."""
    return msgspec.json.encode(read_record(record)).decode()


def read_record(record: "Record") -> LogLine:
    """Return the fields of the log line of a record.

    A message without the prefix of a known part belongs to part ``node``.
    """
    part, colon, message = record["message"].partition(": ")
    if not colon or part not in PARTS:
        part, message = "node", record["message"]
    extra = record["extra"]
    return LogLine(
        at=record["time"].isoformat(timespec="milliseconds"),
        level=record["level"].name,
        part=part,
        message=message,
        chain=extra.get("chain"),
        request=extra.get("request"),
        omitted=extra.get("omitted", 0),
        error=_format_error(record),
    )


def _format_error(record: "Record") -> str | None:
    error = record["exception"]
    if error is None or error.value is None:
        return None
    return "".join(traceback.format_exception(error.value)).rstrip()
