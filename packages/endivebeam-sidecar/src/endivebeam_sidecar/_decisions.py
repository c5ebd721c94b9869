"""Log lines about single requests.

They have the same format as other log lines but bypass loguru: creating its record
for each line costs more than all other processing of a request.
"""

import time
from collections.abc import Callable
from datetime import UTC, datetime
from enum import Enum
from typing import Protocol

import msgspec

_encoder = msgspec.json.Encoder()


class Decision(Enum):
    """A logged decision; the value has the level, part and message of its line."""

    ANSWERED = ("INFO", "calls", "A target answered.")
    ATTEMPT_FAILED = ("WARNING", "calls", "An attempt failed.")
    REQUEST_REJECTED = ("WARNING", "calls", "A request was rejected.")
    CALL_REJECTED = ("WARNING", "target", "A call was rejected.")
    RATE_LIMITED = ("INFO", "limits", "A request exceeded its account's rate.")
    DISCONNECTED = ("WARNING", "calls", "A caller disconnected before its response.")
    CALL_CANCELLED = ("WARNING", "target", "A call was cancelled.")


class AttemptDetail(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt at the target of the node ``peer``.

    ``record`` is the sequence of the member record by which the target was chosen.
    """

    id: str
    service: str
    peer: str
    record: int
    attempt: int
    outcome: str
    status: int
    reason: str
    left_ms: int


class RefusalDetail(msgspec.Struct, frozen=True, kw_only=True):
    """The refusal sent to a caller, and the configuration it was based on.

    ``config_age_s`` is how long ago ``config_reader`` received from the store, in its
    era ``config_era``, that ``config`` is the newest version.
    """

    id: str
    status: int
    reason: str
    run: str
    took_ms: int
    config: int
    config_age_s: float
    config_reader: str
    config_era: int
    why: str


class CallRejectionDetail(msgspec.Struct, frozen=True, kw_only=True):
    """A call rejected before it reached the local target, and the load there."""

    id: str
    reason: str
    rank: float
    running: int
    waiting: int
    limit: int
    hold_ms: int
    left_ms: int


class RateLimitDetail(msgspec.Struct, frozen=True, kw_only=True):
    """A request above its account's rate, and the state of the allowance lease.

    ``lent_parts`` is the fraction of all allowances that is leased to ``holder``.
    """

    id: str
    account: str
    rate_per_s: float
    holder: str
    demand_per_s: float
    exchange_age_s: float
    lent_parts: float


class DisconnectDetail(msgspec.Struct, frozen=True, kw_only=True):
    """A request whose caller disconnected first, logged by the caller's node."""

    id: str
    took_ms: int


class CancellationDetail(msgspec.Struct, frozen=True, kw_only=True):
    """A call cancelled by its caller, logged by the target's node.

    ``held_ms`` counts from the call's arrival there. ``goes_on`` is set for an
    at-most-once call that was already sent, which runs to its end.
    """

    id: str
    state: str
    held_ms: int
    goes_on: bool


Detail = (
    AttemptDetail
    | RefusalDetail
    | CallRejectionDetail
    | RateLimitDetail
    | DisconnectDetail
    | CancellationDetail
)


class LineLimiter(Protocol):
    """Limit on the number of log lines."""

    omitted: int

    def try_acquire(self, *, urgent: bool) -> bool:
        """Return whether a line may be written, and count it."""


class DecisionLog:
    """Writes log lines about requests within a budget of lines."""

    def __init__(
        self, *, node_id: str, budget: LineLimiter, write: Callable[[bytes], None]
    ) -> None:
        self._budget = budget
        self._write = write
        self._line_prefixes = {
            decision: _encode_prefix(node_id, decision) for decision in Decision
        }
        # Decisions that explain a failure may use the reserved part of the budget.
        self._urgent = {d for d in Decision if _explains_failure(d)}
        self._second = -1
        self._time_prefix = b""

    def write(self, decision: Decision, make_detail: Callable[[], Detail]) -> None:
        """Write a line; ``make_detail`` is called only within the budget."""
        if not self._budget.try_acquire(urgent=decision in self._urgent):
            return
        parts = [
            self._encode_time(),
            self._line_prefixes[decision],
            _encoder.encode(make_detail())[1:],
        ]
        omitted, self._budget.omitted = self._budget.omitted, 0
        if omitted:
            parts[-1] = parts[-1][:-1] + b',"omitted":%d}' % omitted
        parts.append(b"\n")
        self._write(b"".join(parts))

    def _encode_time(self) -> bytes:
        now_ms = time.clock_gettime_ns(time.CLOCK_REALTIME) // 1_000_000
        second, milliseconds = divmod(now_ms, 1000)
        if second != self._second:
            self._second = second
            text = datetime.fromtimestamp(second, UTC).strftime("%Y-%m-%dT%H:%M:%S")
            self._time_prefix = b'{"at":"' + text.encode()
        return b"%b.%03d+00:00" % (self._time_prefix, milliseconds)


def _explains_failure(decision: Decision) -> bool:
    level: str = decision.value[0]
    return level == "WARNING"


def _encode_prefix(node_id: str, decision: Decision) -> bytes:
    level, part, message = decision.value
    fields = {"level": level, "node": node_id, "part": part, "message": message}
    return b'",' + _encoder.encode(fields)[1:-1] + b","


class _NullBudget:
    def __init__(self) -> None:
        self.omitted = 0

    def try_acquire(self, *, urgent: bool) -> bool:
        return False


def make_null_log() -> DecisionLog:
    """Return a log that discards all lines."""
    return DecisionLog(node_id="", budget=_NullBudget(), write=lambda line: None)
