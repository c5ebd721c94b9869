"""Size limits, shared field types and the base class of all peer messages."""

from typing import Annotated, NamedTuple

import msgspec

PROTOCOL_VERSION = 1
# Version of the protocol between sidecar nodes.
SIDECAR_PROTOCOL_VERSION = 3
MAX_BODY_BYTES = 1 << 20
MAX_FRAME_BYTES = MAX_BODY_BYTES + (64 << 10)
MAX_HEADERS = 128

ShortText = Annotated[str, msgspec.Meta(max_length=256)]
PathText = Annotated[str, msgspec.Meta(max_length=8192)]
Body = Annotated[bytes, msgspec.Meta(max_length=MAX_BODY_BYTES)]


class Header(NamedTuple):
    """One HTTP header field; the name is in lower case."""

    name: bytes
    value: bytes


Headers = Annotated[list[Header], msgspec.Meta(max_length=MAX_HEADERS)]


class PeerMessage(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base class of all messages between nodes, encoded as arrays."""
