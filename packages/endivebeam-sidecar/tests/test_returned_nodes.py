"""Nodes that return after they were away for long, in virtual time."""

import os
import random

import anyio
import pytest

from endivebeam_model import MemberState, NodeId

from ._virtual_fleet import VirtualFleet, VirtualNode, run_fleet
from ._virtual_trouble import STABILITY_S

# Time in which a node that ended is missed, unreachable for 12 s, and its row removed.
MIN_AWAY_S, MAX_AWAY_S = 5.0, 60.0
WATCHED_S = 15.0
CHECK_PERIOD_S = 0.01
# Seeds of the test; more of them are run by hand.
SEEDS = range(int(os.environ.get("RETURN_SEEDS", "6")))


class TestReturnedNodes:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("size", [4, 25, 40])
    def test_are_not_declared_dead(
        self, monkeypatch: pytest.MonkeyPatch, size: int, seed: int
    ):
        # Guards against nodes that count the time during which an earlier run was
        # unreachable against the present one.
        async def run(fleet: VirtualFleet) -> None:
            returned = random.sample(sorted(fleet.nodes), size // 4)
            for node_id in returned:
                fleet.kill(node_id)
            await anyio.sleep(random.uniform(MIN_AWAY_S, MAX_AWAY_S))
            nodes = [fleet.start(node_id, incarnation=2) for node_id in returned]
            for _ in range(int(WATCHED_S / CHECK_PERIOD_S)):
                await anyio.sleep(CHECK_PERIOD_S)
                for node in nodes:
                    for other in fleet.nodes.values():
                        known = other.state.directory.find(node.node_id)
                        is_dead = known is not None and known.state is MemberState.DEAD
                        assert not is_dead or known.incarnation == 1

        run_fleet(monkeypatch, run, size=size, seed=seed)


class TestObservers:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_node_that_was_cut_off_declares_no_other_dead(
        self, monkeypatch: pytest.MonkeyPatch, seed: int
    ):
        # Guards against a node that takes the loss of its own network for that of the
        # others, which have been in touch with each other all the time.
        async def run(fleet: VirtualFleet) -> None:
            nodes = fleet.nodes.values()
            observer = next(n for n in nodes if n.watchers.is_first())
            fleet.set_cut([observer.node_id])
            await anyio.sleep(random.uniform(MIN_AWAY_S, MAX_AWAY_S))
            fleet.set_cut(())
            for _ in range(int(WATCHED_S / CHECK_PERIOD_S)):
                await anyio.sleep(CHECK_PERIOD_S)
                for node in nodes:
                    assert find_dead(node) - {observer.node_id} == set()

        run_fleet(monkeypatch, run, size=25, seed=seed)


def find_dead(node: VirtualNode) -> set[NodeId]:
    """Return the nodes that a node takes for dead ones."""
    members = node.state.directory.members()
    return {m.node_id for m in members if m.state is MemberState.DEAD}


class TestNodesWithoutStore:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("size", [4, 25])
    def test_receive_the_configuration_from_others(
        self, monkeypatch: pytest.MonkeyPatch, size: int, seed: int
    ):
        # Guards against nodes that nobody asks after they have restarted, and that
        # reject requests as long as the store doesn't answer them.
        async def run(fleet: VirtualFleet) -> None:
            node_id = random.choice(sorted(fleet.nodes))
            fleet.kill(node_id)
            await anyio.sleep(random.uniform(0.2, 2.0))
            fleet.store.set_trouble([node_id], silent=random.random() < 0.5)
            node = fleet.start(node_id, incarnation=2)
            await anyio.sleep(STABILITY_S)
            assert node.version == fleet.store.published[-1].version

        run_fleet(monkeypatch, run, size=size, seed=seed)
