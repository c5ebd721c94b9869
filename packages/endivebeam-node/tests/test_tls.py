"""Tests of TLS on the ports of a node, over loopback connections."""

import socket
import ssl
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import anyio.lowlevel
import httpx
import pytest
import trustme
from anyio.streams.tls import TLSStream
from loguru import logger
from starlette.applications import Starlette
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from endivebeam_http import HttpServer, Request, Response, plain_error_response
from endivebeam_model import Address, DomainName, NodeId
from endivebeam_node import _peers, _tls
from endivebeam_node._admin_serving import serve_admin
from endivebeam_node._listening import listen, port_of
from endivebeam_node._peers import Peers, UnreachableError
from endivebeam_node._settings import PeerTlsSettings, PortTlsSettings, TlsSettings
from endivebeam_node._tls import BoundedListener, NodeTls, PeerTls, make_tls_files
from endivebeam_wire import PROTOCOL_VERSION, Heartbeat, HeartbeatEcho, Hello

TIMEOUT_S = 20.0
PORTS = ("peer", "caller", "admin")

pytestmark = pytest.mark.anyio


def issue_files(directory: Path, name: str, authority: trustme.CA) -> PeerTlsSettings:
    """Issue a certificate, write it and return the settings with its files."""
    leaf = authority.issue_cert("127.0.0.1")
    files = PeerTlsSettings(
        certificate=directory / f"{name}.pem",
        key=directory / f"{name}.key",
        authority=directory / f"{name}-authority.pem",
    )
    files.certificate.write_bytes(b"".join(p.bytes() for p in leaf.cert_chain_pems))
    files.key.write_bytes(leaf.private_key_pem.bytes())
    files.authority.write_bytes(authority.cert_pem.bytes())
    return files


def make_port_settings(files: PeerTlsSettings) -> PortTlsSettings:
    """Return the settings of a port that does not verify client certificates."""
    return PortTlsSettings(certificate=files.certificate, key=files.key)


class PeerNode:
    """Peer streams and the peer port of one node."""

    def __init__(
        self, tasks: anyio.abc.TaskGroup, name: str, tls: PeerTls | None
    ) -> None:
        hello = Hello(
            protocol=PROTOCOL_VERSION,
            node_id=NodeId(name),
            incarnation=1,
            domain=DomainName("domain-a"),
        )
        self.peers = Peers(
            tasks=tasks,
            handle_request=self._handle_request,
            hello=lambda: hello,
            heartbeat=lambda request_id: Heartbeat(request_id=request_id),
            on_echo=lambda *_: None,
            tls=tls,
        )
        self._tasks = tasks
        self.address = Address("127.0.0.1", 0)

    async def listen(self) -> "PeerNode":
        """Accept streams on a free port; return this node."""
        listener = await listen("127.0.0.1", 0)
        self.address = Address("127.0.0.1", port_of(listener))
        self._tasks.start_soon(listener.serve, self.peers.accept)
        return self

    async def _handle_request(self, stream: Any, request: Any) -> Any:
        return HeartbeatEcho(request_id=request.request_id)


@asynccontextmanager
async def running_tasks() -> AsyncIterator[anyio.abc.TaskGroup]:
    """Yield a task group that is cancelled at the end."""
    with anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            yield tasks
            tasks.cancel_scope.cancel()


@pytest.fixture
def log_lines() -> Any:
    """Collect log messages."""
    found: list[str] = []
    sink = logger.add(lambda line: found.append(str(line)), format="{message}")
    yield found
    logger.remove(sink)


async def read_first_bytes(stream: anyio.abc.ByteStream) -> bytes:
    """Return the first bytes received from a port; empty if it closes the stream."""
    try:
        return await stream.receive()
    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
        return b""


class TestPeers:
    async def test_nodes_of_one_authority_connect(self, tmp_path: Path):
        """Guards against a node that rejects peers of its own fleet."""
        files = issue_files(tmp_path, "node", trustme.CA())
        async with running_tasks() as tasks:
            server = await PeerNode(
                tasks, "a", PeerTls(files=make_tls_files(files))
            ).listen()
            client = PeerNode(tasks, "b", PeerTls(files=make_tls_files(files)))
            hello = await client.peers.probe(server.address)
            assert hello is not None
            assert hello.node_id == "a"
            stream = await client.peers.connect(server.address)
            echo = await stream.send_request(Heartbeat(request_id=stream.next_id()))
            assert isinstance(echo, HeartbeatEcho)

    @pytest.mark.parametrize("kind", ["no certificate", "other authority", "no TLS"])
    async def test_unauthenticated_peers_are_rejected_and_logged(
        self, tmp_path: Path, kind: str, log_lines: list[str]
    ):
        """Guards against a process that joins the fleet without its certificate."""
        authority = trustme.CA()
        files = issue_files(tmp_path, "node", authority)
        async with running_tasks() as tasks:
            server = await PeerNode(
                tasks, "a", PeerTls(files=make_tls_files(files))
            ).listen()
            stream: anyio.abc.ByteStream = await anyio.connect_tcp(
                server.address.host, server.address.port
            )
            if kind == "no TLS":
                # A frame without TLS, on which the handshake fails.
                await stream.send(b"\x00\x00\x00\x10" + bytes(16))
                received = await read_first_bytes(stream)
                assert b"a" not in received
            else:
                context = ssl.create_default_context()
                authority.configure_trust(context)
                if kind == "other authority":
                    trustme.CA().issue_cert("127.0.0.1").configure_cert(context)
                wrapped = await TLSStream.wrap(
                    stream, hostname="127.0.0.1", ssl_context=context
                )
                assert await read_first_bytes(wrapped) == b""
                await anyio.aclose_forcefully(wrapped)
            assert any("refused a stream: TLS handshake" in line for line in log_lines)
            await anyio.aclose_forcefully(stream)

    @pytest.mark.parametrize("other", ["authority", "plain"])
    async def test_node_does_not_connect_to_an_unauthenticated_peer(
        self, tmp_path: Path, other: str, log_lines: list[str]
    ):
        """Guards against calls sent to a process that took over a node's address."""
        files = issue_files(tmp_path, "node", trustme.CA())
        other_files = issue_files(tmp_path, "other", trustme.CA())
        async with running_tasks() as tasks:
            tls = (
                PeerTls(files=make_tls_files(other_files))
                if other == "authority"
                else None
            )
            server = await PeerNode(tasks, "a", tls).listen()
            client = PeerNode(tasks, "b", PeerTls(files=make_tls_files(files)))
            with pytest.raises(UnreachableError):
                await client.peers.connect(server.address)
            assert await client.peers.probe(server.address) is None
            assert any("peers: TLS with 127.0.0.1 failed" in line for line in log_lines)

    async def test_silent_handshakes_time_out(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against silent connections that count toward the limit forever."""
        monkeypatch.setattr(_peers, "CONNECT_TIMEOUT_S", 0.05)
        files = issue_files(tmp_path, "node", trustme.CA())
        async with running_tasks() as tasks:
            tls = PeerTls(files=make_tls_files(files))
            server = await PeerNode(tasks, "a", tls).listen()
            stream = await anyio.connect_tcp("127.0.0.1", server.address.port)
            assert await read_first_bytes(stream) == b""
            silent = await listen("127.0.0.1", 0)
            tasks.start_soon(silent.serve, lambda stream: anyio.sleep_forever())
            client = PeerNode(tasks, "b", tls)
            with pytest.raises(UnreachableError):
                await client.peers.connect(Address("127.0.0.1", port_of(silent)))

    async def test_reload_keeps_open_streams(self, tmp_path: Path):
        """Guards against streams lost, or a restart needed, for a new certificate."""
        authority = trustme.CA()
        files = issue_files(tmp_path, "node", authority)
        async with running_tasks() as tasks:
            tls = PeerTls(files=make_tls_files(files))
            server = await PeerNode(tasks, "a", tls).listen()
            client = PeerNode(tasks, "b", tls)
            old = await client.peers.connect(server.address)
            before = await _certificate(server.address, tls)
            issue_files(tmp_path, "node", authority)
            assert tls.server.reload()
            assert tls.client.reload()
            assert await _certificate(server.address, tls) != before
            await old.send_request(Heartbeat(request_id=old.next_id()))
            assert await client.peers.connect(server.address) is old

    async def test_node_reloads_all_ports(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against a port whose certificate expires although its file is new."""
        monkeypatch.setattr(_tls, "RELOAD_PERIOD_S", 0)
        authority = trustme.CA()
        files = {name: issue_files(tmp_path, name, authority) for name in PORTS}
        tls = NodeTls(
            TlsSettings(
                peer=files["peer"],
                caller=make_port_settings(files["caller"]),
                admin=make_port_settings(files["admin"]),
            )
        )
        assert tls.peer is not None
        contexts = {"peer": tls.peer.server, "caller": tls.caller, "admin": tls.admin}
        async with running_tasks() as tasks:
            tasks.start_soon(tls.run)
            for name, context in contexts.items():
                assert context is not None
                listener = await listen("127.0.0.1", 0)
                handshake = partial(
                    TLSStream.wrap, server_side=True, ssl_context=context.context
                )
                tasks.start_soon(listener.serve, handshake)
                address = Address("127.0.0.1", port_of(listener))
                before = await _certificate(address, tls.peer)
                issue_files(tmp_path, name, authority)
                while await _certificate(address, tls.peer) == before:
                    await anyio.lowlevel.checkpoint()


async def _certificate(address: Address, tls: PeerTls) -> bytes | None:
    raw = await anyio.connect_tcp(address.host, address.port)
    async with await TLSStream.wrap(
        raw,
        server_side=False,
        ssl_context=tls.client.context,
        standard_compatible=False,
    ) as stream:
        return stream._ssl_object.getpeercert(True)


class TestPorts:
    async def _check_reload(
        self, tls: NodeTls, url: str, authority: trustme.CA, renew: Callable[[], object]
    ) -> None:
        context = ssl.create_default_context()
        authority.configure_trust(context)
        seen = []
        async with (
            httpx.AsyncClient(verify=context) as old,
            httpx.AsyncClient(verify=context) as new,
        ):
            for client, change in ((old, None), (old, renew), (new, None)):
                if change is not None:
                    change()
                    tls.reload()
                response = await client.get(url)
                assert (response.status_code, response.text) == (200, "hello")
                stream = response.extensions["network_stream"]
                ssl_object = stream.get_extra_info("ssl_object")
                seen.append((ssl_object.getpeercert(True), id(ssl_object)))
        assert seen[0] == seen[1]
        assert seen[2][0] != seen[0][0]

    async def test_reload_on_the_caller_port(self, tmp_path: Path):
        """Guards against a reload that closes connections or has no effect."""
        authority = trustme.CA()
        files = issue_files(tmp_path, "node", authority)

        async def handle(request: Request) -> Response:
            return Response(status=200, fields=[], body=b"hello")

        async with running_tasks() as tasks:
            tls = NodeTls(TlsSettings(caller=make_port_settings(files)))
            listener = await listen("127.0.0.1", 0)
            server = HttpServer(handler=handle, error_response=plain_error_response)
            tasks.start_soon(server.serve, tls.wrap_caller(listener))
            await self._check_reload(
                tls,
                f"https://127.0.0.1:{port_of(listener)}",
                authority,
                lambda: issue_files(tmp_path, "node", authority),
            )

    async def test_reload_on_the_admin_port(self, tmp_path: Path):
        """Guards against operator tokens without encryption, and an old certificate."""
        authority = trustme.CA()
        files = issue_files(tmp_path, "node", authority)

        async def hello(request: Any) -> PlainTextResponse:
            return PlainTextResponse("hello")

        async with running_tasks() as tasks:
            tls = NodeTls(TlsSettings(admin=make_port_settings(files)))
            assert tls.admin is not None
            listener = socket.create_server(("127.0.0.1", 0))
            port = listener.getsockname()[1]
            app = Starlette(routes=[Route("/", hello)])
            tasks.start_soon(serve_admin, app, listener, tls.admin.context)
            await self._check_reload(
                tls,
                f"https://127.0.0.1:{port}",
                authority,
                lambda: issue_files(tmp_path, "node", authority),
            )

    async def test_connections_in_a_handshake_are_limited(self):
        """Guards against silent connections that exhaust memory."""
        async with running_tasks() as tasks:
            released = anyio.Event()

            async def hold_open(stream: anyio.abc.SocketStream) -> None:
                await stream.send(b"x")
                await released.wait()
                await stream.aclose()

            listener = await listen("127.0.0.1", 0)
            port = port_of(listener)
            tasks.start_soon(
                BoundedListener(listener, max_connections=1).serve, hold_open
            )
            first = await anyio.connect_tcp("127.0.0.1", port)
            assert await first.receive() == b"x"
            second = await anyio.connect_tcp("127.0.0.1", port)
            assert await read_first_bytes(second) == b""
            released.set()
            assert await read_first_bytes(first) == b""

    def test_missing_peer_authentication_is_logged(self, log_lines: list[str]):
        """Guards against a fleet without peer authentication and without a warning."""
        NodeTls(TlsSettings())
        assert [line for line in log_lines if "not authenticated" in line] == log_lines
        assert len(log_lines) == 1
