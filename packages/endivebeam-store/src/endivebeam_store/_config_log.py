"""The configuration log: one row per version, guarded by a head row."""

import hashlib
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from endivebeam_model import Change, ConfigVersion, LogEntry, OperationId

from ._rows import (
    CommitError,
    Condition,
    Conflict,
    Put,
    Row,
    Table,
    Transaction,
    Unavailable,
    decode_value,
)

HEAD_KEY = "config/head"


class Head(msgspec.Struct, frozen=True):
    """Value of the head row."""

    version: ConfigVersion


class OperationRow(msgspec.Struct, frozen=True):
    """Value of an operation's row: the version that the operation committed."""

    version: ConfigVersion


def log_key(version: int) -> str:
    """Return the key of a log row; keys sort by version.

    >>> log_key(12)
    'config/log/000000000012'
    """
    return f"config/log/{version:012d}"


def operation_key(op_id: OperationId) -> str:
    """Return the key of the row that makes an operation commit only once."""
    return f"config/op/{quote(op_id, safe='')}"


class ConfigLog:
    """Reads and appends committed changes."""

    def __init__(self, *, table: Table) -> None:
        self._table = table

    async def read_head(self) -> Result[ConfigVersion, Unavailable]:
        """Return the highest committed version."""
        answer = await self._table.read(HEAD_KEY)
        return answer.bind(_head_version)

    async def read_entry(
        self, version: ConfigVersion
    ) -> Result[LogEntry | None, Unavailable]:
        """Return one committed change, or None when it does not exist."""
        answer = await self._table.read(log_key(version))
        return answer.bind(_decode_entry)

    async def append(
        self,
        *,
        change: Change,
        expected: ConfigVersion,
        op_id: OperationId,
        operator: str,
        at: str,
    ) -> Result[LogEntry, CommitError]:
        """Commit a change as version ``expected + 1``.

        The same operation sent again, with whatever expected version, returns
        the entry of its first commit. Fails with a conflict when another
        operation committed that version, or when the operation id belongs to
        another change.
        """
        entry = LogEntry(
            version=ConfigVersion(expected + 1),
            op_id=op_id,
            operator=operator,
            at=at,
            change=change,
        )
        first = await self._find_first(entry)
        if first != Success(None):
            return _found(first)
        head = await self._table.read(HEAD_KEY)
        match head:
            case Success(row):
                return await self._append_after(entry, row)
        return Failure(head.failure())

    async def _append_after(
        self, entry: LogEntry, head: Row | None
    ) -> Result[LogEntry, CommitError]:
        match _head_version(head):
            case Success(version) if version == entry.version - 1:
                answer = await self._commit(entry, head)
            case Success(_):
                answer = Failure(Conflict())
            case malformed:
                return Failure(malformed.failure())
        if isinstance(answer, Success):
            return answer
        # An earlier attempt with a lost answer may have arrived in between.
        first = await self._find_first(entry)
        if isinstance(first, Failure) or first == Success(None):
            return answer
        return _found(first)

    async def _find_first(
        self, entry: LogEntry
    ) -> Result[LogEntry | Conflict | None, Unavailable]:
        answer = await self._table.read(operation_key(entry.op_id))
        match answer:
            case Success(None):
                return Success(None)
            case Success(Row() as row):
                operation = decode_value(row, OperationRow)
                if isinstance(operation, Failure):
                    return Failure(operation.failure())
                found = await self.read_entry(operation.unwrap().version)
                return found.bind(lambda first: _check_first(first, entry))
        return Failure(answer.failure())

    async def _commit(
        self, entry: LogEntry, head: Row | None
    ) -> Result[LogEntry, CommitError]:
        head_version = head.version if head is not None else 0
        key = log_key(entry.version)
        operation = operation_key(entry.op_id)
        value = msgspec.json.encode(entry).decode()
        transaction = Transaction(
            op_id=_transaction_id(entry, value),
            conditions=(
                Condition(key=HEAD_KEY, version=head_version),
                Condition(key=key, version=0),
                Condition(key=operation, version=0),
            ),
            puts=(
                Put(key=key, value=value),
                Put(key=HEAD_KEY, value=_encode(Head(entry.version))),
                Put(key=operation, value=_encode(OperationRow(entry.version))),
            ),
        )
        answer = await self._table.commit(transaction)
        return answer.map(lambda committed: entry)


def _transaction_id(entry: LogEntry, value: str) -> OperationId:
    # Names this very entry: an earlier attempt of the same operation with
    # another version or time is not mistaken for this transaction.
    digest = hashlib.sha256(value.encode()).hexdigest()[:16]
    return OperationId(f"{entry.op_id}/{entry.version}/{digest}")


def _check_first(
    first: LogEntry | None, entry: LogEntry
) -> Result[LogEntry | Conflict | None, Unavailable]:
    if first is None:
        return Failure(Unavailable(message="a committed log entry is missing"))
    if first.change != entry.change:
        return Success(Conflict())
    return Success(first)


def _found(
    first: Result[LogEntry | Conflict | None, Unavailable],
) -> Result[LogEntry, CommitError]:
    match first:
        case Success(LogEntry() as entry):
            return Success(entry)
        case Success(Conflict() as conflict):
            return Failure(conflict)
    return Failure(first.failure())


def _encode(value: msgspec.Struct) -> str:
    return msgspec.json.encode(value).decode()


def _head_version(row: Row | None) -> Result[ConfigVersion, Unavailable]:
    if row is None:
        return Success(ConfigVersion(0))
    return decode_value(row, Head).map(lambda head: head.version)


def _decode_entry(row: Row | None) -> Result[LogEntry | None, Unavailable]:
    if row is None:
        return Success(None)
    return decode_value(row, LogEntry)
