"""Framing: each frame is a length of four bytes and one msgpack message."""

import struct

import msgspec

from endivebeam_model import DECODE_ERRORS

from ._base import MAX_FRAME_BYTES
from ._messages import Message

_LENGTH = struct.Struct(">I")
LENGTH_BYTES = _LENGTH.size

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class FrameError(Exception):
    """A peer sent bytes that are not a valid message."""


def encode_frame(message: Message) -> bytes:
    """Return an encoded message, preceded by its length.

    Raises ``FrameError`` when the message exceeds ``MAX_FRAME_BYTES``, so that the
    sender and not the receiver rejects an oversized message.
    """
    payload = _encoder.encode(message)
    if len(payload) > MAX_FRAME_BYTES:
        raise FrameError(
            f"message of {len(payload)} bytes exceeds {MAX_FRAME_BYTES} bytes"
        )
    return _LENGTH.pack(len(payload)) + payload


class FrameReader:
    """Decodes messages from a stream of received bytes."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes of a message that is received in part."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Message]:
        """Add received bytes and return the messages that they complete.

        Raises ``FrameError`` when a frame is too long or malformed. The stream must
        then be closed, because the start of the next frame is unknown.
        """
        buffer = self._buffer
        if not buffer and len(data) >= LENGTH_BYTES:
            (length,) = _LENGTH.unpack_from(data)
            if len(data) == LENGTH_BYTES + length <= LENGTH_BYTES + MAX_FRAME_BYTES:
                # Nearly all reads bring exactly one frame, which needs no buffer.
                return [_decode(memoryview(data)[LENGTH_BYTES:])]
        buffer += data
        messages = []
        start = 0
        while len(buffer) - start >= LENGTH_BYTES:
            (length,) = _LENGTH.unpack_from(buffer, start)
            if length > MAX_FRAME_BYTES:
                raise FrameError(f"frame of {length} bytes exceeds {MAX_FRAME_BYTES}")
            end = start + LENGTH_BYTES + length
            if len(buffer) < end:
                break
            messages.append(_decode(bytes(buffer[start + LENGTH_BYTES : end])))
            start = end
        if start:
            del buffer[:start]
        return messages


def _decode(payload: bytes | memoryview) -> Message:
    try:
        return _decoder.decode(payload)
    except DECODE_ERRORS as error:
        raise FrameError(f"malformed message: {error}") from error
