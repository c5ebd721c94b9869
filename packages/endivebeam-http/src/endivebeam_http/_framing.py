"""Checks of a complete head: version, status and header fields.

They hold for requests and responses alike, whatever the parser itself rejects.
"""

import re
from http import HTTPStatus

from ._messages import MAX_HEADERS, Field, HttpError

_SINGLE_FIELDS = (b"content-length", b"host", b"transfer-encoding")
_VERSIONS = frozenset({"1.0", "1.1"})
MIN_STATUS = 100
MAX_STATUS = 599
# Bytes that no field name may have (RFC 9110, 5.6.2), and no value.
_NO_NAME = re.compile(rb"[^!#$%&'*+\-.^_`|~0-9A-Za-z]")
_NO_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


def check_version(version: str) -> None:
    """Raise ``HttpError`` unless a version of the protocol is served."""
    if version not in _VERSIONS:
        raise HttpError(
            HTTPStatus.HTTP_VERSION_NOT_SUPPORTED, "the version is not HTTP/1.x"
        )


def check_status(status: int) -> None:
    """Raise ``HttpError`` unless a response may have a status."""
    if not MIN_STATUS <= status <= MAX_STATUS:
        raise HttpError(HTTPStatus.BAD_GATEWAY, f"{status} is not a status")


def check_header(
    fields: list[Field], *, max_bytes: int, received_bytes: int
) -> dict[bytes, bytes]:
    """Check the limits and the fields; return the first value of each field.

    Rejects names and values with bytes that they cannot have, and fields that make the
    end of the message ambiguous: two parsers on the path could disagree on it (request
    smuggling). ``received_bytes`` is at least the length of the header; the fields are
    measured only if it exceeds ``max_bytes``.
    Raises ``HttpError``.
    """
    if len(fields) > MAX_HEADERS or (
        received_bytes > max_bytes
        and sum(len(name) + len(value) for name, value in fields) > max_bytes
    ):
        raise HttpError(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            f"header fields exceed {MAX_HEADERS} fields or {max_bytes} bytes",
        )
    # The first of several values is the last one that is stored.
    index = dict(reversed(fields))
    _check_bytes(index, fields)
    if len(index) < len(fields):
        _check_repeated(fields)
    _check_body_framing(index)
    return index


def _check_bytes(index: dict[bytes, bytes], fields: list[Field]) -> None:
    # All names and all values at once, which is cheaper than one after the other.
    if b"" in index or _NO_NAME.search(b"".join(index)):
        raise HttpError(HTTPStatus.BAD_REQUEST, "a field has a malformed name")
    if _NO_VALUE.search(b"".join([field[1] for field in fields])):
        raise HttpError(HTTPStatus.BAD_REQUEST, "a field has a malformed value")


def _check_body_framing(index: dict[bytes, bytes]) -> None:
    length = index.get(b"content-length")
    coding = index.get(b"transfer-encoding")
    if length is not None and coding is not None:
        raise HttpError(
            HTTPStatus.BAD_REQUEST,
            "Content-Length and Transfer-Encoding exclude each other",
        )
    if length is not None and not length.isdigit():
        raise HttpError(HTTPStatus.BAD_REQUEST, "Content-Length is not a number")
    if coding is not None and coding.lower() != b"chunked":
        raise HttpError(HTTPStatus.BAD_REQUEST, "an unknown transfer coding")


def _check_repeated(fields: list[Field]) -> None:
    names = [field[0] for field in fields]
    for name in _SINGLE_FIELDS:
        if names.count(name) > 1:
            raise HttpError(
                HTTPStatus.BAD_REQUEST, "a framing field occurs more than once"
            )
