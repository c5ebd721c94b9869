"""Tests of exchanges with targets that violate HTTP, over real sockets."""

import socket
import struct
from collections.abc import Iterator

import anyio
import anyio.to_thread
import pytest

from endivebeam_http import (
    ConnectionLostError,
    HttpError,
    MemoryBudget,
    MismatchedResponseError,
    NotSentError,
    Response,
    TargetPool,
    TcpStream,
    connect_stream,
    listen_tcp,
)
from endivebeam_http import _loss_detection as loss_detection

pytestmark = pytest.mark.anyio
# More than the kernel buffers for one connection.
UNSENT_BYTES = 32 << 20
REQUEST = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n"


@pytest.fixture(params=["asyncio", "uvloop"])
def anyio_backend(request: pytest.FixtureRequest) -> tuple[str, dict[str, bool]]:
    """Run each test on both loops, which report closed connections differently."""
    return "asyncio", {"use_uvloop": request.param == "uvloop"}


class Target:
    """A target's listening socket, controlled by the test."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(5)
        port = self.listener.getsockname()[1]
        self.pool = TargetPool(connect=lambda: connect_stream("127.0.0.1", port))
        self.peers: list[socket.socket] = []

    def accept(self) -> socket.socket:
        peer, _ = self.listener.accept()
        peer.settimeout(5)
        self.peers.append(peer)
        return peer


@pytest.fixture
def target() -> Iterator[Target]:
    target = Target()
    yield target
    for peer in [target.listener, *target.peers]:
        peer.close()


class TestAbort:
    async def test_does_nothing_after_the_connection_has_ended(self, target: Target):
        """Guards against an error of one connection that ends the tasks of all."""
        port = target.listener.getsockname()[1]
        stream = await connect_stream("127.0.0.1", port)
        peer = target.accept()
        stream.send_now(bytes(UNSENT_BYTES))
        assert stream.unsent_bytes > 0
        stream.close()
        with anyio.fail_after(5):
            while await anyio.to_thread.run_sync(peer.recv, UNSENT_BYTES):
                pass
            await stream.drain()
        stream.abort()


def make_response(
    call_id: str = "mine", body: bytes = b"whole", extra: str = ""
) -> bytes:
    head = f"HTTP/1.1 200 OK\r\nx-id: {call_id}\r\n{extra}content-length: {len(body)}"
    return head.encode() + b"\r\n\r\n" + body


def is_matching(response: Response) -> bool:
    return response.get(b"x-id") == b"mine"


def reset(peer: socket.socket) -> None:
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()


async def exchange(target: Target, response_bytes: bytes, *, end: str = "") -> Response:
    """Run one exchange; the target's bytes and the end arrive together."""
    connection = await target.pool.acquire(at_most_once=False)
    peer = target.peers[-1] if target.peers else target.accept()

    async def respond() -> None:
        # These calls block the event loop, so it sees their effects in one iteration.
        peer.recv(65536)
        peer.sendall(response_bytes)
        if end == "reset":
            reset(peer)
        elif end == "close":
            peer.close()

    with anyio.fail_after(5):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(respond)
            try:
                response = await connection.exchange(
                    REQUEST, head_only=False, matches=is_matching, timeout_s=5
                )
            except (ConnectionLostError, HttpError, MismatchedResponseError) as error:
                failure: Exception | None = error
            else:
                failure = None
    if failure is not None:
        raise failure
    target.pool.release(connection)
    return response


RESPONSE_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\nbytes until the end"


class TestEndOfResponse:
    async def test_response_without_length_ends_with_the_connection(
        self, target: Target
    ):
        response = await exchange(target, RESPONSE_WITHOUT_LENGTH, end="close")
        assert response.body == b"bytes until the end"

    async def test_response_without_length_is_truncated_by_a_reset(
        self, target: Target
    ):
        # If a target resets the connection together with the last bytes, the event
        # loop may report a regular end. Callers then received truncated responses as
        # complete.
        with pytest.raises(ConnectionLostError):
            await exchange(target, RESPONSE_WITHOUT_LENGTH, end="reset")

    @pytest.mark.parametrize("end", ["close", "reset"])
    async def test_response_shorter_than_its_length_is_an_error(
        self, target: Target, end: str
    ):
        with pytest.raises(ConnectionLostError):
            await exchange(target, make_response()[:-1], end=end)


class TestMismatchedResponses:
    async def test_late_response_to_another_request_is_skipped(self, target: Target):
        response_bytes = make_response("other", b"not yours") + make_response()
        assert (await exchange(target, response_bytes)).body == b"whole"

    async def test_only_responses_to_other_requests_are_an_error(self, target: Target):
        with pytest.raises(MismatchedResponseError):
            await exchange(target, make_response("other") * 3)

    async def test_malformed_response_is_an_error(self, target: Target):
        with pytest.raises(HttpError):
            await exchange(target, b"\x00 these bytes are no answer\r\n\r\n")

    async def test_connection_with_a_second_response_is_not_reused(
        self, target: Target
    ):
        response_bytes = make_response() + make_response("mine", b"second")
        assert (await exchange(target, response_bytes)).body == b"whole"
        await target.pool.acquire(at_most_once=False)
        target.accept()

    async def test_connection_with_bytes_while_idle_is_not_reused(self, target: Target):
        await exchange(target, make_response())
        target.peers[0].sendall(b"garbage")
        with anyio.fail_after(5):
            connection = await target.pool.acquire(at_most_once=False)
            while not connection.is_new:
                target.pool.release(connection)
                await anyio.lowlevel.checkpoint()
                connection = await target.pool.acquire(at_most_once=False)


class TestTimeout:
    async def test_timeout_closes_the_connection(self, target: Target):
        connection = await target.pool.acquire(at_most_once=False)
        target.accept()
        with pytest.raises(TimeoutError):
            await connection.exchange(
                REQUEST, head_only=False, matches=is_matching, timeout_s=0.02
            )
        assert connection.closed

    async def test_timeout_does_not_outlive_its_exchange(self, target: Target):
        await exchange(target, make_response())
        await exchange(target, make_response())
        assert len(target.peers) == 1


class TestConnectionReuse:
    async def test_connection_is_reused_within_its_keep_alive_time(
        self, target: Target
    ):
        first = await target.pool.acquire(at_most_once=False)
        target.pool.release(first)
        assert await target.pool.acquire(at_most_once=False) is first

    async def test_connection_is_not_reused_after_its_keep_alive_time(
        self, target: Target
    ):
        await exchange(target, make_response(extra="keep-alive: timeout=0\r\n"))
        await target.pool.acquire(at_most_once=False)
        target.accept()
        assert len(target.peers) == 2

    async def test_refused_connection_raises_not_sent(self):
        pool = TargetPool(connect=lambda: connect_stream("127.0.0.1", 1))
        with pytest.raises(NotSentError):
            await pool.acquire(at_most_once=True)


class TestMalformedAddresses:
    @pytest.mark.parametrize(
        ("host", "port"),
        [("127.0.0.1", 99999), ("127.0.0.1", -1), ("a..b", 80), ("a\0b", 80)],
    )
    async def test_connection_is_not_sent(self, host: str, port: int):
        """Guards against an announcement whose calls fail as if they had run."""
        pool = TargetPool(connect=lambda: connect_stream(host, port))
        with pytest.raises(NotSentError):
            await pool.acquire(at_most_once=True, timeout_s=5.0)


class TestLargeBodies:
    async def test_target_that_pauses_while_it_reads_gets_the_body(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against a slow reader that is taken for a target that is gone."""
        monkeypatch.setattr(loss_detection, "TCP_USER_TIMEOUT_MS", 300)
        listener = socket.socket()
        # Accepted connections inherit the size of the window.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        port = listener.getsockname()[1]
        pool = TargetPool(connect=lambda: connect_stream("127.0.0.1", port))
        connection = await pool.acquire(at_most_once=False)
        peer, _ = listener.accept()
        peer.settimeout(5)
        body = bytes(200_000)
        head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % len(body)

        def read_and_respond() -> None:
            received = 0
            while received < len(head) + len(body):
                received += len(peer.recv(1 << 16))
            peer.sendall(make_response())

        async def pause_and_read() -> None:
            await anyio.sleep(4 * 0.3)
            await anyio.to_thread.run_sync(read_and_respond)

        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(pause_and_read)
                response = await connection.exchange(
                    head + body, head_only=False, matches=is_matching, timeout_s=5
                )
        assert response.body == b"whole"
        # Short requests are lost sooner on connections that have fallen silent.
        raw = connection._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        assert raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 0
        peer.sendall(make_response())
        await connection.exchange(
            REQUEST, head_only=False, matches=is_matching, timeout_s=5
        )
        assert raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 300
        for used in (listener, peer):
            used.close()

    async def test_response_may_arrive_before_the_body_is_sent(self, target: Target):
        connection = await target.pool.acquire(at_most_once=False)
        peer = target.accept()
        peer.sendall(make_response())
        body = bytes(8 << 20)
        head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % len(body)
        with anyio.fail_after(5):
            response = await connection.exchange(
                head + body, head_only=False, matches=is_matching, timeout_s=5
            )
        assert response.body == b"whole"
        # The rest of the body is unsent, so the connection cannot be reused.
        assert connection.closed


class TestMemory:
    async def test_answer_without_room_is_dropped_at_once(self):
        """Guards against parts of many answers that stay until each exchange ends."""
        budget = MemoryBudget(max_bytes=64 << 10)

        async def answer(stream: TcpStream) -> None:
            await stream.receive()
            head = b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n"
            await stream.send(head + bytes(500_000))
            await anyio.sleep_forever()

        listener = await listen_tcp("127.0.0.1", 0)
        port = listener.port
        pool = TargetPool(
            connect=lambda: connect_stream("127.0.0.1", port), budget=budget
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, answer)
            connection = await pool.acquire(at_most_once=False)
            with pytest.raises(ConnectionLostError, match="memory"):
                await connection.exchange(
                    REQUEST, head_only=False, matches=lambda _: True, timeout_s=10.0
                )
            assert connection._queue.message_bytes == 0
            assert budget.used_bytes == 0
            tasks.cancel_scope.cancel()
