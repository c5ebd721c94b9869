"""The configuration log: one row per version, guarded by a head row."""

import msgspec
from returns.result import Failure, Result, Success

from endivebeam_model import (
    Change,
    ConfigVersion,
    LogEntry,
    OperationId,
)

from ._rows import (
    CommitError,
    Condition,
    Conflict,
    Put,
    Row,
    Table,
    Transaction,
    Unavailable,
)

HEAD_KEY = "config/head"


class Head(msgspec.Struct, frozen=True):
    """Value of the head row."""

    version: ConfigVersion


def log_key(version: int) -> str:
    """Return the key of a log row; keys sort by version.

    >>> log_key(12)
    'config/log/000000000012'
    """
    return f"config/log/{version:012d}"


class ConfigLog:
    """Reads and appends committed changes."""

    def __init__(self, *, table: Table) -> None:
        self._table = table

    async def read_head(self) -> Result[ConfigVersion, Unavailable]:
        """Return the highest committed version."""
        answer = await self._table.read(HEAD_KEY)
        return answer.map(_head_version)

    async def read_entry(
        self, version: ConfigVersion
    ) -> Result[LogEntry | None, Unavailable]:
        """Return one committed change, or None when it does not exist."""
        answer = await self._table.read(log_key(version))
        return answer.map(_decode_entry)

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

        Fails with a conflict when another operator committed that version.
        """
        entry = LogEntry(
            version=ConfigVersion(expected + 1),
            op_id=op_id,
            operator=operator,
            at=at,
            change=change,
        )
        head = await self._table.read(HEAD_KEY)
        match head:
            case Success(row):
                if _head_version(row) != expected:
                    return await self._find_own_entry(entry)
                return await self._commit(entry, row)
        return Failure(head.failure())

    async def _find_own_entry(self, entry: LogEntry) -> Result[LogEntry, CommitError]:
        # The same operation sent again finds the entry of its first attempt.
        answer = await self.read_entry(entry.version)
        match answer:
            case Success(LogEntry() as found) if found.op_id == entry.op_id:
                return Success(found)
            case Success(_):
                return Failure(Conflict())
        return Failure(answer.failure())

    async def _commit(
        self, entry: LogEntry, head: Row | None
    ) -> Result[LogEntry, CommitError]:
        head_version = head.version if head is not None else 0
        key = log_key(entry.version)
        transaction = Transaction(
            op_id=entry.op_id,
            conditions=(
                Condition(key=HEAD_KEY, version=head_version),
                Condition(key=key, version=0),
            ),
            puts=(
                Put(key=key, value=msgspec.json.encode(entry).decode()),
                Put(
                    key=HEAD_KEY,
                    value=msgspec.json.encode(Head(entry.version)).decode(),
                ),
            ),
        )
        answer = await self._table.commit(transaction)
        return answer.map(lambda committed: entry)


def _head_version(row: Row | None) -> ConfigVersion:
    if row is None:
        return ConfigVersion(0)
    return msgspec.json.decode(row.value, type=Head).version


def _decode_entry(row: Row | None) -> LogEntry | None:
    if row is None:
        return None
    return msgspec.json.decode(row.value, type=LogEntry)
