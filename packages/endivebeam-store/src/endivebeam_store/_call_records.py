"""Call records: one row per idempotency key, so that a call runs at most once.

The functions named ``*_steps`` are generators without I/O: they yield actions for
the store and are sent their results. Tests interleave them step by step, and
``execute_action`` runs one action against the platform.
"""

import hashlib
from collections.abc import Generator
from enum import Enum
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from endivebeam_model import DECODE_ERRORS, AccountId, NodeId, OperationId, ServiceName

from ._objects import Objects
from ._rows import (
    Committed,
    Condition,
    Conflict,
    Put,
    Row,
    Table,
    Transaction,
    Unavailable,
    decode_value,
)

MAX_INLINE_BYTES = 16 << 10
CLAIM_ATTEMPTS = 3
RELEASE_ATTEMPTS = 4

T = TypeVar("T")


class CallState(Enum):
    """State of a call record."""

    CLAIMED = "claimed"
    RELEASED = "released"
    DONE = "done"


class StoredAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The complete response to a call, from its only run."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class ObjectRef(msgspec.Struct, frozen=True, kw_only=True):
    """Name of a stored answer in the object store and the digest of its bytes."""

    name: str
    sha256: str


class CallRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Value of a call's row; ``op_id`` identifies the claim."""

    request_digest: str
    state: CallState
    node: NodeId
    op_id: OperationId
    answer: StoredAnswer | None = None
    answer_object: ObjectRef | None = None


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt to become the only node that runs a call.

    ``expected`` is the version that the row must still have; 0 means that the row
    must not exist.
    """

    row_key: str
    op_id: OperationId
    node: NodeId
    request_digest: str
    expected: int = 0


class CommitTransaction(msgspec.Struct, frozen=True):
    """Action: apply a transaction. Result: ``Result[Committed, CommitError]``."""

    transaction: Transaction


class ReadRow(msgspec.Struct, frozen=True):
    """Action: read a row. Result: ``Result[Row | None, Unavailable]``."""

    key: str


class WriteObject(msgspec.Struct, frozen=True):
    """Action: write an object. Result: ``Result[None, Unavailable]``."""

    name: str
    content: bytes


class ReadObject(msgspec.Struct, frozen=True):
    """Action: read an object. Result: ``Result[bytes | None, Unavailable]``."""

    name: str


StoreAction = CommitTransaction | ReadRow | WriteObject | ReadObject
StoreSteps = Generator[StoreAction, Any, T]


class ClaimConfirmed(msgspec.Struct, frozen=True):
    """The claim is in the table; the call may be dispatched."""


class AlreadyClaimed(msgspec.Struct, frozen=True):
    """The row was written by another operation; this claim can no longer succeed."""

    row: Row


class ClaimUnconfirmed(msgspec.Struct, frozen=True):
    """The claim could not be confirmed; the call must not be dispatched.

    ``maybe_applied`` is false when the claim certainly has no effect.
    """

    message: str
    maybe_applied: bool


ClaimResult = ClaimConfirmed | AlreadyClaimed | ClaimUnconfirmed


def call_row_key(account: AccountId, service: ServiceName, key: str) -> str:
    """Return the key of a call's row.

    >>> call_row_key(AccountId("a/b"), ServiceName("bookings"), "k")[:20]
    'call/a%2Fb/bookings/'
    """
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"call/{quote(account, safe='')}/{quote(service, safe='')}/{digest}"


def digest_request(method: str, path: str, body: bytes) -> str:
    """Return the digest that distinguishes a retry from another request."""
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


def claim_steps(claim: Claim) -> StoreSteps[ClaimResult]:
    """Write a claim; when the response is lost, read the row and retry.

    Retrying the same transaction is safe, because its condition holds only once.
    """
    transaction = _build_transaction(
        claim, claim.op_id, claim.expected, CallState.CLAIMED
    )
    message = ""
    for _ in range(CLAIM_ATTEMPTS):
        written: Result[Committed, Conflict | Unavailable] = yield CommitTransaction(
            transaction
        )
        match written:
            case Success(_):
                return ClaimConfirmed()
            case Failure(Conflict(rows=rows)) if rows:
                return _resolve_claim(claim, rows[0])
            case Failure(Unavailable(message=message, maybe_applied=False)):
                return ClaimUnconfirmed(message, False)
        read: Result[Row | None, Unavailable] = yield ReadRow(claim.row_key)
        match read:
            case Success(Row(version=version) as row) if version > claim.expected:
                return _resolve_claim(claim, row)
            case Failure(Unavailable(message=message)):
                break
    return ClaimUnconfirmed(message or "the claim could not be confirmed", True)


def release_steps(claim: Claim, *, confirmed: bool) -> StoreSteps[bool]:
    """Release a claim that was never dispatched; return whether that is final.

    A claim that could not be confirmed may still arrive at the store. Writing
    ``released`` at the version that the claim expects makes the claim's condition
    fail from then on.
    """
    version = claim.expected + 1 if confirmed else None
    for _ in range(RELEASE_ATTEMPTS):
        if version is None:
            read: Result[Row | None, Unavailable] = yield ReadRow(claim.row_key)
            if isinstance(read, Failure):
                return False
            row = read.unwrap()
            current_version = 0 if row is None else row.version
            is_own = row is not None and row.op_id == claim.op_id
            if current_version > claim.expected and not is_own:
                return True
            version = current_version
        op_id = OperationId(f"{claim.op_id}.released")
        transaction = _build_transaction(claim, op_id, version, CallState.RELEASED)
        written: Result[Committed, Conflict | Unavailable] = yield CommitTransaction(
            transaction
        )
        match written:
            case Success(_):
                return True
            case Failure(Unavailable()):
                return False
        version = None
    return False


def complete_steps(claim: Claim, answer: StoredAnswer) -> StoreSteps[bool]:
    """Store the answer of a dispatched call; return whether it is stored.

    May be called again until it returns true.
    """
    encoded = msgspec.msgpack.encode(answer)
    inline: StoredAnswer | None = answer
    ref = None
    if len(encoded) > MAX_INLINE_BYTES:
        inline = None
        # The claim's id in the name keeps a delayed write from replacing the answer
        # of another claim.
        name = f"calls/{claim.op_id}"
        ref = ObjectRef(name=name, sha256=hashlib.sha256(encoded).hexdigest())
        stored: Result[None, Unavailable] = yield WriteObject(name, encoded)
        if isinstance(stored, Failure):
            return False
    op_id = OperationId(f"{claim.op_id}.done")
    version = claim.expected + 1
    transaction = _build_transaction(claim, op_id, version, CallState.DONE, inline, ref)
    written: Result[Committed, Conflict | Unavailable] = yield CommitTransaction(
        transaction
    )
    if isinstance(written, Success):
        return True
    read: Result[Row | None, Unavailable] = yield ReadRow(claim.row_key)
    match read:
        case Success(Row() as row):
            return row.op_id == op_id
    return False


def answer_steps(record: CallRecord) -> StoreSteps[StoredAnswer | None]:
    """Return the stored answer of a finished call, or None when it cannot be read."""
    if record.answer is not None:
        return record.answer
    ref = record.answer_object
    if ref is None:
        return None
    read: Result[bytes | None, Unavailable] = yield ReadObject(ref.name)
    content = read.value_or(None)
    if content is None or hashlib.sha256(content).hexdigest() != ref.sha256:
        return None
    try:
        return msgspec.msgpack.decode(content, type=StoredAnswer)
    except DECODE_ERRORS:
        return None


def decode_record(row: Row) -> Result[CallRecord, Unavailable]:
    """Return the call record of a row; fails when the row is malformed."""
    return decode_value(row, CallRecord)


async def execute_action(action: StoreAction, table: Table, objects: Objects) -> Any:
    """Run one action against the platform and return its result."""
    match action:
        case CommitTransaction(transaction=transaction):
            return await table.commit(transaction)
        case ReadRow(key=key):
            return await table.read(key)
        case WriteObject(name=name, content=content):
            return await objects.write(name, content)
        case ReadObject(name=name):
            return await objects.read(name)


def _resolve_claim(claim: Claim, row: Row) -> ClaimResult:
    if row.op_id == claim.op_id:
        return ClaimConfirmed()
    return AlreadyClaimed(row)


def _build_transaction(
    claim: Claim,
    op_id: OperationId,
    version: int,
    state: CallState,
    answer: StoredAnswer | None = None,
    answer_object: ObjectRef | None = None,
) -> Transaction:
    record = CallRecord(
        request_digest=claim.request_digest,
        state=state,
        node=claim.node,
        op_id=claim.op_id,
        answer=answer,
        answer_object=answer_object,
    )
    value = msgspec.json.encode(record).decode()
    return Transaction(
        op_id=op_id,
        conditions=(Condition(key=claim.row_key, version=version),),
        puts=(Put(key=claim.row_key, value=value),),
    )
