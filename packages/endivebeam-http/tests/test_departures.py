"""Callers that leave while their requests are handled."""

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
from endivebeam_http import _pipeline as pipeline

pytestmark = pytest.mark.anyio
DEADLINE_S = 20.0


class Work:
    """Handlers that never end by themselves."""

    def __init__(self) -> None:
        self.running = 0
        self._changed = anyio.Event()

    async def handle(self, request: Exchange | Request) -> Response:
        self._change(1)
        try:
            await anyio.sleep_forever()
        finally:
            self._change(-1)
        raise AssertionError

    async def wait_for(self, running: int) -> None:
        while self.running != running:
            await self._changed.wait()

    def _change(self, by: int) -> None:
        self.running += by
        self._changed.set()
        self._changed = anyio.Event()


@asynccontextmanager
async def serve(server: PipelinedServer | HttpServer) -> AsyncIterator[int]:
    """Run a server; yields its port."""
    listener = await listen_tcp("127.0.0.1", 0)
    with anyio.fail_after(DEADLINE_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, listener)
            yield listener.port
            tasks.cancel_scope.cancel()


def encode(target: str) -> bytes:
    return f"GET {target} HTTP/1.1\r\nhost: a\r\n\r\n".encode()


class TestPipelinedServer:
    @pytest.mark.parametrize("behind", [0, 1, 400])
    async def test_work_ends_when_a_caller_with_many_open_requests_leaves(
        self, behind: int, monkeypatch: pytest.MonkeyPatch
    ):
        # A connection with too many open requests was not read, nor its end seen.
        monkeypatch.setattr(pipeline, "MAX_OPEN_EXCHANGES", 4)
        work = Work()
        server = PipelinedServer(
            handler=work.handle,
            error_response=plain_error_response,
            limits=ServerLimits(),
        )
        async with serve(server) as port:
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                for number in range(4 + behind):
                    await stream.send(encode(f"/{number}"))
                await work.wait_for(4)
            await work.wait_for(0)


class TestHttpServer:
    async def test_work_ends_when_a_caller_that_sent_a_second_request_leaves(self):
        # The first bytes behind a request were the last that were read.
        work = Work()
        server = HttpServer(handler=work.handle, error_response=plain_error_response)
        async with serve(server) as port:
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await stream.send(encode("/first"))
                await work.wait_for(1)
                await stream.send(encode("/second"))
            await work.wait_for(0)
