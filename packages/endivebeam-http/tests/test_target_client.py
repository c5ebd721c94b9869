"""Exchanges with targets that misbehave, over real sockets."""

import socket
import struct
from collections.abc import Iterator

import anyio
import pytest

from endivebeam_http import (
    ConnectionLostError,
    HttpError,
    NotSentError,
    Response,
    TargetPool,
    WrongAnswerError,
    connect_stream,
)

pytestmark = pytest.mark.anyio
REQUEST = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n"


@pytest.fixture(params=["asyncio", "uvloop"])
def anyio_backend(request: pytest.FixtureRequest) -> tuple[str, dict[str, bool]]:
    """Return both loops; they report the end of a connection differently."""
    return "asyncio", {"use_uvloop": request.param == "uvloop"}


class Target:
    """A listening socket that the test drives by hand."""

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


def make_answer(call_id: str = "mine", body: bytes = b"whole", more: str = "") -> bytes:
    head = f"HTTP/1.1 200 OK\r\nx-id: {call_id}\r\n{more}content-length: {len(body)}"
    return head.encode() + b"\r\n\r\n" + body


def is_mine(response: Response) -> bool:
    return response.get(b"x-id") == b"mine"


def reset(peer: socket.socket) -> None:
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()


async def exchange(target: Target, sent: bytes, *, end: str = "") -> Response:
    """Run one exchange in which the target's bytes and its end arrive at once."""
    connection = await target.pool.acquire(careful=False)
    peer = target.peers[-1] if target.peers else target.accept()

    async def answer() -> None:
        # The loop stands still here, so it sees all of this in one turn.
        peer.recv(65536)
        peer.sendall(sent)
        if end == "reset":
            reset(peer)
        elif end == "close":
            peer.close()

    with anyio.fail_after(5):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(answer)
            try:
                response = await connection.exchange(
                    REQUEST, head_only=False, matches=is_mine, timeout_s=5
                )
            except (ConnectionLostError, HttpError, WrongAnswerError) as error:
                failure: Exception | None = error
            else:
                failure = None
    if failure is not None:
        raise failure
    target.pool.release(connection)
    return response


UNFRAMED = b"HTTP/1.1 200 OK\r\nx-id: mine\r\n\r\nbytes until the end"


class TestEndOfAnAnswer:
    async def test_answer_without_length_ends_with_its_connection(self, target: Target):
        response = await exchange(target, UNFRAMED, end="close")
        assert response.body == b"bytes until the end"

    async def test_answer_without_length_is_not_whole_after_a_reset(
        self, target: Target
    ):
        # The loop may see the last bytes and the reset at once, and reports an
        # ordinary end then; callers got cut answers as whole ones (trouble-2).
        with pytest.raises(ConnectionLostError):
            await exchange(target, UNFRAMED, end="reset")

    @pytest.mark.parametrize("end", ["close", "reset"])
    async def test_answer_with_a_length_is_not_whole_before_it(
        self, target: Target, end: str
    ):
        with pytest.raises(ConnectionLostError):
            await exchange(target, make_answer()[:-1], end=end)


class TestForeignAnswers:
    async def test_late_answer_to_another_request_is_skipped(self, target: Target):
        sent = make_answer("other", b"not yours") + make_answer()
        assert (await exchange(target, sent)).body == b"whole"

    async def test_answers_to_others_only_are_an_error(self, target: Target):
        with pytest.raises(WrongAnswerError):
            await exchange(target, make_answer("other") * 3)

    async def test_bytes_that_are_no_answer_are_an_error(self, target: Target):
        with pytest.raises(HttpError):
            await exchange(target, b"\x00 these bytes are no answer\r\n\r\n")

    async def test_connection_with_a_second_answer_is_not_used_again(
        self, target: Target
    ):
        sent = make_answer() + make_answer("mine", b"second")
        assert (await exchange(target, sent)).body == b"whole"
        await target.pool.acquire(careful=False)
        target.accept()

    async def test_connection_with_bytes_while_idle_is_not_used_again(
        self, target: Target
    ):
        await exchange(target, make_answer())
        target.peers[0].sendall(b"garbage")
        with anyio.fail_after(5):
            connection = await target.pool.acquire(careful=False)
            while not connection.is_new:
                target.pool.release(connection)
                await anyio.lowlevel.checkpoint()
                connection = await target.pool.acquire(careful=False)


class TestTime:
    async def test_target_that_never_answers_costs_the_timeout_and_the_connection(
        self, target: Target
    ):
        connection = await target.pool.acquire(careful=False)
        target.accept()
        with pytest.raises(TimeoutError):
            await connection.exchange(
                REQUEST, head_only=False, matches=is_mine, timeout_s=0.02
            )
        assert connection.closed

    async def test_timeout_of_one_exchange_does_not_end_the_next(self, target: Target):
        await exchange(target, make_answer())
        await exchange(target, make_answer())
        assert len(target.peers) == 1


class TestConnections:
    async def test_are_reused_within_the_announced_time(self, target: Target):
        first = await target.pool.acquire(careful=False)
        target.pool.release(first)
        assert await target.pool.acquire(careful=False) is first

    async def test_are_not_reused_after_it(self, target: Target):
        await exchange(target, make_answer(more="keep-alive: timeout=0\r\n"))
        await target.pool.acquire(careful=False)
        target.accept()
        assert len(target.peers) == 2

    async def test_to_nobody_are_told_as_not_sent(self):
        pool = TargetPool(connect=lambda: connect_stream("127.0.0.1", 1))
        with pytest.raises(NotSentError):
            await pool.acquire(careful=True)


class TestLongBodies:
    async def test_answer_may_come_before_the_body_is_read(self, target: Target):
        connection = await target.pool.acquire(careful=False)
        peer = target.accept()
        peer.sendall(make_answer())
        body = bytes(8 << 20)
        head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % len(body)
        with anyio.fail_after(5):
            response = await connection.exchange(
                head + body, head_only=False, matches=is_mine, timeout_s=5
            )
        assert response.body == b"whole"
        # The rest of the body is still due, so nothing else may follow.
        assert connection.closed
