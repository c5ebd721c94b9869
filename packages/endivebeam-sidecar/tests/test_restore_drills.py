"""Restores of the store that overlap with other trouble, in virtual time."""

import os
import random

import anyio
import pytest

from ._virtual_fleet import VirtualFleet, start_fleet
from ._virtual_time import run_in_virtual_time
from ._virtual_trouble import Trouble

PROPAGATION_S = 2.0
TROUBLE_S = 60.0
# Time in which a node that is gone is missed by the first watcher, has been unreachable
# for long enough, and its row is removed.
CALM_S = 60.0
# Seeds of each test; more of them are run by hand.
SEEDS = range(int(os.environ.get("DRILL_SEEDS", "6")))


def find_live(fleet: VirtualFleet) -> dict[str, list[str]]:
    """Return the nodes that each node takes for living ones."""
    return {
        node_id: sorted(member.node_id for member in node.state.directory.live())
        for node_id, node in fleet.nodes.items()
    }


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("late", [False, True], ids=["at-once", "later"])
class TestDrills:
    def test_promises_hold_during_and_after_them(
        self, monkeypatch: pytest.MonkeyPatch, late: bool, seed: int
    ):
        # Guards against versions that go back or are late, false evidence, rows of
        # living nodes that stay lost and nodes that left and are in use again.
        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                fleet = await start_fleet(tasks, size=random.choice([4, 7, 13, 25, 40]))
                trouble = Trouble(fleet, bound_s=PROPAGATION_S)
                await trouble.run_drills(late=late, length_s=TROUBLE_S)
                assert trouble.violations == []
                fleet.store.end_trouble()
                fleet.set_cut(())
                fleet.store.write_again()
                await anyio.sleep(CALM_S)
                assert set(fleet.store.members) == set(fleet.nodes)
                expected = sorted(fleet.nodes)
                assert find_live(fleet) == dict.fromkeys(expected, expected)
                tasks.cancel_scope.cancel()

        run_in_virtual_time(monkeypatch, run, seed=seed)
