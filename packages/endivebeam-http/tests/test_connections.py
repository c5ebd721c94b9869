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

TEST_TIMEOUT_S = 20.0

Handler = Callable[[Request], Awaitable[Response]]


async def echo(request: Request) -> Response:
    return Response(status=200, body=request.target.encode() + b" " + request.body)


class RunningServer:
    """A running server and its port, chosen by the kernel."""

    def __init__(self, *, server: HttpServer, port: int) -> None:
        self.server = server
        self.port = port

    async def connect(self) -> anyio.abc.SocketStream:
        return await anyio.connect_tcp("127.0.0.1", self.port)

    def pool(self) -> ClientPool:
        return ClientPool(connect=self.connect, host="test")


@asynccontextmanager
async def serve(handler: Handler) -> AsyncIterator[RunningServer]:
    server = HttpServer(handler=handler, error_response=plain_error_response)
    listener = (await anyio.create_tcp_listener(local_host="127.0.0.1")).listeners[0]
    port = int(listener.extra(anyio.abc.SocketAttribute.local_address)[1])
    with anyio.fail_after(TEST_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, listener)
            yield RunningServer(server=server, port=port)
            tasks.cancel_scope.cancel()


async def receive_until(stream: anyio.abc.SocketStream, end: bytes) -> bytes:
    data = b""
    while end not in data:
        data += await stream.receive()
    return data


@pytest.mark.anyio
class TestServerConnection:
    async def test_pipelined_responses_are_sent_in_request_order(self):
        """Guards against a response that is matched to the wrong request."""
        async with serve(echo) as running, await running.connect() as stream:
            requests = [b"GET /%d HTTP/1.1\r\nhost: x\r\n\r\n" % i for i in range(5)]
            await stream.send(b"".join(requests))
            data = await receive_until(stream, b"/4 ")
            positions = [data.index(b"/%d " % i) for i in range(5)]
            assert positions == sorted(positions)

    async def test_expect_continue_gets_an_interim_response(self):
        """Guards against a caller that waits for ``100 Continue`` forever."""
        async with serve(echo) as running, await running.connect() as stream:
            await stream.send(
                b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n"
                b"expect: 100-continue\r\n\r\n"
            )
            await receive_until(stream, b"100 Continue\r\n\r\n")
            await stream.send(b"hi")
            await receive_until(stream, b"/a hi")

    async def test_disconnect_cancels_the_request(self):
        """Guards against a handler that continues after its caller disconnected."""
        started = anyio.Event()
        cancelled = anyio.Event()

        async def wait(request: Request) -> Response:
            started.set()
            try:
                await anyio.sleep_forever()
            finally:
                cancelled.set()

        async with serve(wait) as running:
            stream = await running.connect()
            await stream.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            await started.wait()
            await stream.aclose()
            await cancelled.wait()

    async def test_bytes_received_during_a_slow_request_are_processed(self):
        """Guards against a pipelined request that the background read drops."""
        release = anyio.Event()

        async def handle(request: Request) -> Response:
            if request.target == "/slow":
                await release.wait()
            return await echo(request)

        async with serve(handle) as running, await running.connect() as stream:
            await stream.send(b"GET /slow HTTP/1.1\r\nhost: x\r\n\r\n")
            connection = await wait_for_disconnect_watch(running.server)
            await stream.send(b"GET /next HTTP/1.1\r\nhost: x\r\n\r\n")
            await connection._watch_event.wait()
            release.set()
            await receive_until(stream, b"/next ")

    async def test_drain_closes_after_the_current_request(self):
        """Guards against a planned stop that aborts a request."""
        started = anyio.Event()
        release = anyio.Event()

        async def wait(request: Request) -> Response:
            started.set()
            await release.wait()
            return await echo(request)

        async with serve(wait) as running, await running.connect() as stream:
            await stream.send(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n")
            await started.wait()
            running.server.drain()
            release.set()
            data = await receive_until(stream, b"/a ")
            assert b"connection: close" in data
            with pytest.raises(anyio.EndOfStream):
                await stream.receive()

    async def test_connection_after_the_end_of_the_intake_is_closed_unread(self):
        """Guards against requests that a server accepts although it is about to end."""
        handled: list[str] = []

        async def record(request: Request) -> Response:
            handled.append(request.target)
            return await echo(request)

        async with serve(record) as running:
            running.server.end_intake()
            async with await running.connect() as stream:
                await stream.send(b"GET /late HTTP/1.1\r\nhost: a\r\n\r\n")
                with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                    await stream.receive()
        assert handled == []

    async def test_announced_close_keeps_an_idle_connection_open(self):
        """Guards against a planned stop that closes while a caller sends a request."""
        async with serve(echo) as running:
            async with await running.connect() as stream:
                await stream.send(b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n")
                await receive_until(stream, b"/a ")
                running.server.announce_close()
                for _ in range(10):
                    await anyio.lowlevel.checkpoint()
                await stream.send(b"GET /b HTTP/1.1\r\nhost: x\r\n\r\n")
                assert b"connection: close" in await receive_until(stream, b"/b ")
                with pytest.raises(anyio.EndOfStream):
                    await stream.receive()
            async with await running.connect() as stream:
                await stream.send(b"GET /c HTTP/1.1\r\nhost: x\r\n\r\n")
                assert b"connection: close" in await receive_until(stream, b"/c ")

    async def test_malformed_request_gets_an_error_response(self):
        """Guards against a connection that is closed without an error response."""
        async with serve(echo) as running, await running.connect() as stream:
            await stream.send(b"nonsense\r\n\r\n")
            data = await receive_until(stream, b"\r\n\r\n")
            assert data.startswith(b"HTTP/1.1 400 ")


async def wait_for_disconnect_watch(server: HttpServer):
    while True:
        for connection in server._connections:
            if connection._watch_event is not None:
                return connection
        await anyio.lowlevel.checkpoint()


@pytest.mark.anyio
class TestClientPool:
    async def test_stale_connection_is_not_reused(self):
        """Guards against a request sent on a connection that the server closed."""
        async with serve(echo) as running:
            pool = running.pool()
            await pool.request(Request(method="GET", target="/a"))
            running.server.drain()
            while len(running.server):
                await anyio.lowlevel.checkpoint()
            response = await pool.request(Request(method="GET", target="/b"))
            assert response.body == b"/b "

    async def test_refused_connection_raises_not_sent(self):
        """Guards against an unknown outcome although nothing was sent."""
        async with serve(echo) as running:
            port = running.port
        pool = RunningServer(server=running.server, port=port).pool()
        with pytest.raises(NotSentError):
            await pool.request(Request(method="GET", target="/"))

    async def test_truncated_response_raises_connection_lost(self):
        """Guards against a truncated response that is returned as complete."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = int(listener.extra(anyio.abc.SocketAttribute.local_address)[1])

        async def send_truncated(stream: anyio.abc.SocketStream) -> None:
            async with stream:
                await stream.receive()
                await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n01")

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, send_truncated)

            async def connect() -> anyio.abc.SocketStream:
                return await anyio.connect_tcp("127.0.0.1", port)

            pool = ClientPool(connect=connect, host="test")
            with pytest.raises(ConnectionLostError):
                await pool.request(Request(method="GET", target="/"))
            tasks.cancel_scope.cancel()
