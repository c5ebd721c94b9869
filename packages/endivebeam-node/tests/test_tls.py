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
from endivebeam_node._settings import PeerFiles, PortFiles, TlsSettings
from endivebeam_node._tls import BoundedListener, NodeTls, PeerTls, files_of
from endivebeam_wire import PROTOCOL_VERSION, Heartbeat, HeartbeatEcho, Hello

TIMEOUT_S = 20.0
PORTS = ("peer", "caller", "admin")

pytestmark = pytest.mark.anyio


def issue(directory: Path, name: str, authority: trustme.CA) -> PeerFiles:
    """Write a new certificate of an authority and return the files."""
    leaf = authority.issue_cert("127.0.0.1")
    files = PeerFiles(
        certificate=directory / f"{name}.pem",
        key=directory / f"{name}.key",
        authority=directory / f"{name}-authority.pem",
    )
    files.certificate.write_bytes(b"".join(p.bytes() for p in leaf.cert_chain_pems))
    files.key.write_bytes(leaf.private_key_pem.bytes())
    files.authority.write_bytes(authority.cert_pem.bytes())
    return files


def port_files(files: PeerFiles) -> PortFiles:
    """Return the files of a port that verifies nobody."""
    return PortFiles(certificate=files.certificate, key=files.key)


class Side:
    """One node's peer streams and its peer port."""

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
            answer=self._answer,
            hello=lambda: hello,
            heartbeat=lambda request_id: Heartbeat(request_id=request_id),
            on_echo=lambda *_: None,
            tls=tls,
        )
        self._tasks = tasks
        self.address = Address("127.0.0.1", 0)

    async def listen(self) -> "Side":
        """Accept streams."""
        listener = await listen("127.0.0.1", 0)
        self.address = Address("127.0.0.1", port_of(listener))
        self._tasks.start_soon(listener.serve, self.peers.accept)
        return self

    async def _answer(self, stream: Any, request: Any) -> Any:
        return HeartbeatEcho(request_id=request.request_id)


@asynccontextmanager
async def running() -> AsyncIterator[anyio.abc.TaskGroup]:
    """Yield a task group that is cancelled at the end."""
    with anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            yield tasks
            tasks.cancel_scope.cancel()


@pytest.fixture
def lines() -> Any:
    """Collect log lines."""
    found: list[str] = []
    sink = logger.add(lambda line: found.append(str(line)), format="{message}")
    yield found
    logger.remove(sink)


async def read_greeting(stream: anyio.abc.ByteStream) -> bytes:
    """Return what a peer port says first; nothing when it refuses."""
    try:
        return await stream.receive()
    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
        return b""


class TestPeers:
    async def test_nodes_of_one_authority_talk(self, tmp_path: Path):
        """Guards against a fleet that refuses its own nodes."""
        files = issue(tmp_path, "node", trustme.CA())
        async with running() as tasks:
            server = await Side(tasks, "a", PeerTls(files=files_of(files))).listen()
            client = Side(tasks, "b", PeerTls(files=files_of(files)))
            greeting = await client.peers.probe(server.address)
            assert greeting is not None
            assert greeting.node_id == "a"
            stream = await client.peers.connect(server.address)
            echo = await stream.send_request(Heartbeat(request_id=stream.next_id()))
            assert isinstance(echo, HeartbeatEcho)

    @pytest.mark.parametrize("kind", ["no certificate", "other authority", "no TLS"])
    async def test_strangers_are_refused_and_logged(
        self, tmp_path: Path, kind: str, lines: list[str]
    ):
        """Guards against a process that joins the fleet without its certificate."""
        authority = trustme.CA()
        files = issue(tmp_path, "node", authority)
        async with running() as tasks:
            server = await Side(tasks, "a", PeerTls(files=files_of(files))).listen()
            stream: anyio.abc.ByteStream = await anyio.connect_tcp(
                server.address.host, server.address.port
            )
            if kind == "no TLS":
                # A greeting in plain text; the handshake fails on it.
                await stream.send(b"\x00\x00\x00\x10" + bytes(16))
                answer = await read_greeting(stream)
                assert b"a" not in answer
            else:
                context = ssl.create_default_context()
                authority.configure_trust(context)
                if kind == "other authority":
                    trustme.CA().issue_cert("127.0.0.1").configure_cert(context)
                wrapped = await TLSStream.wrap(
                    stream, hostname="127.0.0.1", ssl_context=context
                )
                assert await read_greeting(wrapped) == b""
                await anyio.aclose_forcefully(wrapped)
            assert any("refused a stream: TLS handshake" in line for line in lines)
            await anyio.aclose_forcefully(stream)

    @pytest.mark.parametrize("other", ["authority", "plain"])
    async def test_a_node_gives_nothing_to_a_stranger(
        self, tmp_path: Path, other: str, lines: list[str]
    ):
        """Guards against calls sent to a process that took a node's address."""
        files = issue(tmp_path, "node", trustme.CA())
        strange = issue(tmp_path, "strange", trustme.CA())
        async with running() as tasks:
            tls = PeerTls(files=files_of(strange)) if other == "authority" else None
            server = await Side(tasks, "a", tls).listen()
            client = Side(tasks, "b", PeerTls(files=files_of(files)))
            with pytest.raises(UnreachableError):
                await client.peers.connect(server.address)
            assert await client.peers.probe(server.address) is None
            assert any("peers: TLS with 127.0.0.1 failed" in line for line in lines)

    async def test_silent_handshakes_are_bounded(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against connections that hold a place without a handshake."""
        monkeypatch.setattr(_peers, "CONNECT_TIMEOUT_S", 0.05)
        files = issue(tmp_path, "node", trustme.CA())
        async with running() as tasks:
            tls = PeerTls(files=files_of(files))
            server = await Side(tasks, "a", tls).listen()
            stream = await anyio.connect_tcp("127.0.0.1", server.address.port)
            assert await read_greeting(stream) == b""
            silent = await listen("127.0.0.1", 0)
            tasks.start_soon(silent.serve, lambda stream: anyio.sleep_forever())
            client = Side(tasks, "b", tls)
            with pytest.raises(UnreachableError):
                await client.peers.connect(Address("127.0.0.1", port_of(silent)))

    async def test_a_reload_keeps_open_streams(self, tmp_path: Path):
        """Guards against streams lost, or a restart, for each new certificate."""
        authority = trustme.CA()
        files = issue(tmp_path, "node", authority)
        async with running() as tasks:
            tls = PeerTls(files=files_of(files))
            server = await Side(tasks, "a", tls).listen()
            client = Side(tasks, "b", tls)
            old = await client.peers.connect(server.address)
            before = await _certificate(server.address, tls)
            issue(tmp_path, "node", authority)
            assert tls.server.reload()
            assert tls.client.reload()
            assert await _certificate(server.address, tls) != before
            await old.send_request(Heartbeat(request_id=old.next_id()))
            assert await client.peers.connect(server.address) is old

    async def test_the_node_reloads_all_ports(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against a port whose certificate expires beside its renewed file."""
        monkeypatch.setattr(_tls, "RELOAD_PERIOD_S", 0)
        authority = trustme.CA()
        files = {name: issue(tmp_path, name, authority) for name in PORTS}
        tls = NodeTls(
            TlsSettings(
                peer=files["peer"],
                caller=port_files(files["caller"]),
                admin=port_files(files["admin"]),
            )
        )
        assert tls.peer is not None
        contexts = {"peer": tls.peer.server, "caller": tls.caller, "admin": tls.admin}
        async with running() as tasks:
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
                issue(tmp_path, name, authority)
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
                answer = await client.get(url)
                assert (answer.status_code, answer.text) == (200, "hello")
                stream = answer.extensions["network_stream"]
                ssl_object = stream.get_extra_info("ssl_object")
                seen.append((ssl_object.getpeercert(True), id(ssl_object)))
        assert seen[0] == seen[1]
        assert seen[2][0] != seen[0][0]

    async def test_caller_port(self, tmp_path: Path):
        """Guards against a reload that cuts callers or is never used."""
        authority = trustme.CA()
        files = issue(tmp_path, "node", authority)

        async def handle(request: Request) -> Response:
            return Response(status=200, fields=[], body=b"hello")

        async with running() as tasks:
            tls = NodeTls(TlsSettings(caller=port_files(files)))
            listener = await listen("127.0.0.1", 0)
            server = HttpServer(handler=handle, error_response=plain_error_response)
            tasks.start_soon(server.serve, tls.wrap_caller(listener))
            await self._check_reload(
                tls,
                f"https://127.0.0.1:{port_of(listener)}",
                authority,
                lambda: issue(tmp_path, "node", authority),
            )

    async def test_admin_port(self, tmp_path: Path):
        """Guards against operators' tokens in plain text, and a stale certificate."""
        authority = trustme.CA()
        files = issue(tmp_path, "node", authority)

        async def hello(request: Any) -> PlainTextResponse:
            return PlainTextResponse("hello")

        async with running() as tasks:
            tls = NodeTls(TlsSettings(admin=port_files(files)))
            assert tls.admin is not None
            listener = socket.create_server(("127.0.0.1", 0))
            port = listener.getsockname()[1]
            app = Starlette(routes=[Route("/", hello)])
            tasks.start_soon(serve_admin, app, listener, tls.admin.context)
            await self._check_reload(
                tls,
                f"https://127.0.0.1:{port}",
                authority,
                lambda: issue(tmp_path, "node", authority),
            )

    async def test_connections_in_a_handshake_are_bounded(self):
        """Guards against silent connections that use up memory."""
        async with running() as tasks:
            held = anyio.Event()

            async def hold(stream: anyio.abc.SocketStream) -> None:
                await stream.send(b"x")
                await held.wait()
                await stream.aclose()

            listener = await listen("127.0.0.1", 0)
            port = port_of(listener)
            tasks.start_soon(BoundedListener(listener, max_connections=1).serve, hold)
            first = await anyio.connect_tcp("127.0.0.1", port)
            assert await first.receive() == b"x"
            second = await anyio.connect_tcp("127.0.0.1", port)
            assert await read_greeting(second) == b""
            held.set()
            assert await read_greeting(first) == b""

    def test_open_peer_streams_are_announced(self, lines: list[str]):
        """Guards against a fleet without authentication that nobody notices."""
        NodeTls(TlsSettings())
        assert [line for line in lines if "not authenticated" in line] == lines
        assert len(lines) == 1
