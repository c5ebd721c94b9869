"""A server whose callers send much at once."""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import anyio.abc
import pytest

from endivebeam_http import (
    Exchange,
    PipelinedServer,
    Response,
    ResponseQueue,
    ServerLimits,
    listen_tcp,
    plain_error_response,
)
from endivebeam_http import _pipelined_connection as pipelined_connection

pytestmark = pytest.mark.anyio
TEST_TIMEOUT_S = 20.0
TINY_CHUNK = b"1\r\na\r\n"
CHUNKED = b"POST /slow HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"


class CrowdedServer:
    """A server, and the requests that its handler got."""

    def __init__(self, limits: ServerLimits) -> None:
        self.handled: list[str] = []
        self.release = anyio.Event()
        self.server = PipelinedServer(
            handler=self.handle,
            error_response=plain_error_response,
            limits=limits,
        )
        self.port = 0

    async def handle(self, exchange: Exchange) -> Response:
        self.handled.append(exchange.request.target)
        if exchange.request.target == "/wait":
            await self.release.wait()
        return Response(status=200, body=b"whole")

    async def connect(self) -> anyio.abc.SocketStream:
        return await anyio.connect_tcp("127.0.0.1", self.port)

    async def call(self, target: str = "/a", body: bytes = b"") -> Response:
        async with await self.connect() as stream:
            await stream.send(encode(target, body))
            return await receive(stream)


@asynccontextmanager
async def serve(limits: ServerLimits | None = None) -> AsyncIterator[CrowdedServer]:
    crowded = CrowdedServer(limits or ServerLimits())
    listener = await listen_tcp("127.0.0.1", 0)
    crowded.port = listener.port
    with anyio.fail_after(TEST_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(crowded.server.serve, listener)
            yield crowded
            tasks.cancel_scope.cancel()


def encode(target: str, body: bytes = b"") -> bytes:
    head = f"POST {target} HTTP/1.1\r\nhost: a\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def receive(stream: anyio.abc.SocketStream) -> Response:
    queue = ResponseQueue()
    while (response := queue.pop()) is None:
        queue.feed(await stream.receive())
    return response


class TestTurns:
    async def test_long_work_for_one_caller_does_not_delay_others(self):
        """Guards against chunks of one byte that keep the loop from all others."""
        async with serve() as crowded, await crowded.connect() as slow:
            await slow.send(CHUNKED + TINY_CHUNK * 40_000 + b"0\r\n\r\n")
            while not crowded.server.busy_connections:
                await anyio.lowlevel.checkpoint()
            await crowded.call("/quick")
            while len(crowded.handled) < 2:
                await anyio.lowlevel.checkpoint()
            assert crowded.handled == ["/quick", "/slow"]

    async def test_bytes_after_a_refusal_are_not_read_for_ever(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against callers that send on after 413 and take the loop with it."""
        limit = 64 << 10
        monkeypatch.setattr(pipelined_connection, "MAX_DISCARDED_BYTES", limit)
        monkeypatch.setattr(pipelined_connection, "LINGER_TIMEOUT_S", 60.0)
        limits = ServerLimits(max_body_bytes=1000)
        async with serve(limits) as crowded:
            raw = socket.create_connection(("127.0.0.1", crowded.port))
            raw.setblocking(False)
            raw.send(encode("/a", bytes(2000)))
            part, blocked = bytes(256 << 10), 0
            while blocked < 100:
                try:
                    raw.send(part)
                except BlockingIOError:
                    blocked += 1
                    await anyio.sleep(0.002)
            (connection,) = crowded.server._connections
            assert limit < connection._discarded_bytes < limit + (1 << 20)
            raw.close()
