"""Frames: a length of four bytes, then one msgpack message."""

import struct

import msgspec

from ._base import MAX_FRAME_BYTES
from ._messages import Message

_LENGTH = struct.Struct(">I")
LENGTH_BYTES = _LENGTH.size

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class FrameError(Exception):
    """A peer sent bytes that are not a valid message."""


def encode_frame(message: Message) -> bytes:
    """Return a message with its length in front.

    Raises ``FrameError`` when the message exceeds the frame limit, so that an
    oversized message is refused by its sender and not by its receiver.
    """
    payload = _encoder.encode(message)
    if len(payload) > MAX_FRAME_BYTES:
        raise FrameError(
            f"message of {len(payload)} bytes exceeds {MAX_FRAME_BYTES} bytes"
        )
    return _LENGTH.pack(len(payload)) + payload


class FrameReader:
    """Splits received bytes into messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Add bytes and return the messages that are complete.

        Raises ``FrameError`` on a frame that is too long or malformed. The
        stream must then be closed, because its position is lost.
        """
        buffer = self._buffer
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


def _decode(payload: bytes) -> Message:
    try:
        return _decoder.decode(payload)
    except msgspec.DecodeError as error:
        raise FrameError(f"malformed message: {error}") from error
