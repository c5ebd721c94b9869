"""Rows, transactions and their results, independent of any transport."""

from collections.abc import Sequence
from typing import Protocol, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from endivebeam_model import OperationId

T = TypeVar("T")


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """A row of the platform's table.

    ``version`` starts at 1 and rises with each write. ``op_id`` names the
    operation that wrote this version, so that a writer whose answer was lost
    can find out whether its write took effect.
    """

    key: str
    value: str
    version: int
    op_id: OperationId


class Condition(msgspec.Struct, frozen=True, kw_only=True):
    """The version that a row must have; 0 means that the row must be absent."""

    key: str
    version: int


class Put(msgspec.Struct, frozen=True, kw_only=True):
    """The new value of a row."""

    key: str
    value: str


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Writes that take effect together if every condition holds."""

    op_id: OperationId
    conditions: tuple[Condition, ...]
    puts: tuple[Put, ...]


class Conflict(msgspec.Struct, frozen=True, kw_only=True):
    """A condition did not hold; nothing was written.

    ``rows`` are the current rows of the failed conditions that exist.
    """

    rows: tuple[Row, ...] = ()


class Unavailable(msgspec.Struct, frozen=True, kw_only=True):
    """The store did not answer in time.

    ``maybe_applied`` is true when a write may have taken effect.
    """

    message: str
    maybe_applied: bool = False


class Committed(msgspec.Struct, frozen=True, kw_only=True):
    """The transaction took effect."""

    op_id: OperationId


CommitError = Conflict | Unavailable


def decode_value(row: Row, kind: type[T]) -> Result[T, Unavailable]:
    """Return the typed value of a row; a malformed value is a failure."""
    try:
        return Success(msgspec.json.decode(row.value, type=kind))
    except (msgspec.DecodeError, UnicodeError) as error:
        message = f"row {row.key} is malformed: {error}"
        return Failure(Unavailable(message=message))


class Table(Protocol):
    """The platform's transactional table."""

    async def read(self, key: str) -> Result[Row | None, Unavailable]:
        """Return a row, or None when it does not exist."""

    async def scan(
        self, prefix: str, *, limit: int
    ) -> Result[Sequence[Row], Unavailable]:
        """Return the rows whose key starts with a prefix, in key order."""

    async def commit(self, transaction: Transaction) -> Result[Committed, CommitError]:
        """Apply a transaction; a lost answer is resolved by reading back."""
