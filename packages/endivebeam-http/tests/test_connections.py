"""Tests of server connections and the client pool over loopback sockets."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
import anyio.abc
import anyio.lowlevel
import pytest

from endivebeam_http import (
    ClientPool,
    ConnectionLostError,
    HttpServer,
    NotSentError,
    Request,
    Response,
    plain_error_response,
)

DEADLINE_S = 20.0

Handler = Callable[[Request], Awaitable[Response]]


async def echo(request: Request) -> Response:
    return Response(status=200, body=request.target.encode() + b" " + request.body)


class Served:
    """A server on a port that the kernel chose."""

    def __init__(self, *, server: HttpServer, port: int) -> None:
        self.server = server
        self.port = port

    async def connect(self) -> anyio.abc.SocketStream:
        return await anyio.connect_tcp("127.0.0.1", self.port)

    def pool(self) -> ClientPool:
        return ClientPool(connect=self.connect, host="test")


@asynccontextmanager
async def serve(handler: Handler) -> AsyncIterator[Served]:
    server = HttpServer(handler=handler, error_response=plain_error_response)
    listener = (await anyio.create_tcp_listener(local_host="127.0.0.1")).listeners[0]
    port = int(listener.extra(anyio.abc.SocketAttribute.local_address)[1])
    with anyio.fail_after(DEADLINE_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, listener)
            yield Served(server=server, port=port)
            tasks.cancel_scope.cancel()


async def receive_until(stream: anyio.abc.SocketStream, end: bytes) -> bytes:
    data = b""
    while end not in data:
        data += await stream.receive()
    return data


@pytest.mark.anyio
class TestServerConnection:
    async def test_pipelined_requests_are_answered_in_order(self):
        """Guards against an answer that reaches the wrong request."""
        async with serve(echo) as served, await served.connect() as stream:
            requests = [b"GET /%d HTTP/1.1\r\nhost: x\r\n\r\n" % i for i in range(5)]
            await stream.send(b"".join(requests))
            data = await receive_until(stream, b"/4 ")
            positions = [data.index(b"/%d " % i) for i in range(5)]
            assert positions == sorted(positions)

    async def test_expected_continue_is_sent(self):
        """Guards against a caller that waits for leave to send its body."""
        async with serve(echo) as served, await served.connect() as stream:
            await stream.send(
                b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n"
                b"expect: 100-continue\r\n\r\n"
            )
            await receive_until(stream, b"100 Continue\r\n\r\n")
            await stream.send(b"hi")
            await receive_until(stream, b"/a hi")

    async def test_caller_that_leaves_cancels_its_request(self):
        """Guards against work that goes on for a caller who is gone."""
        started = anyio.Event()
        cancelled = anyio.Event()

        async def wait(request: Request) -> Response:
            started.set()
            try:
                await anyio.sleep_forever()
            finally:
                cancelled.set()

        async with serve(wait) as served:
            stream = await served.connect()
            await stream.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            await started.wait()
            await stream.aclose()
            await cancelled.wait()

    async def test_bytes_during_a_slow_request_are_kept(self):
        """Guards against a pipelined request lost to the watching read."""
        release = anyio.Event()

        async def answer(request: Request) -> Response:
            if request.target == "/slow":
                await release.wait()
            return await echo(request)

        async with serve(answer) as served, await served.connect() as stream:
            await stream.send(b"GET /slow HTTP/1.1\r\nhost: x\r\n\r\n")
            connection = await wait_for_watch(served.server)
            await stream.send(b"GET /next HTTP/1.1\r\nhost: x\r\n\r\n")
            await connection._watched.wait()
            release.set()
            await receive_until(stream, b"/next ")

    async def test_drain_finishes_the_request_and_closes(self):
        """Guards against a planned stop that cuts a request."""
        started = anyio.Event()
        release = anyio.Event()

        async def wait(request: Request) -> Response:
            started.set()
            await release.wait()
            return await echo(request)

        async with serve(wait) as served, await served.connect() as stream:
            await stream.send(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n")
            await started.wait()
            served.server.drain()
            release.set()
            data = await receive_until(stream, b"/a ")
            assert b"connection: close" in data
            with pytest.raises(anyio.EndOfStream):
                await stream.receive()

    async def test_announced_close_cuts_no_request_on_an_idle_connection(self):
        """Guards against a planned stop that closes while a request is sent."""
        async with serve(echo) as served:
            async with await served.connect() as stream:
                await stream.send(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n")
                await receive_until(stream, b"/a ")
                served.server.announce_close()
                for _ in range(10):
                    await anyio.lowlevel.checkpoint()
                await stream.send(b"GET /b HTTP/1.1\r\nhost: x\r\n\r\n")
                assert b"connection: close" in await receive_until(stream, b"/b ")
                with pytest.raises(anyio.EndOfStream):
                    await stream.receive()
            async with await served.connect() as stream:
                await stream.send(b"GET /c HTTP/1.1\r\nhost: x\r\n\r\n")
                assert b"connection: close" in await receive_until(stream, b"/c ")

    async def test_malformed_request_gets_an_error(self):
        """Guards against a connection that ends without a reason."""
        async with serve(echo) as served, await served.connect() as stream:
            await stream.send(b"nonsense\r\n\r\n")
            data = await receive_until(stream, b"\r\n\r\n")
            assert data.startswith(b"HTTP/1.1 400 ")


async def wait_for_watch(server: HttpServer):
    while True:
        for connection in server._connections:
            if connection._watched is not None:
                return connection
        await anyio.lowlevel.checkpoint()


@pytest.mark.anyio
class TestClientPool:
    async def test_stale_connection_is_not_reused(self):
        """Guards against a request sent into a connection that was closed."""
        async with serve(echo) as served:
            pool = served.pool()
            await pool.request(Request(method="GET", target="/a"))
            served.server.drain()
            while len(served.server):
                await anyio.lowlevel.checkpoint()
            response = await pool.request(Request(method="GET", target="/b"))
            assert response.body == b"/b "

    async def test_refused_connection_was_not_sent(self):
        """Guards against an unknown outcome where nothing was sent."""
        async with serve(echo) as served:
            port = served.port
        pool = Served(server=served.server, port=port).pool()
        with pytest.raises(NotSentError):
            await pool.request(Request(method="GET", target="/"))

    async def test_connection_that_breaks_has_an_unknown_outcome(self):
        """Guards against a truncated answer that is passed on as whole."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = int(listener.extra(anyio.abc.SocketAttribute.local_address)[1])

        async def cut(stream: anyio.abc.SocketStream) -> None:
            async with stream:
                await stream.receive()
                await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n01")

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, cut)

            async def connect() -> anyio.abc.SocketStream:
                return await anyio.connect_tcp("127.0.0.1", port)

            pool = ClientPool(connect=connect, host="test")
            with pytest.raises(ConnectionLostError):
                await pool.request(Request(method="GET", target="/"))
            tasks.cancel_scope.cancel()
