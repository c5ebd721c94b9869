"""Rows and transactions of the platform's table, independent of any transport."""

from collections.abc import Sequence
from typing import Protocol, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from endivebeam_model import DECODE_ERRORS, OperationId

T = TypeVar("T")


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """A row of the platform's table.

    ``version`` starts at 1 and increases with each write. ``op_id`` identifies
    the operation that wrote this version, so that a writer that got no response
    can find out whether its write took effect.
    """

    key: str
    value: str
    version: int
    op_id: OperationId


class Condition(msgspec.Struct, frozen=True, kw_only=True):
    """The version that a row must have; 0 means that the row must not exist."""

    key: str
    version: int


class Put(msgspec.Struct, frozen=True, kw_only=True):
    """The new value of a row."""

    key: str
    value: str


class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """Writes that are applied atomically if every condition holds."""

    op_id: OperationId
    conditions: tuple[Condition, ...]
    puts: tuple[Put, ...]


class Conflict(msgspec.Struct, frozen=True, kw_only=True):
    """A condition did not hold; nothing was written.

    ``rows`` are the current rows of the failed conditions that exist.
    """

    rows: tuple[Row, ...] = ()


class Unavailable(msgspec.Struct, frozen=True, kw_only=True):
    """The store gave no usable response in time.

    ``maybe_applied`` is true when a write may have taken effect or may still do so.
    """

    message: str
    maybe_applied: bool = False


class Committed(msgspec.Struct, frozen=True, kw_only=True):
    """The transaction was applied."""

    op_id: OperationId


CommitError = Conflict | Unavailable


def decode_value(row: Row, value_type: type[T]) -> Result[T, Unavailable]:
    """Decode the JSON value of a row; fails when the value is malformed."""
    try:
        return Success(msgspec.json.decode(row.value, type=value_type))
    except (*DECODE_ERRORS, UnicodeError) as error:
        message = f"row {row.key} is malformed: {error}"
        return Failure(Unavailable(message=message))


class Table(Protocol):
    """Interface of the platform's transactional table."""

    async def read(self, key: str) -> Result[Row | None, Unavailable]:
        """Return a row, or None when it does not exist."""

    async def scan(
        self, prefix: str, *, limit: int
    ) -> Result[Sequence[Row], Unavailable]:
        """Return the rows whose key starts with a prefix, in key order."""

    async def commit(self, transaction: Transaction) -> Result[Committed, CommitError]:
        """Apply a transaction.

        When the response is lost, a row is read back to find out whether the
        transaction was applied.
        """
