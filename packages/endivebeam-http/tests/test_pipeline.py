"""Tests of pipelined connections of callers over real sockets."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import anyio.abc
import pytest

from endivebeam_http import (
    Exchange,
    ExchangeHandler,
    LossDetection,
    PipelinedServer,
    Response,
    ResponseQueue,
    ServerLimits,
    connect_stream,
    listen_tcp,
    plain_error_response,
)
from endivebeam_http import _exchanges as exchanges
from endivebeam_http import _loss_detection as loss_detection
from endivebeam_http import _pipeline as pipeline
from endivebeam_http import _pipelined_connection as pipelined_connection

pytestmark = pytest.mark.anyio
TEST_TIMEOUT_S = 20.0


class RunningServer:
    """A running server and its port, chosen by the kernel."""

    def __init__(self, server: PipelinedServer, port: int) -> None:
        self.server = server
        self.port = port

    async def connect(self) -> anyio.abc.SocketStream:
        return await anyio.connect_tcp("127.0.0.1", self.port)


@asynccontextmanager
async def serve(
    handler: ExchangeHandler, limits: ServerLimits | None = None
) -> AsyncIterator[RunningServer]:
    server = PipelinedServer(
        handler=handler,
        error_response=plain_error_response,
        limits=limits or ServerLimits(),
    )
    listener = await listen_tcp(
        "127.0.0.1", 0, loss_detection=LossDetection.UNANSWERED_PROBES
    )
    with anyio.fail_after(TEST_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, listener)
            yield RunningServer(server, listener.port)
            tasks.cancel_scope.cancel()


async def echo(exchange: Exchange) -> Response:
    request = exchange.request
    return Response(status=200, body=request.target.encode() + b" " + request.body)


async def receive(stream: anyio.abc.SocketStream, count: int) -> list[Response]:
    queue = ResponseQueue()
    parsed: list[Response] = []
    while len(parsed) < count:
        response = queue.pop()
        if response is None:
            queue.feed(await stream.receive())
        else:
            parsed.append(response)
    return parsed


def encode(target: str, body: bytes = b"", extra: str = "") -> bytes:
    head = f"POST {target} HTTP/1.1\r\nhost: a\r\n{extra}content-length: {len(body)}"
    return head.encode() + b"\r\n\r\n" + body


class TestResponseOrder:
    async def test_responses_are_sent_in_request_order(self):
        release = anyio.Event()

        async def handle(exchange: Exchange) -> Response:
            if exchange.request.target == "/slow":
                await release.wait()
            else:
                release.set()
            return await echo(exchange)

        async with serve(handle) as running, await running.connect() as stream:
            await stream.send(encode("/slow") + encode("/fast"))
            slow, fast = await receive(stream, 2)
            assert (slow.body, fast.body) == (b"/slow ", b"/fast ")

    async def test_request_received_byte_by_byte_is_handled_once(self):
        async with serve(echo) as running, await running.connect() as stream:
            for byte in encode("/a", b"body"):
                await stream.send(bytes([byte]))
            (response,) = await receive(stream, 1)
            assert response.body == b"/a body"

    async def test_continue_is_not_sent_before_earlier_responses(self):
        # The caller would match it to the previous request.
        release = anyio.Event()

        async def handle(exchange: Exchange) -> Response:
            if exchange.request.target == "/first":
                await release.wait()
            return await echo(exchange)

        async with serve(handle) as running, await running.connect() as stream:
            head = encode("/second", b"hi", "expect: 100-continue\r\n")[:-2]
            await stream.send(encode("/first") + head)
            release.set()
            data = b""
            while b"100 Continue\r\n\r\n" not in data:
                data += await stream.receive()
            assert data.startswith(b"HTTP/1.1 200 ")
            assert data.endswith(b"100 Continue\r\n\r\n")

    async def test_requests_above_the_limit_are_handled_later(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        monkeypatch.setattr(exchanges, "MAX_OPEN_EXCHANGES", 2)
        async with serve(echo) as running, await running.connect() as stream:
            await stream.send(b"".join(encode(f"/{n}") for n in range(9)))
            responses = await receive(stream, 9)
            assert [r.body for r in responses] == [b"/%d " % n for n in range(9)]


class TestErrors:
    async def test_malformed_request_is_rejected_after_earlier_responses(self):
        async with serve(echo) as running, await running.connect() as stream:
            await stream.send(encode("/a") + b"nonsense\r\n\r\n")
            good, bad = await receive(stream, 2)
            assert (good.status, bad.status) == (200, 400)
            with pytest.raises(anyio.EndOfStream):
                await stream.receive()

    async def test_rejection_of_a_large_body_reaches_a_caller_that_still_sends(self):
        # Closing with unread bytes resets the connection and loses the response.
        limits = ServerLimits(max_body_bytes=1000)
        async with serve(echo, limits) as running, await running.connect() as stream:
            await stream.send(encode("/a", bytes(4 << 20))[: 1 << 20])
            (response,) = await receive(stream, 1)
            assert response.status == 413

    async def test_failed_handler_affects_only_its_request(self):
        async def fail(exchange: Exchange) -> Response:
            if exchange.request.target == "/bad":
                raise ValueError
            return await echo(exchange)

        async with serve(fail) as running, await running.connect() as stream:
            await stream.send(encode("/bad") + encode("/good"))
            bad, good = await receive(stream, 2)
            assert (bad.status, good.status) == (502, 200)


class PausingCaller:
    """A caller with a small receive window, which reads only when told to."""

    def __init__(self, port: int) -> None:
        self.raw = socket.socket()
        self.raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
        self.raw.connect(("127.0.0.1", port))

    async def read(self, size: int) -> bytes:
        """Return the next bytes, fewer than ``size`` at the end of the connection."""
        self.raw.setblocking(False)
        loop = asyncio.get_running_loop()
        received = b""
        while len(received) < size:
            try:
                part = await loop.sock_recv(self.raw, size - len(received))
            except ConnectionResetError:
                break
            if not part:
                break
            received += part
        return received


class TestSlowReaders:
    async def test_caller_that_pauses_gets_its_responses(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against a pause of a living caller that is taken for its loss."""
        monkeypatch.setattr(loss_detection, "TCP_USER_TIMEOUT_MS", 300)
        body = bytes(36_000)

        async def handle(exchange: Exchange) -> Response:
            return Response(status=200, body=body)

        async with serve(handle) as running:
            caller = PausingCaller(running.port)
            caller.raw.sendall(encode("/a") + encode("/b"))
            await anyio.sleep(4 * 0.3)
            received = await caller.read(2 * len(body))
            caller.raw.close()
        assert len(received) == 2 * len(body)

    async def test_responses_are_sent_as_the_caller_reads(self):
        body = bytes(8 << 20)

        async def handle(exchange: Exchange) -> Response:
            return Response(status=200, body=body)

        async with serve(handle) as running:
            raw = socket.create_connection(("127.0.0.1", running.port))
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 256 << 10)
            raw.sendall(encode("/a") + encode("/b"))
            received = 0
            raw.setblocking(False)
            while received < 2 * len(body):
                await anyio.wait_readable(raw)
                received += len(raw.recv(1 << 20))
            raw.close()

    async def test_slow_caller_is_not_cut_off_while_it_reads(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against a limit on the time of a response in place of a standstill."""
        monkeypatch.setattr(pipelined_connection, "SEND_TIMEOUT_S", 0.5)
        monkeypatch.setattr(pipeline, "SWEEP_PERIOD_S", 0.02)
        body = bytes(24 << 20)

        async def handle(exchange: Exchange) -> Response:
            return Response(status=200, body=body)

        async with serve(handle) as running:
            caller = PausingCaller(running.port)
            caller.raw.sendall(encode("/a"))
            received = 0
            for _ in range(12):
                await anyio.sleep(0.1)
                received += len(await caller.read(2 << 20))
            caller.raw.close()
        assert received == len(body)

    async def test_caller_that_takes_nothing_is_cut_off_also_after_the_last_response(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against responses that are held for ever for callers that are gone."""
        monkeypatch.setattr(pipelined_connection, "SEND_TIMEOUT_S", 0.2)
        monkeypatch.setattr(pipelined_connection, "LINGER_TIMEOUT_S", 0.1)
        monkeypatch.setattr(pipeline, "SWEEP_PERIOD_S", 0.02)
        body = bytes(12 << 20)

        async def handle(exchange: Exchange) -> Response:
            return Response(status=200, body=body)

        async with serve(handle) as running:
            keeping, closing = (PausingCaller(running.port) for _ in range(2))
            keeping.raw.sendall(encode("/a"))
            closing.raw.sendall(encode("/a", extra="connection: close\r\n"))
            while running.server.held_bytes < 16 << 20:
                await anyio.lowlevel.checkpoint()
            while len(running.server):
                await anyio.lowlevel.checkpoint()
            for caller in (keeping, closing):
                assert len(await caller.read(len(body))) < len(body)

    async def test_callers_that_never_read_are_dropped_and_others_served(self):
        """Guards against a node that runs out of memory for callers that never read."""
        limit = 8 << 20
        most = 0

        async def handle(exchange: Exchange) -> Response:
            nonlocal most
            most = max(most, running.server.held_bytes)
            return Response(status=200, body=bytes(1 << 20))

        async with serve(handle, ServerLimits(max_held_bytes=limit)) as running:
            callers = []
            for number in range(30):
                callers.append(PausingCaller(running.port))
                callers[-1].raw.sendall(encode("/a") * 8)
                stream = await running.connect()
                await stream.send(encode(f"/{number}"))
                (response,) = await receive(stream, 1)
                assert len(response.body) == 1 << 20
                await stream.aclose()
            assert most <= limit * (1 + pipeline.HELD_CHECK_FRACTION) + (1 << 20)
            assert len(running.server) < 30
            for caller in callers:
                caller.raw.close()


class TestEnd:
    async def test_no_connection_is_accepted_while_handlers_end(self):
        """Guards against a request that is accepted after the last one was cut."""
        started, release = anyio.Event(), anyio.Event()

        async def end_slowly(exchange: Exchange) -> Response:
            started.set()
            try:
                await anyio.sleep_forever()
            finally:
                with anyio.CancelScope(shield=True):
                    await release.wait()
            return Response(status=200)

        server = PipelinedServer(
            handler=end_slowly,
            error_response=plain_error_response,
            limits=ServerLimits(),
        )
        listener = await listen_tcp("127.0.0.1", 0)
        port = listener.port
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                scope = anyio.CancelScope()

                async def run() -> None:
                    with scope:
                        await server.serve(listener)

                tasks.start_soon(run)
                stream = await anyio.connect_tcp("127.0.0.1", port)
                await stream.send(encode("/slow"))
                await started.wait()
                scope.cancel()
                with pytest.raises(anyio.EndOfStream):
                    await stream.receive()
                with pytest.raises(ConnectionRefusedError):
                    await connect_stream("127.0.0.1", port)
                release.set()
            await stream.aclose()

    async def test_listener_accepts_nothing_once_its_handlers_have_ended(self):
        """Guards against a connection that nobody handles and that stays open."""
        listener = await listen_tcp("127.0.0.1", 0)
        port = listener.port
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, anyio.abc.ByteStream.aclose)
            await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()
        with pytest.raises(ConnectionRefusedError):
            await connect_stream("127.0.0.1", port)
        await listener.aclose()


class TestEndOfIntake:
    async def test_open_requests_are_answered_and_later_ones_not_handled(self):
        """Guards against requests that a server accepts although it is about to end."""
        handled: list[str] = []
        release = anyio.Event()

        async def answer_later(exchange: Exchange) -> Response:
            handled.append(exchange.request.target)
            await release.wait()
            return await echo(exchange)

        async with serve(answer_later) as running:
            busy, idle, partial = [await running.connect() for _ in range(3)]
            await busy.send(encode("/open"))
            await partial.send(encode("/partial", body=b"abc")[:-1])
            while not handled or running.server.busy_connections < 2:
                await anyio.lowlevel.checkpoint()
            running.server.end_intake()
            with pytest.raises(ConnectionRefusedError):
                await connect_stream("127.0.0.1", running.port)
            await busy.send(encode("/later"))
            for stream in (idle, partial):
                with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                    await stream.receive()
            release.set()
            (response,) = await receive(busy, 1)
            assert response.body == b"/open "
            assert response.get(b"connection") == b"close"
            assert handled == ["/open"]

    async def test_connection_that_waits_in_the_backlog_is_not_handled(self):
        """Guards against a request on a connection that is accepted at the last moment.

        The kernel accepts connections that the event loop has not seen yet.
        """
        handled: list[str] = []

        async def record(exchange: Exchange) -> Response:
            handled.append(exchange.request.target)
            return await echo(exchange)

        async with serve(record) as running:
            await anyio.wait_all_tasks_blocked()
            with socket.create_connection(("127.0.0.1", running.port)) as late:
                late.sendall(encode("/late"))
                running.server.end_intake()
                late.setblocking(False)
                loop = asyncio.get_running_loop()
                try:
                    received = await loop.sock_recv(late, 4096)
                except ConnectionResetError:
                    received = b""
            assert received == b""
            assert handled == []

    async def test_server_is_busy_until_the_last_byte_of_a_response_is_sent(self):
        """Guards against the end of a response that a planned stop cuts off."""
        body = bytes(12 << 20)

        async def handle(exchange: Exchange) -> Response:
            return Response(status=200, body=body)

        async with serve(handle) as running:
            callers = [PausingCaller(running.port) for _ in range(2)]
            for caller in callers:
                caller.raw.sendall(encode("/a"))
            while running.server.held_bytes < len(body):
                await anyio.lowlevel.checkpoint()
            assert running.server.busy_connections == 2
            running.server.end_intake()
            assert running.server.busy_connections == 2
            for caller in callers:
                # The header comes on top.
                assert len(await caller.read(len(body) + 1)) > len(body)
            while running.server.busy_connections:
                await anyio.lowlevel.checkpoint()
