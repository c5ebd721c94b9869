"""Just enough of HTTP/1.1 for the stand-ins: messages with a length."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import NamedTuple

MAX_HEAD_BYTES = 64 << 10


class Message(NamedTuple):
    """A request or a response; the names of ``fields`` are in lower case."""

    start: str
    fields: Mapping[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.start.split(" ")[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Path of a request with its query."""
        return self.start.split(" ")[1]


Handler = Callable[[Message], Awaitable[bytes | None]]
"""Returns the bytes of the response, or None to close without one."""


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message; raises ``ConnectionError`` if it is not whole."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, separator, value = line.partition(":")
            if separator:
                fields.setdefault(name.strip().lower(), value.strip())
        length = int(fields.get("content-length", "0"))
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
        raise ConnectionError(f"the message is not whole: {error}") from error
    return Message(lines[0], fields, body)


def encode(start: str, fields: Mapping[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message."""
    lines = [start, *(f"{name}: {value}" for name, value in fields.items())]
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def serve(
    host: str, port: int, handler: Handler, *, cancel_on_close: bool = False
) -> asyncio.Server:
    """Serve connections, one request at a time on each.

    With ``cancel_on_close`` the handler is cancelled when its connection ends.
    """

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                message = await read_message(reader)
                work = asyncio.ensure_future(handler(message))
                while cancel_on_close and not work.done():
                    await asyncio.wait([work], timeout=0.02)
                    if reader.at_eof() and not work.done():
                        work.cancel()
                data = await work
                if data is None:
                    return
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            return
        finally:
            writer.transport.abort()

    return await asyncio.start_server(run, host, port, limit=MAX_HEAD_BYTES)


class Connection:
    """A kept connection of a client."""

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def exchange(self, data: bytes, *, timeout_s: float) -> Message:
        """Send a request and return its response.

        Raises ``OSError`` or ``TimeoutError``; the connection is opened anew then.
        """
        try:
            async with asyncio.timeout(timeout_s):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(
                        *self._address, limit=MAX_HEAD_BYTES
                    )
                reader, writer = self._streams
                writer.write(data)
                response = await read_message(reader)
        except (OSError, TimeoutError):
            self.close()
            raise
        if response.fields.get("connection", "").lower() == "close":
            self.close()
        return response

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
        self._streams = None
