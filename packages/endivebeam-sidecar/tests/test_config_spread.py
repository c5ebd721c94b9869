"""How a new configuration spreads among nodes while calls share their links."""

import random
import string
from contextlib import AsyncExitStack

import anyio
import pytest

from endivebeam_fleet import FleetConfig
from endivebeam_model import ConfigVersion, DomainName, NodeId
from endivebeam_sidecar import Sidecar
from endivebeam_wire import (
    PROTOCOL_VERSION,
    AskFleetState,
    FrameReader,
    Heartbeat,
    HeartbeatEcho,
    Hello,
    Message,
    Request,
    encode_frame,
)

from ._fleet import FakeStore, make_config, make_route, run_fleet

pytestmark = pytest.mark.anyio
NARROW_LINK_BYTES_PER_S = 10_000_000 / 8
# Time after which work for a caller that left must have ended.
DEPARTURE_S = 0.5
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
    """A node played by the test, which counts what it gets."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self._stream = stream
        self._reader = FrameReader()
        self.received_bytes = 0
        self.received: list[Message] = []

    async def ask(self, *requests: Request) -> None:
        """Send requests and then a heartbeat; return when that is answered."""
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
            protocol=PROTOCOL_VERSION,
            node_id=NodeId(f"raw-{number}"),
            incarnation=1,
            domain=DomainName("d1"),
        )
        await stream.send(encode_frame(hello))
        peers.append(RawPeer(stream))
    return peers


async def ask_all(peers: list[RawPeer], *requests: Request) -> float:
    """Let all peers ask at once; return how long a narrow link takes to answer."""
    before = sum(peer.received_bytes for peer in peers)
    async with anyio.create_task_group() as tasks:
        for peer in peers:
            tasks.start_soon(peer.ask, *requests)
    answered_bytes = sum(peer.received_bytes for peer in peers) - before
    return answered_bytes / NARROW_LINK_BYTES_PER_S


class TestLinksWhileAConfigurationSpreads:
    async def test_news_of_a_departure_does_not_wait_behind_configurations(self):
        # Each node that asked got all of it at once, ahead of calls and their ends.
        store = FakeStore()
        store.config = make_large_config(2)
        async with (
            run_fleet(("stock",), store=store) as fleet,
            AsyncExitStack() as stack,
        ):
            peers = await connect_peers(stack, fleet.nodes[0].sidecar, PEERS)
            ask = AskFleetState(
                request_id=1, config_version=ConfigVersion(1), directory_digest=0
            )
            assert await ask_all(peers, ask) < DEPARTURE_S
