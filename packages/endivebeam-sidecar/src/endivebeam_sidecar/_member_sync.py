"""Synchronization of the member rows with the platform's store."""

import random
from collections.abc import Awaitable, Callable

import anyio
from loguru import logger

from endivebeam_model import MemberState, NodeId, StorePosition

from ._clock import read_clock
from ._control_store import ControlStore, StoreUnavailableError
from ._state import FleetState
from ._store_access import StoreAccessLog
from ._store_watchers import StoreWatchers
from ._unreachable_nodes import UnreachableNodes

CHECK_PERIOD_S = 0.8
RETRY_MIN_S = 0.2
RETRY_MAX_S = 1.0
# The row of a node that is unreachable for this long is removed.
ABANDONED_AFTER_S = 12.0
# Watchers read all rows this often, in case a change did not spread by gossip.
MEMBERS_READ_PERIOD_S = 10.0
# After a restore of the store, all rows are written again within this time.
WRITE_AGAIN_S = 1.0
# A node that knows no other node reads the rows this often.
ALONE_READ_PERIOD_S = 2.0


class MemberSync:
    """Reads the rows of all members and keeps this node's own row up to date.

    ``on_known`` is called when they have been read for the first time.
    """

    def __init__(
        self,
        *,
        fleet: FleetState,
        store: ControlStore,
        unreachable: UnreachableNodes,
        watchers: StoreWatchers,
        access: StoreAccessLog,
        on_known: Callable[[], None],
    ) -> None:
        self._on_known = on_known
        self._fleet = fleet
        self._store = store
        self._unreachable = unreachable
        self._watchers = watchers
        self._access = access
        self._own_changed = anyio.Event()
        self._restored = anyio.Event()
        self._row_positions: dict[NodeId, StorePosition] = {}
        # Set until the rows are read after a restore of the store.
        self._was_restored = False

    async def run(self) -> None:
        """Synchronize with the store until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_with_backoff, self._follow_members)
            tasks.start_soon(self._run_with_backoff, self._write_own)
            tasks.start_soon(self._follow_restores)

    def write_soon(self) -> None:
        """Write this node's changed record to the store soon."""
        self._own_changed.set()

    def write_again_soon(self) -> None:
        """Write this node's row again, as the store came back from an older copy."""
        self._restored.set()

    async def remove_own(self) -> None:
        """Remove this node's row during a planned stop."""
        own = self._fleet.own.node_id
        position = self._row_positions.get(own)
        if position is None:
            return
        try:
            removed = await self._store.remove_member(own, position=position)
            if not removed:
                await self._remove_restored_own()
        except StoreUnavailableError as error:
            self._access.record_unavailable(error)

    async def _remove_restored_own(self) -> None:
        """Remove this node's row at the version it has in the copy of the store."""
        own = self._fleet.own
        result = await self._store.read_members()
        self._access.record_response(result.position.era)
        for row in result.rows:
            if row.node_id == own.node_id and row.member.incarnation <= own.incarnation:
                await self._store.remove_member(own.node_id, position=row.position)

    async def _run_with_backoff(self, loop: Callable[[], Awaitable[None]]) -> None:
        delay_s = RETRY_MIN_S
        while True:
            started = read_clock()
            try:
                await loop()
            except StoreUnavailableError as error:
                self._access.record_unavailable(error)
            if read_clock() - started > RETRY_MAX_S:
                delay_s = RETRY_MIN_S
            await anyio.sleep(delay_s * random.uniform(0.7, 1.3))
            delay_s = min(RETRY_MAX_S, delay_s * 1.6)

    async def _follow_restores(self) -> None:
        while True:
            await self._restored.wait()
            self._restored = anyio.Event()
            # All nodes write again, and share the rate of the store.
            await anyio.sleep(random.uniform(0.0, WRITE_AGAIN_S))
            self.write_soon()
            self._was_restored = True

    async def _follow_members(self) -> None:
        while True:
            # A restore that is noticed during this pass needs one more.
            self._was_restored = False
            await self._read_members()
            await self._remove_abandoned()
            await self._remove_departed()
            await self._wait_to_read_members()

    async def _wait_to_read_members(self) -> None:
        started = read_clock()
        while True:
            await anyio.sleep(CHECK_PERIOD_S)
            waited_s = read_clock() - started
            alone = len(self._fleet.directory) < 2
            if self._was_restored and self._watchers.includes_self():
                return
            if waited_s > MEMBERS_READ_PERIOD_S and self._watchers.includes_self():
                return
            if waited_s > ALONE_READ_PERIOD_S and (alone or self._has_abandoned()):
                return

    async def _read_members(self) -> None:
        result = await self._store.read_members()
        self._access.record_response(result.position.era)
        fleet = self._fleet
        own = fleet.own.node_id
        self._row_positions = {row.node_id: row.position for row in result.rows}
        for row in result.rows:
            fleet.adopt_member(row.member)
            if row.node_id == own and row.member != fleet.own:
                self.write_soon()
        others = sum(member.node_id != own for member in fleet.directory.live())
        fleet.heard_others.record_others(others)
        if not fleet.knows_members:
            fleet.knows_members = True
            self._on_known()

    async def _write_own(self) -> None:
        while True:
            await self._own_changed.wait()
            self._own_changed = anyio.Event()
            own = self._fleet.own
            if own.state in (MemberState.JOINING, MemberState.LEFT):
                continue
            try:
                position = await self._store.write_member(own)
                self._access.record_response(position.era)
            except StoreUnavailableError:
                self._own_changed.set()
                raise
            first = own.node_id not in self._row_positions
            self._row_positions[own.node_id] = position
            if first:
                # Each node reads after it wrote, so of two new nodes at least one sees
                # the row of the other.
                await self._read_members()

    def _has_abandoned(self) -> bool:
        if not self._watchers.is_first():
            return False
        unreachable_ids = self._unreachable.longer_than(ABANDONED_AFTER_S)
        return any(node_id in self._row_positions for node_id in unreachable_ids)

    async def _remove_abandoned(self) -> None:
        if not self._watchers.is_first():
            return
        for node_id in self._unreachable.longer_than(ABANDONED_AFTER_S):
            position = self._row_positions.pop(node_id, None)
            if position is not None:
                logger.bind(peer=node_id, silent_s=ABANDONED_AFTER_S).info(
                    "members: Removing the row of an unreachable node."
                )
                await self._store.remove_member(node_id, position=position)
            # The row may be missing: a copy lacked it, or the response to its removal
            # was lost.
            self._fleet.declare_dead(node_id)

    async def _remove_departed(self) -> None:
        """Remove the rows that nodes left behind or an older copy has brought back.

        A node that leaves removes its row itself, if the store answers it.
        """
        if not self._watchers.is_first():
            return
        for node_id, position in tuple(self._row_positions.items()):
            known = self._fleet.directory.find(node_id)
            if known is None or known.state is not MemberState.LEFT:
                continue
            del self._row_positions[node_id]
            await self._store.remove_member(node_id, position=position)
