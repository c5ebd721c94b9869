"""Client of the platform's table over HTTP."""

from collections.abc import Callable, Sequence
from typing import TypeVar
from urllib.parse import quote

import anyio
import httpx
import msgspec
from returns.result import Failure, Result, Success

from endivebeam_model import DECODE_ERRORS

from ._http import HttpResponse, exchange
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
MAX_RESPONSE_BYTES = 8 << 20

T = TypeVar("T")


class RowList(msgspec.Struct, frozen=True):
    """Response to a scan."""

    rows: tuple[Row, ...] = ()


class HttpTable:
    """Client of the table's HTTP interface.

    ``on_response`` is called after each response of the store except status 503, as
    evidence that the store is up. With ``read_back_attempts`` 0 the caller of
    ``commit`` reads the row back itself after a lost response.
    """

    def __init__(
        self,
        *,
        client: httpx.AsyncClient,
        on_response: Callable[[], None] = lambda: None,
        request_timeout_s: float = REQUEST_TIMEOUT_S,
        read_back_attempts: int = READ_BACK_ATTEMPTS,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        self._client = client
        self._on_response = on_response
        self._timeout_s = request_timeout_s
        self._read_back_attempts = read_back_attempts
        self._max_response_bytes = max_response_bytes

    async def read(self, key: str) -> Result[Row | None, Unavailable]:
        """Return a row, or None when it does not exist."""
        response = await self._send("GET", f"/v1/table/rows/{quote(key, safe='')}")
        match response:
            case Success(HttpResponse(status=404)):
                return Success(None)
            case Success(found):
                return _decode_content(found, Row).bind(
                    lambda row: _check_row(row, key)
                )
        return Failure(response.failure())

    async def scan(
        self, prefix: str, *, limit: int
    ) -> Result[Sequence[Row], Unavailable]:
        """Return the rows whose key starts with a prefix, in key order."""
        query = f"/v1/table/rows?prefix={quote(prefix, safe='')}&limit={limit}"
        response = await self._send("GET", query)
        return response.bind(lambda found: _decode_content(found, RowList)).map(
            lambda listing: listing.rows
        )

    async def commit(self, transaction: Transaction) -> Result[Committed, CommitError]:
        """Apply a transaction.

        When the response is lost or unclear, the first written row is read back.
        Fails with ``maybe_applied`` only when that does not show the write either;
        the caller must then treat the outcome as unknown.
        """
        body = msgspec.json.encode(transaction)
        response = await self._send("POST", "/v1/table/transactions", body)
        match response:
            case Success(HttpResponse(status=200)):
                return Success(Committed(op_id=transaction.op_id))
            case Success(HttpResponse(status=409) as conflict):
                match _decode_content(conflict, Conflict):
                    case Success(Conflict(rows=rows)):
                        return _check_own_write(transaction, rows)
            case Success(HttpResponse(status=status)) if 400 <= status < 500:
                message = f"the table answered status {status}"
                return Failure(Unavailable(message=message))
        # After no response, a server error or a malformed conflict, the write may
        # have taken effect or may still do so.
        return await self._read_back(transaction)

    async def _read_back(
        self, transaction: Transaction
    ) -> Result[Committed, CommitError]:
        first_key = transaction.puts[0].key
        for attempt in range(self._read_back_attempts):
            if attempt:
                await anyio.sleep(READ_BACK_DELAY_S)
            match await self.read(first_key):
                case Success(Row() as row) if row.op_id == transaction.op_id:
                    return Success(Committed(op_id=transaction.op_id))
        # An older row does not prove that the write was not applied, because a
        # delayed write may still arrive.
        return Failure(
            Unavailable(
                message="the table's answer was lost; the write could not be confirmed",
                maybe_applied=True,
            )
        )

    async def _send(
        self, method: str, path: str, body: bytes | None = None
    ) -> Result[HttpResponse, Unavailable]:
        response = await exchange(
            self._client,
            method,
            path,
            body=body,
            timeout_s=self._timeout_s,
            max_bytes=self._max_response_bytes,
        )
        match response:
            case Success(HttpResponse(status=503)):
                is_write = method != "GET"
                message = "the table is unavailable"
                return Failure(Unavailable(message=message, maybe_applied=is_write))
            case Success(_):
                self._on_response()
        return response


def _check_own_write(
    transaction: Transaction, rows: Sequence[Row]
) -> Result[Committed, CommitError]:
    # A retried transaction conflicts with its own first attempt.
    if any(row.op_id == transaction.op_id for row in rows):
        return Success(Committed(op_id=transaction.op_id))
    return Failure(Conflict(rows=tuple(rows)))


def _check_row(row: Row, key: str) -> Result[Row | None, Unavailable]:
    if row.key != key or row.version < 1:
        return Failure(Unavailable(message="the table answered with another row"))
    return Success(row)


def _decode_content(
    response: HttpResponse, value_type: type[T]
) -> Result[T, Unavailable]:
    if response.status not in (200, 409):
        message = f"the table answered status {response.status}"
        return Failure(Unavailable(message=message))
    try:
        return Success(msgspec.json.decode(response.content, type=value_type))
    except (*DECODE_ERRORS, UnicodeDecodeError) as error:
        return Failure(Unavailable(message=f"malformed answer of the table: {error}"))
