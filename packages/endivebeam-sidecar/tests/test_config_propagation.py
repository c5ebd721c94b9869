"""Tests that a configuration is in force everywhere within its bound."""

import os
import random

import anyio
import pytest

from endivebeam_model import NodeId

from ._virtual_fleet import VirtualFleet, run_fleet, start_fleet
from ._virtual_time import run_in_virtual_time
from ._virtual_trouble import Trouble

PROPAGATION_S = 2.0
# Seeds of each test; more of them are run by hand.
SEEDS = range(int(os.environ.get("PROPAGATION_SEEDS", "6")))


def find_watchers(fleet: VirtualFleet) -> set[NodeId]:
    """Return the nodes that read the store for the others."""
    return {n for n, node in fleet.nodes.items() if node.watchers.includes_self()}


def find_late(fleet: VirtualFleet, version: int) -> list[str]:
    return [
        f"{node.node_id} has {node.version} for {version}"
        for node in fleet.nodes.values()
        if node.version < version
    ]


class TestSilentStore:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("size", [4, 13, 40])
    def test_all_watchers_lose_the_store_at_once(
        self, monkeypatch: pytest.MonkeyPatch, size: int, seed: int
    ):
        # Guards against nodes that rely for longer than the bound on others that have
        # lost the store, although they reach it themselves.
        async def run(fleet: VirtualFleet) -> None:
            await anyio.sleep(random.uniform(0, 2))
            watchers = find_watchers(fleet)
            others = sorted(set(fleet.nodes) - watchers)
            silent = random.sample(others, int(len(others) * random.random() * 0.8))
            fleet.store.set_trouble([*watchers, *silent])
            await anyio.sleep(random.uniform(0, 1))
            for _ in range(4):
                fleet.store.publish()
                version = fleet.store.config.version
                await anyio.sleep(PROPAGATION_S)
                assert not find_late(fleet, version)

        run_fleet(monkeypatch, run, size=size, seed=seed)


class TestRandomTrouble:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_nodes_in_touch_have_each_version_in_time(
        self, monkeypatch: pytest.MonkeyPatch, seed: int
    ):
        # Guards against a sum of periods and timeouts above the bound, against false
        # evidence and against versions that go back.
        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                fleet = await start_fleet(tasks, size=random.choice([4, 7, 13, 25]))
                trouble = Trouble(fleet, bound_s=PROPAGATION_S)
                await trouble.run(length_s=60.0)
                assert trouble.violations == []
                tasks.cancel_scope.cancel()

        run_in_virtual_time(monkeypatch, run, seed=seed)
