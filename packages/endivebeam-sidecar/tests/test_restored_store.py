"""Nodes beside a store that comes back from an older copy, in virtual time."""

import os
import random

import anyio
import pytest

from endivebeam_model import NodeId

from ._virtual_fleet import VirtualFleet, VirtualNode, run_fleet
from ._virtual_store import StoreCopy
from ._virtual_time import read_virtual_clock

PROPAGATION_S = 2.0
WITHDRAWAL_S = 5.0
# Time in which rows that lapsed are back after the store is, by the platform's pages.
ROWS_BACK_S = 2.0
REMOVED_S = 5.0
# A node that ended is missed, is unreachable for 12 s, and all rows are read then.
DEAD_S = 60.0
# A store that serves 2000 reads a second to 200 nodes.
STORE_READS_PER_NODE_S = 10
# Nodes of the largest fleet; 200 of them are run by hand.
LARGE_FLEET = int(os.environ.get("RESTORE_NODES", "40"))
# A row that nobody removed in the silence is found when all rows are read next.
REMOVED_AFTER_SILENCE_S = 15.0
# Seeds of each test; more of them are run by hand.
SEEDS = range(int(os.environ.get("RESTORE_SEEDS", "6")))


def write_rows(fleet: VirtualFleet, *, count: int) -> None:
    """Write rows of members again, which raises the store's version."""
    for node_id in random.choices(sorted(fleet.nodes), k=count):
        fleet.store.write(fleet.nodes[node_id].state.own)


def find_versions(fleet: VirtualFleet) -> set[int]:
    return {node.version for node in fleet.nodes.values()}


class TestChanges:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("size", [1, 4, 25])
    def test_change_at_a_version_that_was_read_before_is_in_force_in_time(
        self, monkeypatch: pytest.MonkeyPatch, size: int, seed: int
    ):
        # Guards against readers that go on from a version of an earlier era.
        async def run(fleet: VirtualFleet) -> None:
            copy = fleet.store.copy()
            write_rows(fleet, count=random.randint(1, 4))
            await anyio.sleep(random.uniform(0.5, 3))
            fleet.store.set_trouble(fleet.nodes, silent=random.random() < 0.5)
            await anyio.sleep(random.uniform(0.0, 1.0))
            fleet.store.end_trouble()
            read = fleet.store.position
            fleet.store.restore(copy)
            fleet.store.publish()
            write_rows(fleet, count=read.version - fleet.store.position.version)
            await anyio.sleep(PROPAGATION_S)
            assert find_versions(fleet) == {fleet.store.published[-1].version}

        run_fleet(monkeypatch, run, size=size, seed=seed)


def lose_change(fleet: VirtualFleet, copy: StoreCopy) -> float:
    """Lose a change that no node has read; return when it was acknowledged."""
    fleet.store.set_trouble(fleet.nodes)
    fleet.store.publish()
    acknowledged_at = read_virtual_clock()
    fleet.store.restore(copy)
    fleet.store.end_trouble()
    return acknowledged_at


async def check_evidence(nodes: list[VirtualNode]) -> None:
    """Check for a while that nodes have evidence only with the newest version."""
    for _ in range(300):
        await anyio.sleep(0.01)
        now = read_virtual_clock()
        for node in nodes:
            has_evidence = node.state.freshness.age_s(now) < 60
            assert not has_evidence or node.version == 2


class TestEvidence:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("size", [1, 4, 25])
    def test_store_that_lacks_a_known_change_confirms_nothing(
        self, monkeypatch: pytest.MonkeyPatch, size: int, seed: int
    ):
        # Guards against a key whose withdrawal the store has lost: with one change, it
        # may have lost a later one too.
        async def run(fleet: VirtualFleet) -> None:
            copy = fleet.store.copy()
            fleet.store.publish()
            await anyio.sleep(PROPAGATION_S)
            acknowledged_at = lose_change(fleet, copy)
            await anyio.sleep(WITHDRAWAL_S)
            now = read_virtual_clock()
            for node in fleet.nodes.values():
                assert now - node.state.freshness.age_s(now) <= acknowledged_at
            fleet.store.write_again()
            await anyio.sleep(PROPAGATION_S)
            now = read_virtual_clock()
            for node in fleet.nodes.values():
                assert node.version == fleet.store.published[-1].version
                assert node.state.freshness.age_s(now) < PROPAGATION_S

        run_fleet(monkeypatch, run, size=size, seed=seed)

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("size", [2, 4, 25])
    def test_restarted_node_has_none_for_a_change_that_was_replaced(
        self, monkeypatch: pytest.MonkeyPatch, size: int, seed: int
    ):
        # Guards against a node that uses withdrawn keys until others tell it that the
        # store has lost their withdrawal.
        async def run(fleet: VirtualFleet) -> None:
            copy = fleet.store.copy()
            fleet.store.publish()
            await anyio.sleep(PROPAGATION_S)
            fleet.store.restore(copy)
            node_id = random.choice(sorted(fleet.nodes))
            fleet.kill(node_id)
            await anyio.sleep(random.uniform(0.1, 1.0))
            node = fleet.start(node_id, incarnation=2)
            await check_evidence([node])

        run_fleet(monkeypatch, run, size=size, seed=seed)

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("size", [13, 40])
    def test_nodes_that_restart_together_have_none_for_a_change_that_was_replaced(
        self, monkeypatch: pytest.MonkeyPatch, size: int, seed: int
    ):
        # Guards against a node that hears only of another one which has just started
        # too, and uses withdrawn keys after that.
        async def run(fleet: VirtualFleet) -> None:
            copy = fleet.store.copy()
            fleet.store.publish()
            await anyio.sleep(PROPAGATION_S)
            fleet.store.restore(copy)
            restarted = random.sample(sorted(fleet.nodes), size // 3)
            for node_id in restarted:
                fleet.kill(node_id)
            await anyio.sleep(random.uniform(0.1, 1.0))
            nodes = [fleet.start(node_id, incarnation=2) for node_id in restarted]
            await check_evidence(nodes)

        run_fleet(monkeypatch, run, size=size, seed=seed)


async def let_node_leave(fleet: VirtualFleet) -> NodeId:
    """Let any node leave and end; return its id."""
    node_id = random.choice(sorted(fleet.nodes))
    await fleet.nodes[node_id].leave()
    fleet.kill(node_id)
    return node_id


class TestPlannedStops:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("size", [1, 4, 25])
    def test_row_of_a_node_that_left_is_removed(
        self, monkeypatch: pytest.MonkeyPatch, size: int, seed: int
    ):
        # Guards against a removal that names the version of an earlier era: the row
        # stays, and nodes that start take the node for a living one.
        async def run(fleet: VirtualFleet) -> None:
            copy = fleet.store.copy()
            node = fleet.nodes[random.choice(sorted(fleet.nodes))]
            node.control.publish_own()
            await anyio.sleep(random.uniform(0.5, 3))
            fleet.store.restore(copy)
            fleet.store.write_again()
            await anyio.sleep(random.uniform(0.0, 3))
            await node.leave()
            assert node.node_id not in fleet.store.members

        run_fleet(monkeypatch, run, size=size, seed=seed)


class TestMembers:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_row_of_a_node_that_stops_is_not_written_again(
        self, monkeypatch: pytest.MonkeyPatch, seed: int
    ):
        # Guards against a restore that is noticed between the removal of the row and
        # the end of the process.
        async def run(fleet: VirtualFleet) -> None:
            node = fleet.nodes[random.choice(sorted(fleet.nodes))]
            await node.leave()
            fleet.store.restore(fleet.store.copy())
            fleet.store.write_again()
            await anyio.sleep(ROWS_BACK_S)
            assert node.node_id not in fleet.store.members

        run_fleet(monkeypatch, run, size=4, seed=seed)

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("size", [1, 4, 25])
    def test_rows_that_the_copy_lacks_are_back_in_time(
        self, monkeypatch: pytest.MonkeyPatch, size: int, seed: int
    ):
        # Guards against a node that starts and doesn't find those that serve.
        async def run(fleet: VirtualFleet) -> None:
            copy = fleet.store.copy()
            lost = random.sample(sorted(fleet.nodes), random.randint(1, size))
            fleet.store.set_trouble(fleet.nodes)
            await anyio.sleep(random.uniform(0.0, 1.0))
            fleet.store.restore(copy.without_rows(lost))
            fleet.store.end_trouble()
            await anyio.sleep(ROWS_BACK_S)
            assert set(fleet.store.members) == set(fleet.nodes)

        run_fleet(monkeypatch, run, size=size, seed=seed)

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("size", [4, 25])
    def test_rows_of_nodes_that_left_are_removed_again(
        self, monkeypatch: pytest.MonkeyPatch, size: int, seed: int
    ):
        # Guards against a removal that was lost, which would bring the node back.
        async def run(fleet: VirtualFleet) -> None:
            copy = fleet.store.copy()
            gone = await let_node_leave(fleet)
            assert gone not in fleet.store.members
            await anyio.sleep(random.uniform(0.1, 2.0))
            fleet.store.restore(copy)
            fleet.store.write_again()
            await anyio.sleep(REMOVED_S)
            assert gone not in fleet.store.members

        run_fleet(monkeypatch, run, size=size, seed=seed)

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("size", [4, 25])
    def test_rows_of_nodes_that_left_are_removed_after_overlapping_restores(
        self, monkeypatch: pytest.MonkeyPatch, size: int, seed: int
    ):
        # Guards against a restore that is noticed while the rows of the era before are
        # read, and counts as followed then.
        async def run(fleet: VirtualFleet) -> None:
            copy = fleet.store.copy()
            gone = await let_node_leave(fleet)
            await anyio.sleep(random.uniform(0.1, 2.0))
            for _ in range(random.randint(2, 4)):
                fleet.store.restore(copy)
                fleet.store.write_again()
                await anyio.sleep(random.uniform(0.0, 1.5))
            await anyio.sleep(REMOVED_S)
            assert gone not in fleet.store.members

        run_fleet(monkeypatch, run, size=size, seed=seed)

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("size", [4, 25])
    def test_node_that_ended_and_whose_row_the_copy_lacks_is_dead(
        self, monkeypatch: pytest.MonkeyPatch, size: int, seed: int
    ):
        # Guards against a node that counts as a living one for good.
        async def run(fleet: VirtualFleet) -> None:
            copy = fleet.store.copy()
            gone = random.choice(sorted(fleet.nodes))
            fleet.kill(gone)
            fleet.store.restore(copy.without_rows([gone]))
            await anyio.sleep(DEAD_S)
            for node in fleet.nodes.values():
                assert gone not in {m.node_id for m in node.state.directory.live()}

        run_fleet(monkeypatch, run, size=size, seed=seed)


class TestSilentStore:
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("size", [2, 4, 25])
    def test_row_of_a_node_that_left_meanwhile_is_removed_afterwards(
        self, monkeypatch: pytest.MonkeyPatch, size: int, seed: int
    ):
        # Guards against a node that left while the store was silent, and is in use
        # again after the others have restarted.
        async def run(fleet: VirtualFleet) -> None:
            fleet.store.set_trouble(fleet.nodes, silent=random.random() < 0.5)
            gone = await let_node_leave(fleet)
            await anyio.sleep(random.uniform(0.0, 20.0))
            fleet.store.end_trouble()
            await anyio.sleep(REMOVED_AFTER_SILENCE_S)
            assert gone not in fleet.store.members

        run_fleet(monkeypatch, run, size=size, seed=seed)


def count_calls(fleet: VirtualFleet, *, since: float) -> list[int]:
    """Return the number of calls to the store in each second since then."""
    seconds = [int(at - since) for at, _ in fleet.store.calls if at >= since]
    return [seconds.count(second) for second in range(max(seconds) + 1)]


class TestLoad:
    @pytest.mark.parametrize("written_after_s", [0.0, 5.0])
    def test_large_fleet_stays_within_the_rate_limit_of_the_store(
        self, monkeypatch: pytest.MonkeyPatch, written_after_s: float
    ):
        # Guards against nodes that all read the store again and again as it returns.
        async def run(fleet: VirtualFleet) -> None:
            copy = fleet.store.copy()
            fleet.store.publish()
            await anyio.sleep(PROPAGATION_S)
            fleet.store.set_trouble(fleet.nodes)
            await anyio.sleep(1.0)
            fleet.store.restore(copy)
            fleet.store.end_trouble()
            restored_at = read_virtual_clock()
            await anyio.sleep(written_after_s)
            fleet.store.write_again()
            written_at = read_virtual_clock()
            await anyio.sleep(PROPAGATION_S)
            assert find_versions(fleet) == {fleet.store.published[-1].version}
            now = read_virtual_clock()
            for node in fleet.nodes.values():
                assert now - node.state.freshness.age_s(now) >= written_at
            await anyio.sleep(10.0 - written_after_s)
            calls = count_calls(fleet, since=restored_at)
            assert max(calls) <= STORE_READS_PER_NODE_S * LARGE_FLEET

        run_fleet(monkeypatch, run, size=LARGE_FLEET, seed=1)
