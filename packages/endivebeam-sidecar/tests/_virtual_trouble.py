"""Random trouble beside a fleet in virtual time, and what must hold meanwhile."""

import math
import random
from collections.abc import Awaitable, Callable, Iterable

import anyio

from endivebeam_model import MemberState, NodeId

from ._virtual_fleet import VirtualFleet, VirtualNode
from ._virtual_time import read_virtual_clock

# After trouble a node has this long until it must keep the bound again.
STABILITY_S = 3.0
# Time in which rows that lapsed are back after the store is, by the platform's pages.
ROWS_BACK_S = 2.0
CHECK_PERIOD_S = 0.01
KNOWN_PERIOD_S = 0.05
# At most one node in this many is away at a time after it left.
NODES_PER_DEPARTURE = 4


class Trouble:
    """Random trouble of the store, of links and of processes, and changes beside it.

    ``violations`` says what was found while it ran.
    """

    def __init__(self, fleet: VirtualFleet, *, bound_s: float) -> None:
        self._fleet = fleet
        self._bound_s = bound_s
        self.violations: list[str] = []
        self._highest: dict[tuple[NodeId, float], int] = {}
        # Nodes that have left, and those of them that were started again.
        self._left: set[NodeId] = set()
        self._returned: set[NodeId] = set()
        # When a returned node that lacks the newest version was unknown to the others.
        self._unknown_at: dict[tuple[NodeId, float], float] = {}
        self._publishes = True
        # When the store came back last with what operators had written.
        self._restored_at = -math.inf
        self._starts = 1

    async def run(self, *, length_s: float) -> None:
        """Run all kinds of trouble for a while."""
        await self._run_loops(
            self._trouble_store,
            self._cut_links,
            self._restart_nodes,
            self._publish,
            length_s=length_s,
        )

    async def run_drills(self, *, late: bool, length_s: float) -> None:
        """Run all kinds of trouble and restores of the store for a while.

        If operators write again ``late``, there is always a node that knows what the
        copy lacks, and it is in touch with the others.
        """
        if late:
            self._publishes = False
            loops = [self._lose_changes]
        else:
            loops = [self._restore, self._publish, self._cut_links, self._end_all]
        await self._run_loops(
            self._trouble_store,
            self._restart_nodes,
            self._let_nodes_leave,
            self._check_rows,
            *loops,
            length_s=length_s,
        )

    async def _run_loops(
        self, *loops: Callable[[], Awaitable[None]], length_s: float
    ) -> None:
        with anyio.move_on_after(length_s):
            async with anyio.create_task_group() as tasks:
                for loop in (*loops, self._check):
                    tasks.start_soon(loop)

    async def _trouble_store(self) -> None:
        while True:
            await anyio.sleep(random.uniform(0.5, 6))
            names = sorted(self._fleet.nodes)
            count = int(len(names) * random.uniform(0.2, 0.95))
            self._fleet.store.set_trouble(
                random.sample(names, count), silent=random.random() < 0.6
            )
            if self._publishes and random.random() < 0.7:
                await anyio.sleep(random.uniform(0.01, 0.2))
                self._fleet.store.publish()
            await anyio.sleep(random.uniform(0.3, 6))
            self._fleet.store.end_trouble()

    async def _cut_links(self) -> None:
        while True:
            await anyio.sleep(random.uniform(2, 10))
            names = sorted(self._fleet.nodes)
            count = min(random.randint(1, 3), len(names))
            self._fleet.set_cut(random.sample(names, count))
            await anyio.sleep(random.uniform(0.3, 5))
            self._fleet.set_cut(())

    async def _restart_nodes(self) -> None:
        while True:
            await anyio.sleep(random.uniform(1, 8))
            names = sorted(self._fleet.nodes)
            count = random.randint(1, max(1, len(names) // 3))
            restarted = random.sample(names, min(count, len(names)))
            await self._restart(restarted)

    async def _restart(self, node_ids: Iterable[NodeId]) -> None:
        for node_id in node_ids:
            self._fleet.kill(node_id)
        try:
            await anyio.sleep(random.uniform(0.2, 2))
        finally:
            self._starts += 1
            for node_id in node_ids:
                self._start(node_id)

    def _start(self, node_id: NodeId) -> None:
        if node_id in self._left:
            self._returned.add(node_id)
        self._fleet.start(node_id, incarnation=self._starts)

    async def _end_all(self) -> None:
        """End all nodes at once at times, and start them again."""
        while True:
            await anyio.sleep(random.uniform(10, 30))
            await self._restart(sorted(self._fleet.nodes))

    async def _let_nodes_leave(self) -> None:
        """Let one node after the other leave; many of them return."""
        most = len(self._fleet.nodes) // NODES_PER_DEPARTURE
        away: list[NodeId] = []
        while True:
            await anyio.sleep(random.uniform(1, 6))
            if away and random.random() < 0.6:
                self._starts += 1
                self._start(away.pop(random.randrange(len(away))))
            elif self._fleet.nodes and len(away) < most:
                node = random.choice(list(self._fleet.nodes.values()))
                self._left.add(node.node_id)
                try:
                    await node.leave()
                finally:
                    if self._fleet.nodes.get(node.node_id) is node:
                        self._fleet.kill(node.node_id)
                        away.append(node.node_id)

    async def _restore(self) -> None:
        """Restore the store again and again; operators write again at once."""
        store = self._fleet.store
        while True:
            copy = store.copy()
            await anyio.sleep(random.uniform(0.5, 8))
            away_s = random.choice([0.0, random.uniform(0.0, 1.0)])
            if away_s:
                store.set_trouble(self._fleet.nodes, silent=random.random() < 0.5)
                await anyio.sleep(away_s)
            for _ in range(random.choice([1, 1, 2])):
                store.restore(copy)
                store.write_again()
                if away_s:
                    store.end_trouble()
                self._restored_at = read_virtual_clock()
                await anyio.sleep(random.uniform(0.0, 1.5))

    async def _lose_changes(self) -> None:
        """Lose changes that all nodes have; operators write them again later."""
        store = self._fleet.store
        while True:
            await anyio.sleep(random.uniform(1, 8))
            copy = store.copy()
            store.publish()
            while any(n.version < self._newest for n in self._fleet.nodes.values()):
                await anyio.sleep(KNOWN_PERIOD_S)
            store.restore(copy)
            self._restored_at = read_virtual_clock()
            await anyio.sleep(random.uniform(0.0, 6.0))
            store.write_again()

    @property
    def _newest(self) -> int:
        return self._fleet.store.published[-1].version

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

    async def _check_rows(self) -> None:
        """Check that nodes which reach the store have a row there."""
        while True:
            await anyio.sleep(CHECK_PERIOD_S)
            now = read_virtual_clock()
            if now - self._restored_at <= ROWS_BACK_S:
                continue
            for node in self._fleet.nodes.values():
                serves = node.state.own.state is MemberState.SERVING
                sound = self._is_linked(node, now) and self._reaches_store(node, now)
                if serves and sound and node.node_id not in self._fleet.store.members:
                    self.violations.append(f"{now:.2f}: {node.node_id} has no row")

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
        """Return whether a node reaches the store or a node that reaches it.

        A node that returned after it left, and doesn't reach the store, is unknown.
        """
        life = (node.node_id, node.started_at)
        if node.node_id in self._returned and not (
            self._reaches_store(node, now) or self._is_known(node)
        ):
            self._unknown_at[life] = now
        is_new = now - self._unknown_at.get(life, -math.inf) <= STABILITY_S
        if is_new or not self._is_linked(node, now):
            return False
        return any(
            self._is_linked(other, now) and self._reaches_store(other, now)
            for other in self._fleet.nodes.values()
        )

    def _is_known(self, node: VirtualNode) -> bool:
        return any(
            member.node_id == node.node_id
            for other in self._fleet.nodes.values()
            if other is not node
            for member in other.state.directory.live()
        )

    def _is_linked(self, node: VirtualNode, now: float) -> bool:
        changed_at = self._fleet.cut_changed_at.get(node.node_id, 0.0)
        quiet_s = now - max(node.started_at, changed_at)
        return node.node_id not in self._fleet.cut and quiet_s > STABILITY_S

    def _reaches_store(self, node: VirtualNode, now: float) -> bool:
        store = self._fleet.store
        quiet_s = now - store.changed_at.get(node.node_id, 0.0)
        return store.answers(node.node_id) and quiet_s > STABILITY_S
