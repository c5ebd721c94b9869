"""Unpredictable random ids for the call path."""

import os

BUFFER_BYTES = 8192


class _Buffer:
    """Buffer of random bytes, because each read from the system is a system call."""

    def __init__(self) -> None:
        self._data = b""
        self._position = 0

    def read(self, size: int) -> bytes:
        """Return the next bytes; none are returned twice."""
        if self._position + size > len(self._data):
            self._data = os.urandom(BUFFER_BYTES)
            self._position = 0
        start = self._position
        self._position = start + size
        return self._data[start : self._position]


_buffer = _Buffer()


def random_hex(size: int) -> str:
    """Return ``size`` random bytes of the operating system in hexadecimal."""
    return _buffer.read(size).hex()
