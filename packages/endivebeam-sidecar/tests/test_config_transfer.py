"""Transfer of a new configuration between nodes while calls share their links."""

import random
import string
from collections.abc import Callable
from contextlib import AsyncExitStack

import anyio
import msgspec
import pytest

from endivebeam_fleet import FleetConfig, encode_config
from endivebeam_model import ConfigVersion, DomainName, Member, NodeId
from endivebeam_sidecar import Sidecar
from endivebeam_sidecar._config_transfer import ConfigTransfer
from endivebeam_wire import (
    SIDECAR_PROTOCOL_VERSION,
    ConfigReply,
    ConfigRequest,
    FrameReader,
    Heartbeat,
    HeartbeatEcho,
    Hello,
    Message,
    Reply,
    Request,
    SyncReply,
    SyncRequest,
    encode_frame,
)

from ._configs import make_config, make_route
from ._fleet import run_fleet, wait_until
from ._store import FakeStore

pytestmark = pytest.mark.anyio
SLOW_LINK_BYTES_PER_S = 10_000_000 / 8
# Work for a caller that disconnected must end within this time.
CANCELLATION_S = 0.5
PEERS = 60


def make_large_config(version: int, routes: int = 1600) -> FleetConfig:
    rng = random.Random(version)

    def name() -> str:
        return "".join(rng.choices(string.ascii_lowercase, k=8))

    known = make_config(version)
    extra = tuple(make_route(name()) for _ in range(routes))
    return FleetConfig(
        version=known.version, routes=known.routes + extra, accounts=known.accounts
    )


class RawPeer:
    """A simulated node that counts the bytes and records the messages it receives."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self._stream = stream
        self._reader = FrameReader()
        self.received_bytes = 0
        self.received: list[Message] = []

    async def request(self, *requests: Request) -> None:
        """Send requests and then a heartbeat; return when its echo arrives."""
        number = len(self.received) + 1000
        frames = [encode_frame(r) for r in (*requests, Heartbeat(request_id=number))]
        await self._stream.send(b"".join(frames))
        while not any(
            isinstance(m, HeartbeatEcho) and m.request_id == number
            for m in self.received
        ):
            data = await self._stream.receive()
            self.received_bytes += len(data)
            self.received += self._reader.feed(data)


async def connect_peers(
    stack: AsyncExitStack, sidecar: Sidecar, count: int
) -> list[RawPeer]:
    peers = []
    for number in range(count):
        port = sidecar.settings.peers.port
        stream = await stack.enter_async_context(
            await anyio.connect_tcp("127.0.0.1", port)
        )
        hello = Hello(
            protocol=SIDECAR_PROTOCOL_VERSION,
            node_id=NodeId(f"raw-{number}"),
            incarnation=1,
            domain=DomainName("d1"),
        )
        await stream.send(encode_frame(hello))
        peers.append(RawPeer(stream))
    return peers


def is_part(message: Message) -> bool:
    return isinstance(message, ConfigReply) and not message.is_busy


async def request_from_all(peers: list[RawPeer], *requests: Request) -> float:
    """Request from all peers; return the seconds that a slow link takes to reply."""
    before = sum(peer.received_bytes for peer in peers)
    async with anyio.create_task_group() as tasks:
        for peer in peers:
            tasks.start_soon(peer.request, *requests)
    reply_bytes = sum(peer.received_bytes for peer in peers) - before
    return reply_bytes / SLOW_LINK_BYTES_PER_S


class TestLinksDuringConfigTransfer:
    async def test_cancellation_does_not_wait_behind_configurations(self):
        # Guards against a node that sends the whole configuration to every requester
        # at once and thereby delays calls and their cancellation.
        store = FakeStore()
        store.config = make_large_config(2)
        async with (
            run_fleet(("stock",), store=store) as fleet,
            AsyncExitStack() as stack,
        ):
            peers = await connect_peers(stack, fleet.nodes[0].sidecar, PEERS)
            sync = SyncRequest(
                request_id=1, config_version=ConfigVersion(1), directory_digest=0
            )
            assert await request_from_all(peers, sync) < CANCELLATION_S
            part = ConfigRequest(request_id=2, version=ConfigVersion(0), offset=0)
            assert await request_from_all(peers, part) < CANCELLATION_S
            served = [p for p in peers if any(is_part(m) for m in p.received)]
            assert 0 < len(served) < PEERS


class TestTransfer:
    async def test_large_configuration_reaches_all_nodes_that_do_not_read_the_store(
        self,
    ):
        # Three nodes watch the store; the others receive it only from their peers.
        store = FakeStore()
        async with run_fleet(("stock",) * 8, store=store) as fleet:
            for version in range(2, 6):
                store.put_config(make_large_config(version))
                for node in fleet.nodes:
                    await wait_until(
                        lambda n=node, v=version: n.sidecar.config_version == v
                    )

    async def test_node_that_learns_of_a_version_gets_it_from_a_peer(self):
        store = FakeStore()
        async with run_fleet(("stock", "stock"), store=store) as fleet:
            cut_off, other = fleet.nodes
            store.cut_off.add(cut_off.sidecar.settings.node_id)
            store.put_config(make_large_config(2))
            await wait_until(lambda: cut_off.sidecar.config_version == 2)
            # The peer also sends the evidence that this version is the newest.
            await wait_until(lambda: cut_off.sidecar.config_age_s < 2.0)
            assert other.sidecar.config_version == 2

    async def test_newer_version_at_a_peer_does_not_confirm_the_own_one(self):
        # Guards against a node that accepts withdrawn keys because a peer's evidence
        # for a newer version confirms its own older one.
        async with run_fleet(("stock",)) as fleet, AsyncExitStack() as stack:
            (peer,) = await connect_peers(stack, fleet.nodes[0].sidecar, 1)
            sync = SyncRequest(
                request_id=1, config_version=ConfigVersion(0), directory_digest=0
            )
            await peer.request(sync)
            (state,) = [m for m in peer.received if isinstance(m, SyncReply)]
            assert state.config_version == 1
            assert state.config_age_ms == -1


class ScriptedLinks:
    """Links that return a fixed reply for each node."""

    def __init__(self, replies: dict[str, ConfigReply]) -> None:
        self.replies = replies
        self.requested: list[NodeId] = []

    async def send_request(
        self,
        member: Member,
        make_request: Callable[[int], Request],
        *,
        timeout_s: float | None = None,
    ) -> Reply:
        await anyio.lowlevel.checkpoint()
        self.requested.append(member.node_id)
        return self.replies[member.node_id]


def make_part(version: int, *, is_busy: bool = False, **more: object) -> ConfigReply:
    data = b"" if is_busy else encode_config(make_config(version))
    part = ConfigReply(
        request_id=1,
        version=ConfigVersion(version),
        offset=0,
        total_bytes=len(data),
        data=data,
        is_busy=is_busy,
    )
    return msgspec.structs.replace(part, **more)


class TestSources:
    @pytest.mark.parametrize(
        "unusable_reply",
        [
            make_part(0, is_busy=True),
            make_part(1),
            make_part(2, is_busy=True, sources=(NodeId("node-0"),)),
            make_part(2, total_bytes=1 << 30),
        ],
        ids=["restarted", "older", "names the requesting node", "too large"],
    )
    async def test_unusable_source_does_not_delay_another(
        self, unusable_reply: ConfigReply
    ):
        # Guards against a node that requests from itself, or from a source without the
        # version, forever.
        async with run_fleet(("stock",)) as fleet:
            fleet_state = fleet.nodes[0].sidecar._fleet
            for name in ("node-1", "node-2"):
                fleet_state.adopt_member(
                    msgspec.structs.replace(fleet_state.own, node_id=NodeId(name))
                )
            links = ScriptedLinks({"node-1": unusable_reply, "node-2": make_part(2)})
            transfer = ConfigTransfer(
                fleet=fleet_state, links=links, on_adopted=lambda node_id: None
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(transfer.run)
                transfer.record_peer_version(NodeId("node-1"), ConfigVersion(2))
                await wait_until(lambda: "node-1" in links.requested)
                transfer.record_peer_version(NodeId("node-2"), ConfigVersion(2))
                await wait_until(lambda: fleet_state.config_version == 2)
                assert "node-0" not in links.requested
                tasks.cancel_scope.cancel()
