"""Client of the platform's object store over HTTP."""

from typing import Protocol
from urllib.parse import quote

import httpx
from returns.result import Failure, Result, Success

from ._http import HttpResponse, exchange
from ._rows import Unavailable

REQUEST_TIMEOUT_S = 5.0
MAX_OBJECT_BYTES = 64 << 20


class Objects(Protocol):
    """Interface of the platform's object store."""

    async def read(self, name: str) -> Result[bytes | None, Unavailable]:
        """Return the content of an object, or None when it does not exist."""

    async def write(self, name: str, content: bytes) -> Result[None, Unavailable]:
        """Create or replace an object."""


class HttpObjects:
    """Client of the object store's HTTP interface."""

    def __init__(
        self,
        *,
        client: httpx.AsyncClient,
        request_timeout_s: float = REQUEST_TIMEOUT_S,
        max_bytes: int = MAX_OBJECT_BYTES,
    ) -> None:
        self._client = client
        self._timeout_s = request_timeout_s
        self._max_bytes = max_bytes

    async def read(self, name: str) -> Result[bytes | None, Unavailable]:
        """Return the content of an object, or None when it does not exist."""
        response = await self._send("GET", name, None)
        match response:
            case Success(HttpResponse(status=200, content=content)):
                return Success(content)
            case Success(HttpResponse(status=404)):
                return Success(None)
            case Success(HttpResponse(status=status)):
                return Failure(Unavailable(message=_unexpected_status(status)))
        return Failure(response.failure())

    async def write(self, name: str, content: bytes) -> Result[None, Unavailable]:
        """Create or replace an object."""
        response = await self._send("PUT", name, content)
        match response:
            case Success(HttpResponse(status=200 | 201 | 204)):
                return Success(None)
            case Success(HttpResponse(status=status)):
                message = _unexpected_status(status)
                return Failure(Unavailable(message=message, maybe_applied=True))
        return Failure(response.failure())

    async def _send(
        self, method: str, name: str, content: bytes | None
    ) -> Result[HttpResponse, Unavailable]:
        return await exchange(
            self._client,
            method,
            f"/v1/objects/{quote(name)}",
            body=content,
            timeout_s=self._timeout_s,
            max_bytes=self._max_bytes,
        )


def _unexpected_status(status: int) -> str:
    return f"the object store answered status {status}"
