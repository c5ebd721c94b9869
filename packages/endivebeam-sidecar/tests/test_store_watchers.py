"""Nodes that watch the store, and the state that other nodes receive from them."""

import anyio
import pytest

from endivebeam_sidecar import Bounds, read_clock
from endivebeam_sidecar._store_watchers import MIN_WATCHERS

from ._configs import make_config
from ._fleet import Fleet, run_fleet, wait_until
from ._store import FakeStore

pytestmark = pytest.mark.anyio
NODES = 5


class CountingStore(FakeStore):
    """A store that counts the watches in progress."""

    def __init__(self) -> None:
        super().__init__()
        self.waiting = 0

    async def _wait(self, position: int, wait_s: float) -> None:
        self.waiting += 1
        try:
            await super()._wait(position, wait_s)
        finally:
            self.waiting -= 1


def config_ages(fleet: Fleet) -> list[float]:
    return [node.sidecar.config_age_s for node in fleet.nodes]


class TestStoreWatchers:
    async def test_few_nodes_watch_and_all_have_fresh_evidence(self):
        # Guards against a fleet in which every node watches the store: its calls
        # exceed the store's rate limit in a large fleet.
        store = CountingStore()
        async with run_fleet(("stock",) * NODES, store=store) as fleet:
            await wait_until(lambda: store.waiting <= MIN_WATCHERS)
            until = read_clock() + 3.0
            while read_clock() < until:
                assert store.waiting <= MIN_WATCHERS
                assert max(config_ages(fleet)) < 3.0
                await run_event_loop_turns()

    async def test_change_reaches_nodes_that_do_not_watch(self):
        async with run_fleet(("stock",) * NODES) as fleet:
            fleet.store.put_config(make_config(9))
            for node in fleet.nodes:
                await wait_until(lambda node=node: node.sidecar.config_version == 9)

    async def test_node_without_reachable_watchers_reads_the_store_itself(self):
        bounds = Bounds(key_withdrawal_s=5.0)
        async with run_fleet(("stock",) * NODES, bounds=bounds) as fleet:
            alone = fleet.nodes[0]
            for node in fleet.nodes[1:]:
                node.kill()
            until = read_clock() + 4.0
            while read_clock() < until:
                assert alone.sidecar.config_age_s < 3.6
                await run_event_loop_turns()


class TestMemberRows:
    async def test_nodes_that_start_together_find_each_other(self):
        # Each node reads the rows after it wrote its own, so of two nodes at least one
        # sees the other.
        async with run_fleet(("stock",) * NODES) as fleet:
            for node in fleet.nodes:
                assert len(node.sidecar.members()) == NODES


async def run_event_loop_turns() -> None:
    for _ in range(20):
        await anyio.lowlevel.checkpoint()
