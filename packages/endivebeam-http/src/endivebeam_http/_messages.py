"""HTTP messages, size limits and errors."""

from dataclasses import dataclass, field
from http import HTTPStatus
from typing import NamedTuple

MAX_HEADER_BYTES = 32 << 10
MAX_HEADERS = 100
MAX_TARGET_BYTES = 8 << 10
MAX_BODY_BYTES = 1 << 20
MAX_PIPELINED = 16

# Fields that apply to one connection and must not be forwarded (RFC 9110, 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class Field(NamedTuple):
    """One header field; the name is in lower case."""

    name: bytes
    value: bytes


class HttpError(Exception):
    """A message violates the protocol or exceeds a limit.

    A server sends ``status`` to the client before it closes the connection.
    """

    def __init__(self, status: HTTPStatus, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message


class ConnectionLostError(Exception):
    """The peer closed the connection before the message was complete."""


@dataclass(slots=True, kw_only=True)
class Request:
    """A complete request; ``target`` is the path with its query."""

    method: str
    target: str
    fields: list[Field] = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a field, or None."""
        return get_field(self.fields, name)


@dataclass(slots=True, kw_only=True)
class Response:
    """A complete response."""

    status: int
    fields: list[Field] = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a field, or None."""
        return get_field(self.fields, name)


def get_field(fields: list[Field], name: bytes) -> bytes | None:
    """Return the first value of a field, or None."""
    for field_name, value in fields:
        if field_name == name:
            return value
    return None


def strip_hop_by_hop(
    fields: list[Field], also: frozenset[bytes] = frozenset()
) -> list[Field]:
    """Return the fields without hop-by-hop fields and those named in ``also``.

    Fields that a ``Connection`` field names are hop-by-hop too.
    """
    dropped = HOP_BY_HOP | also
    named = [f.value for f in fields if f.name == b"connection"]
    if named:
        listed = b",".join(named).split(b",")
        dropped = dropped | {name.strip().lower() for name in listed}
    return [f for f in fields if f.name not in dropped]
