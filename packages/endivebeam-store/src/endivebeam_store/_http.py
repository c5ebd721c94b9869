"""One bounded HTTP exchange with a platform service."""

import anyio
import httpx
import msgspec
from returns.result import Failure, Result, Success

from ._rows import Unavailable

# Without compression a short answer cannot expand beyond the size limit.
_FIELDS = {"accept-encoding": "identity"}


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer of a platform service."""

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
) -> Result[Answer, Unavailable]:
    """Send a request and return its answer if it is whole and within the limit.

    ``maybe_applied`` of a failure is true unless the request only reads.
    """
    sent = method != "GET"
    try:
        with anyio.fail_after(timeout_s):
            async with client.stream(
                method, path, content=body, headers=_FIELDS
            ) as response:
                content = await _read_bounded(response, max_bytes)
    except (httpx.HTTPError, TimeoutError) as error:
        message = f"the platform did not answer: {type(error).__name__}"
        return Failure(Unavailable(message=message, maybe_applied=sent))
    if content is None:
        message = f"the platform's answer exceeds {max_bytes} bytes"
        return Failure(Unavailable(message=message, maybe_applied=sent))
    return Success(Answer(status=response.status_code, content=content))


async def _read_bounded(response: httpx.Response, max_bytes: int) -> bytes | None:
    content = bytearray()
    async for chunk in response.aiter_bytes():
        content += chunk
        if len(content) > max_bytes:
            return None
    return bytes(content)
