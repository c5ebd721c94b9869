"""Checks of a complete header."""

from http import HTTPStatus

from ._messages import MAX_HEADERS, Field, HttpError

_SINGLE_FIELDS = (b"content-length", b"host", b"transfer-encoding")


def check_header(
    fields: list[Field], *, max_bytes: int, received_bytes: int
) -> dict[bytes, bytes]:
    """Check the limits and the framing fields; return the first value of each field.

    Rejects fields that make the end of the message ambiguous: two parsers on the
    path could disagree on it (request smuggling). ``received_bytes`` is at least the
    length of the header; the fields are measured only if it exceeds ``max_bytes``.
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
    if len(index) < len(fields):
        _check_repeated(fields)
    if b"transfer-encoding" in index and b"content-length" in index:
        raise HttpError(
            HTTPStatus.BAD_REQUEST,
            "Content-Length and Transfer-Encoding exclude each other",
        )
    return index


def _check_repeated(fields: list[Field]) -> None:
    names = [field[0] for field in fields]
    for name in _SINGLE_FIELDS:
        if names.count(name) > 1:
            raise HttpError(
                HTTPStatus.BAD_REQUEST, "a framing field occurs more than once"
            )
