"""Tests that a configuration is in force everywhere within its bound."""

import math
import os
import random

import anyio
import pytest

from endivebeam_model import NodeId

from ._virtual_fleet import VirtualFleet, VirtualNode, run_fleet, start_fleet
from ._virtual_time import read_virtual_clock, run_in_virtual_time

PROPAGATION_S = 2.0
# After trouble a node has this long until it must keep the bound again.
STABILITY_S = 3.0
CHECK_PERIOD_S = 0.01
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


class Trouble:
    """Random trouble of the store, of links and of processes, and changes beside it."""

    def __init__(self, fleet: VirtualFleet, *, bound_s: float) -> None:
        self._fleet = fleet
        self._bound_s = bound_s
        self.violations: list[str] = []
        self._highest: dict[tuple[NodeId, float], int] = {}

    async def run(self, *, length_s: float) -> None:
        """Run all kinds of trouble for a while."""
        with anyio.move_on_after(length_s):
            async with anyio.create_task_group() as tasks:
                for loop in (
                    self._trouble_store,
                    self._cut_links,
                    self._restart_nodes,
                    self._publish,
                    self._check,
                ):
                    tasks.start_soon(loop)

    async def _trouble_store(self) -> None:
        while True:
            await anyio.sleep(random.uniform(0.5, 6))
            names = sorted(self._fleet.nodes)
            count = int(len(names) * random.uniform(0.2, 0.95))
            self._fleet.store.set_trouble(
                random.sample(names, count), silent=random.random() < 0.6
            )
            if random.random() < 0.7:
                await anyio.sleep(random.uniform(0.01, 0.2))
                self._fleet.store.publish()
            await anyio.sleep(random.uniform(0.3, 6))
            self._fleet.store.end_trouble()

    async def _cut_links(self) -> None:
        while True:
            await anyio.sleep(random.uniform(2, 10))
            names = sorted(self._fleet.nodes)
            self._fleet.set_cut(random.sample(names, random.randint(1, 3)))
            await anyio.sleep(random.uniform(0.3, 5))
            self._fleet.set_cut(())

    async def _restart_nodes(self) -> None:
        while True:
            await anyio.sleep(random.uniform(1, 8))
            names = sorted(self._fleet.nodes)
            restarted = random.sample(names, random.randint(1, max(1, len(names) // 3)))
            for node_id in restarted:
                self._fleet.kill(node_id)
            await anyio.sleep(random.uniform(0.2, 2))
            for node_id in restarted:
                self._fleet.start(node_id, incarnation=2)

    async def _publish(self) -> None:
        while True:
            await anyio.sleep(random.uniform(0.1, 3))
            self._fleet.store.publish()

    async def _check(self) -> None:
        while True:
            await anyio.sleep(CHECK_PERIOD_S)
            now = read_virtual_clock()
            due = self._fleet.store.latest_before(now - self._bound_s)
            for node in self._fleet.nodes.values():
                self._check_evidence(node, now)
                self._check_version(node, due, now)

    def _check_evidence(self, node: VirtualNode, now: float) -> None:
        """Check that a node has the version that its evidence says is the newest."""
        age_s = node.state.freshness.age_s(now)
        if math.isinf(age_s):
            return
        known = self._fleet.store.latest_before(now - age_s)
        if node.version < known:
            self.violations.append(
                f"{now:.2f}: {node.node_id} has evidence for {known}, not the version"
            )

    def _check_version(self, node: VirtualNode, due: int, now: float) -> None:
        life = (node.node_id, node.started_at)
        if node.version < self._highest.get(life, 0):
            self.violations.append(f"{now:.2f}: {node.node_id} went back")
        self._highest[life] = node.version
        if node.version < due and self._must_be_current(node, now):
            self.violations.append(
                f"{now:.2f}: {node.node_id} has {node.version} for {due}"
            )

    def _must_be_current(self, node: VirtualNode, now: float) -> bool:
        """Return whether a node reaches the store or a node that reaches it."""
        if not self._is_linked(node, now):
            return False
        return any(
            self._is_linked(other, now) and self._reaches_store(other, now)
            for other in self._fleet.nodes.values()
        )

    def _is_linked(self, node: VirtualNode, now: float) -> bool:
        changed_at = self._fleet.cut_changed_at.get(node.node_id, 0.0)
        quiet_s = now - max(node.started_at, changed_at)
        return node.node_id not in self._fleet.cut and quiet_s > STABILITY_S

    def _reaches_store(self, node: VirtualNode, now: float) -> bool:
        store = self._fleet.store
        quiet_s = now - store.changed_at.get(node.node_id, 0.0)
        return store.answers(node.node_id) and quiet_s > STABILITY_S


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
