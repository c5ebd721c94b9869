"""Tests of callers that disconnect while their requests are handled."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from endivebeam_http import (
    Exchange,
    HttpServer,
    PipelinedServer,
    Request,
    Response,
    ServerLimits,
    listen_tcp,
    plain_error_response,
)
from endivebeam_http import _exchanges as exchanges

pytestmark = pytest.mark.anyio
TEST_TIMEOUT_S = 20.0


class BlockingHandler:
    """A handler that blocks until cancelled; counts its active calls."""

    def __init__(self) -> None:
        self.active_count = 0
        self._changed = anyio.Event()

    async def handle(self, request: Exchange | Request) -> Response:
        self._add_active(1)
        try:
            await anyio.sleep_forever()
        finally:
            self._add_active(-1)
        raise AssertionError

    async def wait_for(self, active_count: int) -> None:
        while self.active_count != active_count:
            await self._changed.wait()

    def _add_active(self, difference: int) -> None:
        self.active_count += difference
        self._changed.set()
        self._changed = anyio.Event()


@asynccontextmanager
async def serve(server: PipelinedServer | HttpServer) -> AsyncIterator[int]:
    """Run a server and yield its port."""
    listener = await listen_tcp("127.0.0.1", 0)
    with anyio.fail_after(TEST_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, listener)
            yield listener.port
            tasks.cancel_scope.cancel()


def encode(target: str) -> bytes:
    return f"GET {target} HTTP/1.1\r\nhost: a\r\n\r\n".encode()


class TestPipelinedServer:
    @pytest.mark.parametrize("queued", [0, 1, 400])
    async def test_disconnect_with_many_open_requests_cancels_handlers(
        self, queued: int, monkeypatch: pytest.MonkeyPatch
    ):
        # A connection with too many open requests was not read, so that its end was
        # not detected.
        monkeypatch.setattr(exchanges, "MAX_OPEN_EXCHANGES", 4)
        blocking = BlockingHandler()
        server = PipelinedServer(
            handler=blocking.handle,
            error_response=plain_error_response,
            limits=ServerLimits(),
        )
        async with serve(server) as port:
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                for number in range(4 + queued):
                    await stream.send(encode(f"/{number}"))
                await blocking.wait_for(4)
            await blocking.wait_for(0)


class TestHttpServer:
    async def test_disconnect_after_a_pipelined_request_cancels_the_handler(self):
        # Reading stopped after the first bytes that followed a request, so that the
        # end of the connection was not detected.
        blocking = BlockingHandler()
        server = HttpServer(
            handler=blocking.handle, error_response=plain_error_response
        )
        async with serve(server) as port:
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await stream.send(encode("/first"))
                await blocking.wait_for(1)
                await stream.send(encode("/second"))
            await blocking.wait_for(0)
