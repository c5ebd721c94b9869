"""Operators, bodies, pages and answers of the administration API."""

import hashlib
import hmac
from collections.abc import Iterable, Mapping, Sequence
from enum import IntEnum
from typing import TypeVar

import anyio
import msgspec
from starlette.requests import Request
from starlette.responses import Response

from ._admin_types import AdminError
from ._settings import Operator

MAX_CHANGE_BYTES = 256 << 10
BODY_TIMEOUT_S = 10.0
DEFAULT_PAGE = 100
MAX_PAGE = 500

N = TypeVar("N", bound=str)
T = TypeVar("T")


class Access(IntEnum):
    """What a request needs; a higher level includes the lower ones."""

    PUBLIC = 0
    READ = 1
    CHANGE = 2


_LEVELS = {"read": Access.READ, "admin": Access.CHANGE}


class ApiError(Exception):
    """A request that ends with an error answer."""

    def __init__(self, status: int, error: AdminError) -> None:
        super().__init__(error.message)
        self.status = status
        self.error = error


def fail(status: int, reason: str, message: str) -> ApiError:
    """Return the error to raise for a request."""
    return ApiError(status, AdminError(reason=reason, message=message))


def authenticate_operator(
    request: Request, operators: Iterable[Operator], needed: Access
) -> Operator | None:
    """Return the operator of a request; None for public endpoints.

    Raises ``ApiError`` with 401 or 403. Every digest is compared, in constant
    time each, so that the time says nothing about which one matched.
    """
    if needed is Access.PUBLIC:
        return None
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    digest = hashlib.sha256(token.strip().encode()).hexdigest()
    found = None
    for operator in operators:
        if hmac.compare_digest(operator.token_sha256, digest):
            found = operator
    if found is None or scheme.lower() != "bearer":
        raise fail(
            401,
            "unauthorized",
            "send an operator token as Authorization: Bearer; client keys do "
            "not work here",
        )
    if _LEVELS[found.role] < needed:
        raise fail(
            403,
            "read_only",
            f"the token of {found.name} may only read; use one with role admin",
        )
    return found


async def read_body(request: Request, kind: type[T]) -> T:
    """Return the decoded body; raises ``ApiError`` when it is too large."""
    chunks = bytearray()
    try:
        with anyio.fail_after(BODY_TIMEOUT_S):
            async for chunk in request.stream():
                chunks += chunk
                if len(chunks) > MAX_CHANGE_BYTES:
                    raise fail(
                        413, "too_large", f"send at most {MAX_CHANGE_BYTES} bytes"
                    )
    except TimeoutError as error:
        message = f"the body did not arrive within {BODY_TIMEOUT_S:.0f} s; send again"
        raise fail(408, "request_timeout", message) from error
    try:
        return msgspec.json.decode(bytes(chunks), type=kind)
    except msgspec.DecodeError as error:
        message = f"{error}; see /v1/openapi.json for the fields"
        raise fail(400, "bad_request", message) from error


def read_number(request: Request, name: str, default: int, *, high: int) -> int:
    """Return a whole query parameter between 0 and a limit."""
    text = request.query_params.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and len(text) < 16):
        raise fail(400, "bad_request", f"{name} must be a whole number")
    value = int(text)
    if value > high:
        raise fail(400, "bad_request", f"{name} must be at most {high}")
    return value


def cut_page(
    request: Request, objects: Mapping[N, T]
) -> tuple[Sequence[T], str | None]:
    """Return the objects that a page asks for and where the next one starts."""
    limit = max(1, read_number(request, "limit", DEFAULT_PAGE, high=MAX_PAGE))
    after = request.query_params.get("after", "")
    names = sorted(name for name in objects if name > after)
    page = names[:limit]
    following = page[-1] if len(names) > limit else None
    return [objects[name] for name in page], following


def reply(
    value: msgspec.Struct, *, status: int = 200, etag: str | None = None
) -> Response:
    """Return a JSON answer, with an entity tag when there is one."""
    headers = {} if etag is None else {"etag": f'"{etag}"'}
    return Response(
        msgspec.json.encode(value),
        status_code=status,
        headers=headers,
        media_type="application/json",
    )
