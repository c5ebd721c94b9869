"""Share rows: which process holds each share of an account group's rates."""

import secrets
from collections.abc import Awaitable, Callable, Sequence

import msgspec
from returns.result import Failure, Result, Success

from endivebeam_model import DECODE_ERRORS, DomainName, NodeId, OperationId

from ._rows import (
    CommitError,
    Committed,
    Condition,
    Conflict,
    Put,
    Row,
    Table,
    Transaction,
    Unavailable,
)

SHARE_PREFIX = "share/"
LAYOUT_KEY = "share-layout"

CommitFunction = Callable[[Transaction], Awaitable[Result[Committed, CommitError]]]
"""Applies a transaction to the table, directly or through another node."""


class LayoutRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Number of account groups and the failure domain of each slot of a group.

    Written by the first node of the fleet.
    """

    groups: int
    domains: tuple[DomainName, ...]


class ShareRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Value of a share row.

    ``token`` is drawn at random when a process starts. It distinguishes a restarted
    node from the earlier process, whose shares it does not hold although it has the
    same id and starts again at incarnation 1. ``epoch`` increases whenever the
    holder changes.
    """

    holder: NodeId
    incarnation: int
    token: int
    epoch: int


class StoredShare(msgspec.Struct, frozen=True, kw_only=True):
    """A share row and its version, which increases with each write."""

    group: int
    slot: int
    version: int
    record: ShareRecord


class ShareWrite(msgspec.Struct, frozen=True, kw_only=True):
    """A new record, written only if the row still has the version ``expected``.

    ``expected`` 0 means that the row must not exist.
    """

    group: int
    slot: int
    expected: int
    record: ShareRecord


class ShareConflict(msgspec.Struct, frozen=True, kw_only=True):
    """Current rows that differ from the expected versions; nothing was written."""

    current: tuple[StoredShare, ...]


ShareError = ShareConflict | Unavailable


def share_key(group: int, slot: int) -> str:
    """Return the key of a share row.

    >>> share_key(3, 1)
    'share/3/1'
    """
    return f"{SHARE_PREFIX}{group}/{slot}"


async def read_share(
    table: Table, group: int, slot: int
) -> Result[StoredShare | None, Unavailable]:
    """Return a share row, or None when the share never had a holder."""
    result = await table.read(share_key(group, slot))
    return result.bind(_decode_optional_share)


async def claim_layout(
    table: Table, layout: LayoutRecord
) -> Result[LayoutRecord, Unavailable]:
    """Return the stored layout of the fleet; store ``layout`` if there is none."""
    result = await table.read(LAYOUT_KEY)
    match result:
        case Success(Row(value=value)):
            return _decode_layout(value)
        case Failure(error):
            return Failure(error)
    op_id = OperationId(secrets.token_hex(12))
    transaction = Transaction(
        op_id=op_id,
        conditions=(Condition(key=LAYOUT_KEY, version=0),),
        puts=(Put(key=LAYOUT_KEY, value=msgspec.json.encode(layout).decode()),),
    )
    match await table.commit(transaction):
        case Success(_):
            return Success(layout)
        case Failure(Unavailable() as error):
            return Failure(error)
    return Failure(Unavailable(message="another node wrote the layout first"))


def _decode_layout(value: str) -> Result[LayoutRecord, Unavailable]:
    try:
        return Success(msgspec.json.decode(value, type=LayoutRecord))
    except DECODE_ERRORS as error:
        return Failure(Unavailable(message=f"malformed share layout: {error}"))


async def write_shares(
    commit: CommitFunction, writes: Sequence[ShareWrite], op_id: OperationId
) -> Result[Committed, ShareError]:
    """Write share rows in one atomic transaction.

    A retry with the same operation id returns the result of the first attempt.
    """
    transaction = Transaction(
        op_id=op_id,
        conditions=tuple(
            Condition(key=share_key(w.group, w.slot), version=w.expected)
            for w in writes
        ),
        puts=tuple(
            Put(
                key=share_key(w.group, w.slot),
                value=msgspec.json.encode(w.record).decode(),
            )
            for w in writes
        ),
    )
    match await commit(transaction):
        case Success(committed):
            return Success(committed)
        case Failure(Conflict(rows=rows)):
            return _decode_conflict(rows)
        case Failure(Unavailable() as error):
            return Failure(error)
    raise AssertionError("a result is a success or a failure")


def _decode_conflict(rows: Sequence[Row]) -> Result[Committed, ShareError]:
    found = []
    for row in rows:
        match _decode_share(row):
            case Success(share):
                found.append(share)
            case Failure(error):
                return Failure(error)
    return Failure(ShareConflict(current=tuple(found)))


def _decode_optional_share(row: Row | None) -> Result[StoredShare | None, Unavailable]:
    if row is None:
        return Success(None)
    return _decode_share(row).map(lambda share: share)


def _decode_share(row: Row) -> Result[StoredShare, Unavailable]:
    try:
        group, slot = row.key.removeprefix(SHARE_PREFIX).split("/")
        return Success(
            StoredShare(
                group=int(group),
                slot=int(slot),
                version=row.version,
                record=msgspec.json.decode(row.value, type=ShareRecord),
            )
        )
    except (ValueError, *DECODE_ERRORS) as error:
        message = f"row {row.key} is not a share record: {error}"
        return Failure(Unavailable(message=message))
