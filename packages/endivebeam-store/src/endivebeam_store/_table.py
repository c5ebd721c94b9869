"""Client of the platform's table over HTTP."""

from collections.abc import Callable, Sequence
from typing import TypeVar
from urllib.parse import quote

import anyio
import httpx
import msgspec
from returns.result import Failure, Result, Success

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

T = TypeVar("T")


class RowList(msgspec.Struct, frozen=True):
    """Answer of a scan."""

    rows: tuple[Row, ...] = ()


class HttpTable:
    """The platform's table behind its HTTP interface.

    ``on_answer`` is called after each answer of the store, whatever it says.
    It feeds the evidence that the store is up.
    """

    def __init__(
        self,
        *,
        client: httpx.AsyncClient,
        on_answer: Callable[[], None] = lambda: None,
    ) -> None:
        self._client = client
        self._on_answer = on_answer

    async def read(self, key: str) -> Result[Row | None, Unavailable]:
        """Return a row, or None when it does not exist."""
        answer = await self._send("GET", f"/v1/table/rows/{quote(key, safe='')}")
        match answer:
            case Success(httpx.Response(status_code=404)):
                return Success(None)
            case Success(response):
                return _decode(response, Row)
        return Failure(answer.failure())

    async def scan(
        self, prefix: str, *, limit: int
    ) -> Result[Sequence[Row], Unavailable]:
        """Return the rows whose key starts with a prefix, in key order."""
        query = f"/v1/table/rows?prefix={quote(prefix, safe='')}&limit={limit}"
        answer = await self._send("GET", query)
        return answer.bind(lambda response: _decode(response, RowList)).map(
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
            case Success(httpx.Response(status_code=200)):
                return Success(Committed(op_id=transaction.op_id))
            case Success(httpx.Response(status_code=409) as response):
                return await self._check_own_write(transaction, response)
            case Success(response):
                return Failure(
                    Unavailable(
                        message=f"the table answered status {response.status_code}",
                        maybe_applied=response.status_code >= 500,
                    )
                )
        return await self._read_back(transaction)

    async def _check_own_write(
        self, transaction: Transaction, response: httpx.Response
    ) -> Result[Committed, CommitError]:
        # A repeated transaction conflicts with its own first attempt.
        conflict = _decode(response, Conflict)
        match conflict:
            case Success(Conflict(rows=rows)):
                if any(row.op_id == transaction.op_id for row in rows):
                    return Success(Committed(op_id=transaction.op_id))
                return Failure(Conflict(rows=rows))
        return Failure(Unavailable(message="the table sent a malformed conflict"))

    async def _read_back(
        self, transaction: Transaction
    ) -> Result[Committed, CommitError]:
        first = transaction.puts[0].key
        for attempt in range(READ_BACK_ATTEMPTS):
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
    ) -> Result[httpx.Response, Unavailable]:
        try:
            with anyio.fail_after(REQUEST_TIMEOUT_S):
                response = await self._client.request(method, path, content=body)
        except (httpx.HTTPError, TimeoutError) as error:
            message = f"the table did not answer: {type(error).__name__}"
            return Failure(Unavailable(message=message, maybe_applied=True))
        if response.status_code == 503:
            return Failure(Unavailable(message="the table is unavailable"))
        self._on_answer()
        return Success(response)


def _decode(response: httpx.Response, kind: type[T]) -> Result[T, Unavailable]:
    if response.status_code not in (200, 409):
        message = f"the table answered status {response.status_code}"
        return Failure(Unavailable(message=message))
    try:
        return Success(msgspec.json.decode(response.content, type=kind))
    except msgspec.DecodeError as error:
        return Failure(Unavailable(message=f"malformed answer of the table: {error}"))
