"""Client of the platform's object store over HTTP."""

from urllib.parse import quote

import anyio
import httpx
from returns.result import Failure, Result, Success

from ._rows import Unavailable

REQUEST_TIMEOUT_S = 5.0


class HttpObjects:
    """The platform's object store behind its HTTP interface."""

    def __init__(self, *, client: httpx.AsyncClient) -> None:
        self._client = client

    async def read(self, name: str) -> Result[bytes | None, Unavailable]:
        """Return the content of an object, or None when it does not exist."""
        answer = await self._send("GET", name, None)
        return answer.map(
            lambda response: None if response.status_code == 404 else response.content
        )

    async def write(self, name: str, content: bytes) -> Result[None, Unavailable]:
        """Create or replace an object."""
        answer = await self._send("PUT", name, content)
        return answer.map(lambda response: None)

    async def _send(
        self, method: str, name: str, content: bytes | None
    ) -> Result[httpx.Response, Unavailable]:
        path = f"/v1/objects/{quote(name)}"
        try:
            with anyio.fail_after(REQUEST_TIMEOUT_S):
                response = await self._client.request(method, path, content=content)
        except (httpx.HTTPError, TimeoutError) as error:
            message = f"the object store did not answer: {type(error).__name__}"
            return Failure(Unavailable(message=message, maybe_applied=method == "PUT"))
        if response.status_code not in (200, 201, 404):
            message = f"the object store answered status {response.status_code}"
            return Failure(Unavailable(message=message))
        return Success(response)
