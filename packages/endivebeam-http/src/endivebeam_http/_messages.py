"""HTTP messages, size limits and errors."""

from functools import partial
from http import HTTPStatus
from typing import NamedTuple

import msgspec

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


# ``Field`` without the cost of its keyword arguments, for parsers.
make_field = partial(tuple.__new__, Field)


class HttpError(Exception):
    """A message violates the protocol or exceeds a limit.

    A server sends ``status`` to the client before it closes the connection.
    ``retry_after_s`` is the time after which the client may try again, if that helps.
    """

    def __init__(
        self, status: HTTPStatus, message: str, *, retry_after_s: float | None = None
    ) -> None:
        super().__init__(message)
        self.status = status
        self.message = message
        self.retry_after_s = retry_after_s


class ConnectionLostError(Exception):
    """The peer closed the connection before the message was complete."""


class _Message(msgspec.Struct, kw_only=True):
    """Header fields with an index, which the parser or the first look-up creates."""

    fields: list[Field] = []
    index: dict[bytes, bytes] | None = None

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a field, or None."""
        if self.index is None:
            # The first of several values is the last one that is stored.
            self.index = dict(reversed(self.fields))
        return self.index.get(name)


class Request(_Message, kw_only=True):
    """A complete request; ``target`` is the path with its query.

    ``fields`` may not change after the first look-up.
    """

    method: str
    target: str
    body: bytes = b""
    keep_alive: bool = True


class Response(_Message, kw_only=True):
    """A complete response.

    ``encoded_fields`` has further fields, each with its line end, that are sent after
    ``fields`` and that look-ups do not find.
    """

    status: int
    encoded_fields: bytes = b""
    body: bytes = b""
    keep_alive: bool = True


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
    dropped = HOP_BY_HOP | also | _listed_by_connection(fields)
    return [f for f in fields if f.name not in dropped]


def encode_end_to_end(fields: list[Field], *, dropped: frozenset[bytes]) -> bytes:
    """Return the encoded fields, each with its line end, to be sent by another hop.

    Leaves out the fields named in ``dropped``, which should contain ``HOP_BY_HOP``,
    and those that a ``Connection`` field names.
    """
    listed = _listed_by_connection(fields)
    if listed:
        dropped = dropped | listed
    return b"".join([b"%b: %b\r\n" % f for f in fields if f[0] not in dropped])


def _listed_by_connection(fields: list[Field]) -> set[bytes]:
    values = [value for name, value in fields if name == b"connection"]
    if not values:
        return set()
    return {name.strip().lower() for name in b",".join(values).split(b",")}
