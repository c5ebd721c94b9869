"""The configuration log: one row per version and a head row with the newest one."""

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


class HeadRow(msgspec.Struct, frozen=True):
    """Value of the head row: the newest committed version."""

    version: ConfigVersion


class OperationRow(msgspec.Struct, frozen=True):
    """Value of an operation row: the version that the operation committed."""

    version: ConfigVersion


def log_key(version: int) -> str:
    """Return the key of a log row; keys sort by version.

    >>> log_key(12)
    'config/log/000000000012'
    """
    return f"config/log/{version:012d}"


def operation_key(op_id: OperationId) -> str:
    """Return the key of the row that lets an operation commit only once."""
    return f"config/op/{quote(op_id, safe='')}"


class ConfigLog:
    """Reads committed changes and appends new ones."""

    def __init__(self, *, table: Table) -> None:
        self._table = table

    async def read_head(self) -> Result[ConfigVersion, Unavailable]:
        """Return the highest committed version."""
        result = await self._table.read(HEAD_KEY)
        return result.bind(_head_version)

    async def read_entry(
        self, version: ConfigVersion
    ) -> Result[LogEntry | None, Unavailable]:
        """Return one committed change, or None when it does not exist."""
        result = await self._table.read(log_key(version))
        return result.bind(_decode_entry)

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

        A retry of an operation that was committed returns the entry of that
        commit, whatever ``expected`` is. Fails with a conflict when another
        operation committed the version, or when the operation id was used for
        another change.
        """
        entry = LogEntry(
            version=ConfigVersion(expected + 1),
            op_id=op_id,
            operator=operator,
            at=at,
            change=change,
        )
        earlier = await self._find_earlier_commit(entry)
        if earlier != Success(None):
            return _to_append_result(earlier)
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
                result = await self._commit(entry, head)
            case Success(_):
                result = Failure(Conflict())
            case malformed:
                return Failure(malformed.failure())
        if isinstance(result, Success):
            return result
        # An earlier attempt whose response was lost may have been applied meanwhile.
        earlier = await self._find_earlier_commit(entry)
        if isinstance(earlier, Failure) or earlier == Success(None):
            return result
        return _to_append_result(earlier)

    async def _find_earlier_commit(
        self, entry: LogEntry
    ) -> Result[LogEntry | Conflict | None, Unavailable]:
        result = await self._table.read(operation_key(entry.op_id))
        match result:
            case Success(None):
                return Success(None)
            case Success(Row() as row):
                operation = decode_value(row, OperationRow)
                if isinstance(operation, Failure):
                    return Failure(operation.failure())
                found = await self.read_entry(operation.unwrap().version)
                return found.bind(lambda earlier: _check_same_change(earlier, entry))
        return Failure(result.failure())

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
                Put(key=HEAD_KEY, value=_encode(HeadRow(entry.version))),
                Put(key=operation, value=_encode(OperationRow(entry.version))),
            ),
        )
        result = await self._table.commit(transaction)
        return result.map(lambda committed: entry)


def _transaction_id(entry: LogEntry, value: str) -> OperationId:
    # Includes the version and a digest of the entry, so that an earlier attempt of
    # the same operation with another version or time has another transaction id.
    digest = hashlib.sha256(value.encode()).hexdigest()[:16]
    return OperationId(f"{entry.op_id}/{entry.version}/{digest}")


def _check_same_change(
    earlier: LogEntry | None, entry: LogEntry
) -> Result[LogEntry | Conflict | None, Unavailable]:
    if earlier is None:
        return Failure(Unavailable(message="a committed log entry is missing"))
    if earlier.change != entry.change:
        return Success(Conflict())
    return Success(earlier)


def _to_append_result(
    earlier: Result[LogEntry | Conflict | None, Unavailable],
) -> Result[LogEntry, CommitError]:
    match earlier:
        case Success(LogEntry() as entry):
            return Success(entry)
        case Success(Conflict() as conflict):
            return Failure(conflict)
    return Failure(earlier.failure())


def _encode(value: msgspec.Struct) -> str:
    return msgspec.json.encode(value).decode()


def _head_version(row: Row | None) -> Result[ConfigVersion, Unavailable]:
    if row is None:
        return Success(ConfigVersion(0))
    return decode_value(row, HeadRow).map(lambda head: head.version)


def _decode_entry(row: Row | None) -> Result[LogEntry | None, Unavailable]:
    if row is None:
        return Success(None)
    return decode_value(row, LogEntry)
