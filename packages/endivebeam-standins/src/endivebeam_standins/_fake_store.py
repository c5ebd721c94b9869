"""A table and an object store in memory, with faults chosen by the test."""

from collections.abc import Callable, Sequence
from enum import Enum
from typing import Any

from returns.result import Failure, Result, Success

from endivebeam_store import (
    CommitError,
    Committed,
    CommitTransaction,
    Conflict,
    ReadObject,
    ReadRow,
    Row,
    StoreAction,
    Transaction,
    Unavailable,
    WriteObject,
)


class StoreFault(Enum):
    """Fault injected into one operation.

    ``LOST`` applies a write and returns no response, ``LATE`` applies a
    transaction when the test calls ``FakeStore.deliver`` and an object at once,
    and ``DOWN`` neither applies a write nor returns a response. A read
    fails alike under all three.
    """

    NONE = "none"
    LOST = "lost"
    LATE = "late"
    DOWN = "down"


class FakeStore:
    """In-memory ``Table`` and object store with fault injection.

    ``execute_action`` runs one action with a given fault. The asynchronous
    methods of ``Table`` call ``choose_fault`` for the fault of each operation.
    """

    def __init__(
        self, *, choose_fault: Callable[[], StoreFault] = lambda: StoreFault.NONE
    ) -> None:
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.late: list[Transaction] = []
        self._choose_fault = choose_fault

    def execute_action(self, action: StoreAction, fault: StoreFault) -> Any:
        """Run one action and return its result as the caller sees it."""
        match action:
            case CommitTransaction(transaction=transaction):
                return self._commit(transaction, fault)
            case ReadRow(key=key):
                return self._make_result(self.rows.get(key), fault)
            case WriteObject(name=name, content=content):
                if fault is not StoreFault.DOWN:
                    self.objects[name] = content
                return self._make_result(None, fault)
            case ReadObject(name=name):
                return self._make_result(self.objects.get(name), fault)

    def deliver(self, index: int) -> None:
        """Apply the late transaction at an index if its conditions still hold."""
        self._apply(self.late.pop(index))

    async def read(self, key: str) -> Result[Row | None, Unavailable]:
        """Return a row, or None when it does not exist."""
        fault = self._choose_fault()
        return self._make_result(self.rows.get(key), fault)

    async def scan(
        self, prefix: str, *, limit: int
    ) -> Result[Sequence[Row], Unavailable]:
        """Return the rows whose key starts with a prefix, in key order."""
        fault = self._choose_fault()
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return self._make_result([self.rows[key] for key in keys[:limit]], fault)

    async def commit(self, transaction: Transaction) -> Result[Committed, CommitError]:
        """Apply a transaction."""
        return self._commit(transaction, self._choose_fault())

    def _commit(
        self, transaction: Transaction, fault: StoreFault
    ) -> Result[Committed, CommitError]:
        result: Result[Committed, CommitError]
        result = Failure(Unavailable(message="no answer", maybe_applied=True))
        if fault is StoreFault.LATE:
            self.late.append(transaction)
        elif fault is not StoreFault.DOWN:
            applied = self._apply(transaction)
            result = applied if fault is StoreFault.NONE else result
        return result

    def _apply(self, transaction: Transaction) -> Result[Committed, CommitError]:
        failed = [
            c for c in transaction.conditions if self._version(c.key) != c.version
        ]
        if failed:
            rows = tuple(self.rows[c.key] for c in failed if c.key in self.rows)
            if any(row.op_id == transaction.op_id for row in rows):
                return Success(Committed(op_id=transaction.op_id))
            return Failure(Conflict(rows=rows))
        for put in transaction.puts:
            self.rows[put.key] = Row(
                key=put.key,
                value=put.value,
                version=self._version(put.key) + 1,
                op_id=transaction.op_id,
            )
        return Success(Committed(op_id=transaction.op_id))

    def _version(self, key: str) -> int:
        return self.rows[key].version if key in self.rows else 0

    def _make_result(self, value: Any, fault: StoreFault) -> Result[Any, Unavailable]:
        if fault is StoreFault.NONE:
            return Success(value)
        return Failure(Unavailable(message="no answer"))
