"""State machine of at-most-once calls, without I/O.

``Attempts`` holds the at-most-once calls of one node. Its generators yield
typed actions and receive their results, so that tests can interleave, pause and
kill several nodes at any step.
"""

from collections.abc import Callable, Generator
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from endivebeam_model import NodeId, OperationId, RefusalReason, RunStatus
from endivebeam_store import (
    AlreadyClaimed,
    CallState,
    Claim,
    ClaimConfirmed,
    ClaimUnconfirmed,
    ReadRow,
    Row,
    StoreAction,
    StoredAnswer,
    Unavailable,
    answer_steps,
    call_row_key,
    claim_steps,
    complete_steps,
    decode_record,
    digest_request,
    release_steps,
)
from endivebeam_wire import CallAnswer, CallRefused, CallRequest, OutcomeState

from ._answers import RecentAnswers
from ._once_outcomes import (
    refuse_in_progress,
    refuse_key_reused,
    refuse_not_readable,
    refuse_outcome_unknown,
    refuse_store_unavailable,
    replay,
)
from ._outcomes import RETRY_AFTER_S, refuse
from ._ports import Outcome

MAX_OPEN_ATTEMPTS = 1024
MAX_UNSAVED_BYTES = 16 << 20
MAX_CLAIM_ROUNDS = 4
FIRST_SETTLE_DELAY_S = 0.1
MAX_SETTLE_DELAY_S = 5.0

T = TypeVar("T")


class Phase(Enum):
    """Progress of an attempt.

    ``DISPATCHED`` means that the target may have run the call. An ``ABANDONED``
    attempt never runs. A ``LOST`` attempt was dispatched and ended without a
    response.
    """

    CLAIMING = "claiming"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    ABANDONED = "abandoned"
    LOST = "lost"


class Dispatch(msgspec.Struct, frozen=True):
    """Action: forward the call to the local target. Result: ``Outcome``."""


class QueryClaim(msgspec.Struct, frozen=True):
    """Action: query the node that owns a claim. Result: ``ClaimStatus``."""

    node: NodeId
    op_id: OperationId


class Wait(msgspec.Struct, frozen=True):
    """Action: sleep before the next attempt to settle. Result: None."""

    seconds: float


class ClaimStatus(msgspec.Struct, frozen=True):
    """Status of a claim, as reported by the node that owns it."""

    state: OutcomeState
    answer: StoredAnswer | None = None


class Claimable(msgspec.Struct, frozen=True):
    """The call never ran, and a new claim may replace this version of its row.

    Version 0 means that the row does not exist.
    """

    version: int


Action = StoreAction | Dispatch | QueryClaim | Wait
Steps = Generator[Action, Any, T]


@dataclass(slots=True, kw_only=True, eq=False)
class Attempt:
    """One at-most-once call at its target's node.

    ``claim`` is set while a claim written by this attempt may be in the table or
    may still arrive there. A ``stopped`` attempt is never dispatched.
    """

    call: CallRequest
    row_key: str
    request_digest: str
    expired: Callable[[], bool]
    phase: Phase = Phase.CLAIMING
    claim: Claim | None = None
    confirmed: bool = False
    stopped: bool = False
    answer: StoredAnswer | None = None


class Attempts:
    """At-most-once calls that one node runs or settles, and its recent answers."""

    def __init__(
        self,
        *,
        node: NodeId,
        new_op_id: Callable[[], OperationId],
        max_open_attempts: int,
    ) -> None:
        self._node = node
        self._new_op_id = new_op_id
        self._max_open = max_open_attempts
        self._open: set[Attempt] = set()
        self._by_key: dict[str, Attempt] = {}
        self._by_op: dict[OperationId, Attempt] = {}
        self._recent = RecentAnswers()
        self._unsaved_bytes = 0
        # Set after an unconfirmed claim: the next attempt reads the row before it
        # writes a claim. Otherwise each call during an outage of the store would
        # leave a claim to release.
        self._must_read_first = False

    def __len__(self) -> int:
        return len(self._open)

    def cached_outcome(self, call: CallRequest) -> Outcome | None:
        """Return the outcome of a retry if this node has it in memory."""
        row_key = call_row_key(call.account, call.service, call.idempotency_key)
        digest = _digest(call)
        attempt = self._by_key.get(row_key)
        if attempt is not None and attempt.phase is not Phase.ABANDONED:
            if attempt.request_digest != digest:
                return refuse_key_reused(call)
            if attempt.answer is not None:
                return replay(call, attempt.answer)
            return None if attempt.stopped else refuse_in_progress(call)
        recent = self._recent.find(row_key)
        if recent is None:
            return None
        if recent.request_digest != digest:
            return refuse_key_reused(call)
        return replay(call, recent.answer)

    def open(
        self, call: CallRequest, *, expired: Callable[[], bool]
    ) -> Attempt | CallRefused:
        """Open an attempt, or reject it if too many are open."""
        if len(self._open) >= self._max_open or self._unsaved_bytes > MAX_UNSAVED_BYTES:
            return refuse(
                RefusalReason.OVERLOADED,
                "too many at-most-once calls are open at this node",
                retry_after_s=RETRY_AFTER_S,
                credits=call.retry_credits,
            )
        attempt = Attempt(
            call=call,
            row_key=call_row_key(call.account, call.service, call.idempotency_key),
            request_digest=_digest(call),
            expired=expired,
        )
        self._open.add(attempt)
        self._by_key[attempt.row_key] = attempt
        return attempt

    def stop(self, attempt: Attempt) -> bool:
        """Stop an attempt before its dispatch; return whether it never runs."""
        if attempt.phase is Phase.CLAIMING:
            attempt.stopped = True
        return attempt.stopped or attempt.phase is Phase.ABANDONED

    def look_up(self, op_id: OperationId) -> ClaimStatus:
        """Return the status of one of this node's claims."""
        attempt = self._by_op.get(op_id)
        if attempt is None:
            recent = self._recent.find_by_claim(op_id)
            if recent is None:
                return ClaimStatus(OutcomeState.UNKNOWN)
            return ClaimStatus(OutcomeState.ANSWERED, recent.answer)
        if attempt.answer is not None:
            return ClaimStatus(OutcomeState.ANSWERED, attempt.answer)
        if attempt.stopped or attempt.phase is Phase.ABANDONED:
            return ClaimStatus(OutcomeState.NOT_DISPATCHED)
        if attempt.phase is Phase.LOST:
            return ClaimStatus(OutcomeState.UNKNOWN)
        return ClaimStatus(OutcomeState.RUNNING)

    def call_steps(self, attempt: Attempt) -> Steps[Outcome]:
        """Claim and dispatch a call, or return the outcome of its first run."""
        claimable = Claimable(0)
        if self._must_read_first:
            first = yield from self._read_row_first(attempt)
            if not isinstance(first, Claimable):
                return first
            claimable = first
        for _ in range(MAX_CLAIM_ROUNDS):
            match (yield from self._claim(attempt, claimable)):
                case ClaimConfirmed():
                    return (yield from self._dispatch(attempt))
                case ClaimUnconfirmed(message=message):
                    return refuse_store_unavailable(attempt.call, message)
                case AlreadyClaimed(row=row):
                    decision = yield from self._evaluate_row(attempt, row)
                    if not isinstance(decision, Claimable):
                        return decision
                    claimable = decision
        return refuse_in_progress(attempt.call)

    def settle_steps(self, attempt: Attempt) -> Steps[None]:
        """Store the answer or release the claim, with retries until it is done.

        Run these steps after the call steps have ended or were cancelled.
        """
        if attempt.phase is Phase.CLAIMING:
            attempt.phase = Phase.ABANDONED
        elif attempt.phase is Phase.DISPATCHED:
            attempt.phase = Phase.LOST
        delay_s = FIRST_SETTLE_DELAY_S
        while not (yield from self._settle_once(attempt)):
            yield Wait(delay_s)
            delay_s = min(2 * delay_s, MAX_SETTLE_DELAY_S)
        self._close(attempt)

    def _read_row_first(self, attempt: Attempt) -> Steps[Outcome | Claimable]:
        result: Result[Row | None, Unavailable] = yield ReadRow(attempt.row_key)
        if isinstance(result, Failure):
            return refuse_store_unavailable(attempt.call, result.failure().message)
        self._must_read_first = False
        row = result.unwrap()
        if row is None:
            return Claimable(0)
        return (yield from self._evaluate_row(attempt, row))

    def _claim(
        self, attempt: Attempt, claimable: Claimable
    ) -> Steps[ClaimConfirmed | AlreadyClaimed | ClaimUnconfirmed]:
        claim = Claim(
            row_key=attempt.row_key,
            op_id=self._new_op_id(),
            node=self._node,
            request_digest=attempt.request_digest,
            expected=claimable.version,
        )
        attempt.claim = claim
        self._by_op[claim.op_id] = attempt
        result = yield from claim_steps(claim)
        if isinstance(result, ClaimConfirmed):
            attempt.confirmed = True
        elif isinstance(result, AlreadyClaimed) or not result.maybe_applied:
            attempt.claim = None
            del self._by_op[claim.op_id]
        self._must_read_first = isinstance(result, ClaimUnconfirmed)
        return result

    def _dispatch(self, attempt: Attempt) -> Steps[Outcome]:
        if attempt.stopped or attempt.expired():
            attempt.phase = Phase.ABANDONED
            return refuse(
                RefusalReason.DEADLINE_EXCEEDED,
                "the deadline passed before the call was dispatched",
                credits=attempt.call.retry_credits,
            )
        attempt.phase = Phase.DISPATCHED
        outcome: Outcome = yield Dispatch()
        match outcome:
            case CallAnswer():
                self._set_answer(attempt, outcome)
            case CallRefused(refusal=refusal) if refusal.run is RunStatus.NOT_RUN:
                attempt.phase = Phase.ABANDONED
            case CallRefused():
                attempt.phase = Phase.LOST
        return outcome

    def _set_answer(self, attempt: Attempt, answer: CallAnswer) -> None:
        attempt.phase = Phase.ANSWERED
        headers = tuple((h.name, h.value) for h in answer.headers)
        attempt.answer = StoredAnswer(
            status=answer.status, headers=headers, body=answer.body
        )
        self._unsaved_bytes += len(answer.body)

    def _evaluate_row(
        self, attempt: Attempt, row: Row, *, already_reread: bool = False
    ) -> Steps[Outcome | Claimable]:
        call = attempt.call
        match decode_record(row):
            case Success(record) if record.state is CallState.RELEASED:
                return Claimable(row.version)
            case Success(record) if record.request_digest != attempt.request_digest:
                return refuse_key_reused(call)
            case Success(record) if record.state is CallState.DONE:
                answer = yield from answer_steps(record)
                return (
                    refuse_not_readable(call)
                    if answer is None
                    else replay(call, answer)
                )
            case Success(record):
                claim_status = yield from self._query_claim(record.node, record.op_id)
            case _:
                return refuse_outcome_unknown(call)
        match claim_status:
            case ClaimStatus(
                state=OutcomeState.ANSWERED, answer=StoredAnswer() as answer
            ):
                return replay(call, answer)
            case ClaimStatus(state=OutcomeState.NOT_DISPATCHED):
                return Claimable(row.version)
            case ClaimStatus(state=OutcomeState.RUNNING):
                return refuse_in_progress(call)
        return (
            yield from self._reread_row(attempt, row, already_reread=already_reread)
        )

    def _reread_row(
        self, attempt: Attempt, row: Row, *, already_reread: bool
    ) -> Steps[Outcome | Claimable]:
        # The call may have ended between the read of the row and the query.
        result: Result[Row | None, Unavailable] = yield ReadRow(row.key)
        match result:
            case Success(Row() as current) if current.version != row.version:
                if already_reread:
                    return refuse_in_progress(attempt.call)
                return (
                    yield from self._evaluate_row(attempt, current, already_reread=True)
                )
            case Failure(_):
                return refuse_not_readable(attempt.call)
        return refuse_outcome_unknown(attempt.call)

    def _query_claim(self, node: NodeId, op_id: OperationId) -> Steps[ClaimStatus]:
        if node == self._node:
            return self.look_up(op_id)
        claim_status: ClaimStatus = yield QueryClaim(node, op_id)
        return claim_status

    def _settle_once(self, attempt: Attempt) -> Steps[bool]:
        claim = attempt.claim
        if claim is None or attempt.phase is Phase.LOST:
            return True
        if attempt.answer is not None:
            return (yield from complete_steps(claim, attempt.answer))
        return (yield from release_steps(claim, confirmed=attempt.confirmed))

    def _close(self, attempt: Attempt) -> None:
        self._open.discard(attempt)
        if self._by_key.get(attempt.row_key) is attempt:
            del self._by_key[attempt.row_key]
        claim = attempt.claim
        if claim is None:
            return
        self._by_op.pop(claim.op_id, None)
        if attempt.answer is not None:
            self._unsaved_bytes -= len(attempt.answer.body)
            self._recent.add(claim, attempt.answer)


def _digest(call: CallRequest) -> str:
    return digest_request(call.method, call.path, call.body)
