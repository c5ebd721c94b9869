"""Authentication, bodies, pagination and responses of the administration API."""

import hashlib
import hmac
from collections.abc import Iterable, Mapping, Sequence
from enum import IntEnum
from typing import TypeVar

import anyio
import msgspec
from starlette.requests import Request
from starlette.responses import Response

from endivebeam_model import DECODE_ERRORS

from ._admin_types import AdminError
from ._settings import Operator

MAX_BODY_BYTES = 256 << 10
BODY_TIMEOUT_S = 10.0
DEFAULT_PAGE_SIZE = 100
MAX_PAGE_SIZE = 500

N = TypeVar("N", bound=str)
T = TypeVar("T")


class Access(IntEnum):
    """Access that an endpoint requires; a higher level includes the lower ones."""

    PUBLIC = 0
    READ = 1
    CHANGE = 2


_ROLE_ACCESS = {"read": Access.READ, "admin": Access.CHANGE}


class ApiError(Exception):
    """Ends a request with an error response."""

    def __init__(self, status: int, error: AdminError) -> None:
        super().__init__(error.message)
        self.status = status
        self.error = error


def make_error(status: int, reason: str, message: str) -> ApiError:
    """Return the error to raise for a request."""
    return ApiError(status, AdminError(reason=reason, message=message))


def authenticate_operator(
    request: Request, operators: Iterable[Operator], required: Access
) -> Operator | None:
    """Return the operator of a request; None for public endpoints.

    Raises ``ApiError`` with 401 or 403. Every digest is compared, each in
    constant time, so that the duration does not reveal which one matched.
    """
    if required is Access.PUBLIC:
        return None
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    digest = hashlib.sha256(token.strip().encode()).hexdigest()
    found = None
    for operator in operators:
        if hmac.compare_digest(operator.token_sha256, digest):
            found = operator
    if found is None or scheme.lower() != "bearer":
        raise make_error(
            401,
            "unauthorized",
            "send an operator token as Authorization: Bearer; client keys do "
            "not work here",
        )
    if _ROLE_ACCESS[found.role] < required:
        raise make_error(
            403,
            "read_only",
            f"the token of {found.name} may only read; use one with role admin",
        )
    return found


async def read_body(request: Request, body_type: type[T]) -> T:
    """Return the decoded body.

    Raises ``ApiError`` when it is too large, too slow or invalid.
    """
    chunks = bytearray()
    try:
        with anyio.fail_after(BODY_TIMEOUT_S):
            async for chunk in request.stream():
                chunks += chunk
                if len(chunks) > MAX_BODY_BYTES:
                    raise make_error(
                        413, "too_large", f"send at most {MAX_BODY_BYTES} bytes"
                    )
    except TimeoutError as error:
        message = f"the body did not arrive within {BODY_TIMEOUT_S:.0f} s; send again"
        raise make_error(408, "request_timeout", message) from error
    try:
        return msgspec.json.decode(bytes(chunks), type=body_type)
    except DECODE_ERRORS as error:
        message = f"{error}; see /v1/openapi.json for the fields"
        raise make_error(400, "bad_request", message) from error


def read_number(request: Request, name: str, default: int, *, maximum: int) -> int:
    """Return an integer query parameter from 0 to ``maximum``, or its default.

    Raises ``ApiError`` with 400 for any other value.
    """
    text = request.query_params.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit() and len(text) < 16):
        raise make_error(400, "bad_request", f"{name} must be a whole number")
    value = int(text)
    if value > maximum:
        raise make_error(400, "bad_request", f"{name} must be at most {maximum}")
    return value


def paginate(
    request: Request, objects: Mapping[N, T]
) -> tuple[Sequence[T], str | None]:
    """Return the requested page and the cursor of the next one, if there is one.

    The cursor is the name of the last object on the page; the next request
    sends it as ``after``.
    """
    limit = max(
        1, read_number(request, "limit", DEFAULT_PAGE_SIZE, maximum=MAX_PAGE_SIZE)
    )
    after = request.query_params.get("after", "")
    names = sorted(name for name in objects if name > after)
    page = names[:limit]
    next_cursor = page[-1] if len(names) > limit else None
    return [objects[name] for name in page], next_cursor


def json_response(
    value: msgspec.Struct, *, status: int = 200, etag: str | None = None
) -> Response:
    """Return a JSON response, with an ``ETag`` header if ``etag`` is given."""
    headers = {} if etag is None else {"etag": f'"{etag}"'}
    return Response(
        msgspec.json.encode(value),
        status_code=status,
        headers=headers,
        media_type="application/json",
    )
