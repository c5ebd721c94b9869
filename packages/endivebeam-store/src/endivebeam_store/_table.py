"""Client of the platform's table over HTTP."""

from collections.abc import Callable, Sequence
from typing import TypeVar
from urllib.parse import quote

import anyio
import httpx
import msgspec
from returns.result import Failure, Result, Success

from ._http import Answer, exchange
from ._rows import (
    CommitError,
    Committed,
    Conflict,
    Row,
    Transaction,
    Unavailable,
)

REQUEST_TIMEOUT_S = 1.0
READ_BACK_ATTEMPTS = 3
READ_BACK_DELAY_S = 0.2
MAX_CONNECTIONS = 16
MAX_ANSWER_BYTES = 8 << 20

T = TypeVar("T")


class RowList(msgspec.Struct, frozen=True):
    """Answer of a scan."""

    rows: tuple[Row, ...] = ()


class HttpTable:
    """The platform's table behind its HTTP interface.

    ``on_answer`` is called after each answer of the store, whatever it says.
    It feeds the evidence that the store is up. With ``read_back_attempts`` 0
    the caller of ``commit`` reads back itself.
    """

    def __init__(
        self,
        *,
        client: httpx.AsyncClient,
        on_answer: Callable[[], None] = lambda: None,
        request_timeout_s: float = REQUEST_TIMEOUT_S,
        read_back_attempts: int = READ_BACK_ATTEMPTS,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._client = client
        self._on_answer = on_answer
        self._timeout_s = request_timeout_s
        self._read_back_attempts = read_back_attempts
        self._max_answer_bytes = max_answer_bytes

    async def read(self, key: str) -> Result[Row | None, Unavailable]:
        """Return a row, or None when it does not exist."""
        answer = await self._send("GET", f"/v1/table/rows/{quote(key, safe='')}")
        match answer:
            case Success(Answer(status=404)):
                return Success(None)
            case Success(found):
                return _decode(found, Row).bind(lambda row: _check_row(row, key))
        return Failure(answer.failure())

    async def scan(
        self, prefix: str, *, limit: int
    ) -> Result[Sequence[Row], Unavailable]:
        """Return the rows whose key starts with a prefix, in key order."""
        query = f"/v1/table/rows?prefix={quote(prefix, safe='')}&limit={limit}"
        answer = await self._send("GET", query)
        return answer.bind(lambda found: _decode(found, RowList)).map(
            lambda listing: listing.rows
        )

    async def commit(self, transaction: Transaction) -> Result[Committed, CommitError]:
        """Apply a transaction; a lost answer is resolved by reading back.

        A failure with ``maybe_applied`` remains only when reading back failed
        too; the caller must then treat the outcome as unknown.
        """
        body = msgspec.json.encode(transaction)
        answer = await self._send("POST", "/v1/table/transactions", body)
        match answer:
            case Success(Answer(status=200)):
                return Success(Committed(op_id=transaction.op_id))
            case Success(Answer(status=409) as conflict):
                match _decode(conflict, Conflict):
                    case Success(Conflict(rows=rows)):
                        return _check_own_write(transaction, rows)
            case Success(Answer(status=status)) if 400 <= status < 500:
                message = f"the table answered status {status}"
                return Failure(Unavailable(message=message))
        # No answer, a server error or an unreadable conflict: the write may
        # have taken effect, or may still do so.
        return await self._read_back(transaction)

    async def _read_back(
        self, transaction: Transaction
    ) -> Result[Committed, CommitError]:
        first = transaction.puts[0].key
        for attempt in range(self._read_back_attempts):
            if attempt:
                await anyio.sleep(READ_BACK_DELAY_S)
            match await self.read(first):
                case Success(Row() as row) if row.op_id == transaction.op_id:
                    return Success(Committed(op_id=transaction.op_id))
        # A write that is not visible yet may still arrive, so that reading an
        # older row back does not prove that the write was not applied.
        return Failure(
            Unavailable(
                message="the table's answer was lost; the write could not be confirmed",
                maybe_applied=True,
            )
        )

    async def _send(
        self, method: str, path: str, body: bytes | None = None
    ) -> Result[Answer, Unavailable]:
        answer = await exchange(
            self._client,
            method,
            path,
            body=body,
            timeout_s=self._timeout_s,
            max_bytes=self._max_answer_bytes,
        )
        match answer:
            case Success(Answer(status=503)):
                sent = method != "GET"
                message = "the table is unavailable"
                return Failure(Unavailable(message=message, maybe_applied=sent))
            case Success(_):
                self._on_answer()
        return answer


def _check_own_write(
    transaction: Transaction, rows: Sequence[Row]
) -> Result[Committed, CommitError]:
    # A repeated transaction conflicts with its own first attempt.
    if any(row.op_id == transaction.op_id for row in rows):
        return Success(Committed(op_id=transaction.op_id))
    return Failure(Conflict(rows=tuple(rows)))


def _check_row(row: Row, key: str) -> Result[Row | None, Unavailable]:
    if row.key != key or row.version < 1:
        return Failure(Unavailable(message="the table answered with another row"))
    return Success(row)


def _decode(answer: Answer, kind: type[T]) -> Result[T, Unavailable]:
    if answer.status not in (200, 409):
        message = f"the table answered status {answer.status}"
        return Failure(Unavailable(message=message))
    try:
        return Success(msgspec.json.decode(answer.content, type=kind))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(Unavailable(message=f"malformed answer of the table: {error}"))
