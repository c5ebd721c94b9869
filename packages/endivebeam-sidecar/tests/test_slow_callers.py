"""Tests of callers that read slowly, and of callers that are gone."""

import socket

import anyio
import pytest

from endivebeam_http import Request, Response
from endivebeam_http import _loss_detection as loss_detection

from ._fleet import Connection, Node, encode_call, run_fleet, wait_until

pytestmark = pytest.mark.anyio
USER_TIMEOUT_S = 0.3
BODY = bytes(36_000)


def answer_at_length(node: Node) -> None:
    """Let a target answer with a body that is larger than a caller's window."""

    async def answer(request: Request) -> Response:
        return node.target.make_response(request, body=BODY)

    node.target.behavior = answer


class TestSlowCallers:
    async def test_caller_that_pauses_gets_all_its_responses(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against responses that are lost because their caller reads late."""
        timeout_ms = int(1000 * USER_TIMEOUT_S)
        monkeypatch.setattr(loss_detection, "TCP_USER_TIMEOUT_MS", timeout_ms)
        async with run_fleet() as fleet:
            for node in fleet.nodes:
                answer_at_length(node)
            raw = socket.socket()
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
            raw.connect(("127.0.0.1", fleet.nodes[0].sidecar.settings.callers.port))
            for path in ("/look/a", "/look/b"):
                raw.sendall(encode_call(path)[1])
            await wait_until(
                lambda: sum(len(n.target.received) for n in fleet.nodes) == 2
            )
            await anyio.sleep(4 * USER_TIMEOUT_S)
            async with await anyio.abc.SocketStream.from_socket(raw) as stream:
                connection = Connection(stream)
                for _ in range(2):
                    assert (await connection.receive()).body == BODY


class TestLostCallers:
    async def test_idle_caller_is_probed_and_lost_within_seconds(self):
        """Guards against work for a caller that has lost its power, for ever."""
        async with (
            run_fleet(("stock",)) as fleet,
            fleet.nodes[0].connect() as connection,
        ):
            await connection.call("/look/x")
            (accepted,) = fleet.nodes[0].sidecar._caller_server._connections
            raw = accepted._stream.extra(anyio.abc.SocketAttribute.raw_socket)
            assert raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
            # The kernel waits for this timeout instead of counting probes.
            assert raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 0
            idle_s, interval_s, count = (
                raw.getsockopt(socket.IPPROTO_TCP, option)
                for option in (
                    socket.TCP_KEEPIDLE,
                    socket.TCP_KEEPINTVL,
                    socket.TCP_KEEPCNT,
                )
            )
            assert idle_s + interval_s * count <= 5
