"""Log lines about single requests.

They have the form of the other lines, but are written without the general log's
record of each call, which costs more than all other work on a request's way.
"""

from collections.abc import Callable
from datetime import UTC, datetime
from enum import Enum
from typing import Protocol

import msgspec

_encoder = msgspec.json.Encoder()


class Decision(Enum):
    """What is decided: level, part and message of its line."""

    ANSWERED = ("INFO", "calls", "A target answered.")
    NOT_ANSWERED = ("WARNING", "calls", "An attempt brought no answer.")
    REQUEST_REJECTED = ("WARNING", "calls", "A request was refused.")
    CALL_REJECTED = ("WARNING", "target", "A call was turned away.")
    RATE_LIMITED = ("INFO", "limits", "A request found no token.")
    CALLER_DISCONNECTED = ("WARNING", "calls", "A caller was gone before its answer.")
    CALL_CANCELLED = ("WARNING", "target", "A call was withdrawn.")

    @property
    def explains_failure(self) -> bool:
        """Whether the line is among the last to be left out under load."""
        level: str = self.value[0]
        return level == "WARNING"


class AttemptDetail(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt at the target of ``peer``, known by its ``record``'s sequence."""

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
    """The final answer of this node to a request, and what it knew."""

    id: str
    status: int
    reason: str
    run: str
    took_ms: int
    config: int
    config_age_s: float
    why: str


class CallRejectionDetail(msgspec.Struct, frozen=True, kw_only=True):
    """A call that the target beside this node did not get, and the load there."""

    id: str
    reason: str
    rank: float
    running: int
    waiting: int
    limit: int
    hold_ms: int
    left_ms: int


class RateLimitDetail(msgspec.Struct, frozen=True, kw_only=True):
    """A request above its account's rate, and what this node knew of the tokens."""

    id: str
    account: str
    rate_per_s: float
    holder: str
    demand_per_s: float
    exchange_age_s: float
    lent_parts: float


class DisconnectDetail(msgspec.Struct, frozen=True, kw_only=True):
    """A request whose connection ended first, at the caller's node."""

    id: str
    took_ms: int


class CancellationDetail(msgspec.Struct, frozen=True, kw_only=True):
    """A call that nobody waits for any more, at the target's node.

    ``held_ms`` counts from the call's arrival there. A call that ``goes_on`` must not
    be repeated and runs to its end.
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
    """Bound on the number of lines."""

    omitted: int

    def try_acquire(self, *, urgent: bool) -> bool:
        """Return whether a line may be written."""


class DecisionLog:
    """Writes lines about requests while the budget of lines lasts."""

    def __init__(
        self, *, node_id: str, budget: LineLimiter, write: Callable[[bytes], None]
    ) -> None:
        self._budget = budget
        self._write = write
        self._line_prefixes = {
            decision: _encode_prefix(node_id, decision) for decision in Decision
        }

    def write(self, decision: Decision, make_detail: Callable[[], Detail]) -> None:
        """Write a line; its detail is made only if there is room for it."""
        if not self._budget.try_acquire(urgent=decision.explains_failure):
            return
        parts = [
            b'{"at":"',
            datetime.now(UTC).isoformat(timespec="milliseconds").encode(),
            self._line_prefixes[decision],
            _encoder.encode(make_detail())[1:],
        ]
        omitted, self._budget.omitted = self._budget.omitted, 0
        if omitted:
            parts[-1] = parts[-1][:-1] + b',"omitted":%d}' % omitted
        parts.append(b"\n")
        self._write(b"".join(parts))


def _encode_prefix(node_id: str, decision: Decision) -> bytes:
    level, part, message = decision.value
    fields = {"level": level, "node": node_id, "part": part, "message": message}
    return b'",' + _encoder.encode(fields)[1:-1] + b","


class _NoLines:
    def __init__(self) -> None:
        self.omitted = 0

    def try_acquire(self, *, urgent: bool) -> bool:
        return False


def make_null_log() -> DecisionLog:
    """Return a log that writes nothing."""
    return DecisionLog(node_id="", budget=_NoLines(), write=lambda line: None)
