"""HTTP requests to the platform with limits on time and response size."""

import anyio
import httpx
import msgspec
from returns.result import Failure, Result, Success

from ._rows import Unavailable

# Turns compression off, so that a short response cannot expand beyond the limit.
_HEADERS = {"accept-encoding": "identity"}


class HttpResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A complete response of a platform service."""

    status: int
    content: bytes


async def exchange(
    client: httpx.AsyncClient,
    method: str,
    path: str,
    *,
    body: bytes | None = None,
    timeout_s: float,
    max_bytes: int,
) -> Result[HttpResponse, Unavailable]:
    """Send a request and return its response.

    Fails with ``Unavailable`` when the response does not arrive completely within
    ``timeout_s`` seconds or exceeds ``max_bytes``. ``maybe_applied`` of the failure
    is true unless the request only reads.
    """
    is_write = method != "GET"
    try:
        with anyio.fail_after(timeout_s):
            async with client.stream(
                method, path, content=body, headers=_HEADERS
            ) as response:
                content = await _read_bounded(response, max_bytes)
    except (httpx.HTTPError, TimeoutError) as error:
        message = f"the platform did not answer: {type(error).__name__}"
        return Failure(Unavailable(message=message, maybe_applied=is_write))
    if content is None:
        message = f"the platform's answer exceeds {max_bytes} bytes"
        return Failure(Unavailable(message=message, maybe_applied=is_write))
    return Success(HttpResponse(status=response.status_code, content=content))


async def _read_bounded(response: httpx.Response, max_bytes: int) -> bytes | None:
    content = bytearray()
    async for chunk in response.aiter_bytes():
        content += chunk
        if len(content) > max_bytes:
            return None
    return bytes(content)
