"""Loops that follow the platform's store: configuration and member rows."""

import random
from collections.abc import Awaitable, Callable

import anyio
from loguru import logger

from endivebeam_model import MemberState, NodeId

from ._clock import read_clock
from ._metrics import SidecarMetrics
from ._state import FleetKnowledge
from ._store_port import (
    ConfigReading,
    ControlStore,
    HistoryLostError,
    MemberReading,
    StoreUnavailableError,
)

# The end of each watch renews the evidence that the configuration is the newest.
CONFIG_WAIT_S = 2.0
MEMBERS_WAIT_S = 25.0
RETRY_MIN_S = 0.2
RETRY_MAX_S = 1.0
# A node that nobody reached for this long has its row removed.
ABANDONED_S = 12.0
HOUSEKEEPING_PERIOD_S = 2.0


class StoreSync:
    """Follows the store, and keeps this node's own row current."""

    def __init__(
        self,
        *,
        knowledge: FleetKnowledge,
        store: ControlStore,
        metrics: SidecarMetrics,
    ) -> None:
        self._knowledge = knowledge
        self._store = store
        self._metrics = metrics
        self._connected: bool | None = None
        self._own_changed = anyio.Event()
        self._row_versions: dict[NodeId, int] = {}
        self._lost_since: dict[NodeId, float] = {}

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._repeat, self._follow_config)
            tasks.start_soon(self._repeat, self._follow_members)
            tasks.start_soon(self._repeat, self._write_own)
            tasks.start_soon(self._remove_abandoned)

    def write_soon(self) -> None:
        """Write this node's own record, because it changed."""
        self._own_changed.set()

    async def remove_own(self) -> None:
        """Remove this node's row before a planned stop ends."""
        own = self._knowledge.own.node_id
        version = self._row_versions.get(own)
        if version is None:
            return
        try:
            await self._store.remove_member(own, version=version)
        except StoreUnavailableError as error:
            self._note_lost(error)

    def note_lost(self, node_id: NodeId) -> None:
        """Note that a node could not be reached."""
        self._lost_since.setdefault(node_id, read_clock())

    def note_heard(self, node_id: NodeId) -> None:
        """Note that a node sent something."""
        self._lost_since.pop(node_id, None)

    async def _repeat(self, follow: Callable[[], Awaitable[None]]) -> None:
        delay_s = RETRY_MIN_S
        while True:
            started = read_clock()
            try:
                await follow()
            except StoreUnavailableError as error:
                self._note_lost(error)
            except HistoryLostError:
                logger.info("store: The history was dropped; reading anew.")
                continue
            if read_clock() - started > RETRY_MAX_S:
                delay_s = RETRY_MIN_S
            await anyio.sleep(delay_s * random.uniform(0.7, 1.3))
            delay_s = min(RETRY_MAX_S, delay_s * 1.6)

    async def _follow_config(self) -> None:
        sent_at = read_clock()
        reading = await self._store.read_config()
        self._take_config(reading, sent_at)
        while True:
            sent_at = read_clock()
            reading = await self._store.watch_config(
                reading.position, wait_s=CONFIG_WAIT_S
            )
            self._take_config(reading, sent_at)

    def _take_config(self, reading: ConfigReading, sent_at: float) -> None:
        self._note_answer()
        knowledge = self._knowledge
        if reading.config is not None:
            knowledge.adopt_config(reading.config, source="store")
        if reading.is_newest and knowledge.index is not None:
            knowledge.freshness.note_store(
                sent_at=sent_at,
                received_at=read_clock(),
                store_now=reading.store_now,
            )

    async def _follow_members(self) -> None:
        reading = await self._store.read_members()
        self._take_members(reading)
        while True:
            reading = await self._store.watch_members(
                reading.position, wait_s=MEMBERS_WAIT_S
            )
            self._take_members(reading)

    def _take_members(self, reading: MemberReading) -> None:
        self._note_answer()
        self._knowledge.knows_members = True
        own = self._knowledge.own.node_id
        for row in reading.rows:
            if row.member is None:
                self._row_versions.pop(row.node_id, None)
                self._knowledge.declare_dead(row.node_id)
                continue
            self._row_versions[row.node_id] = row.version
            self._knowledge.adopt_member(row.member)
            if row.node_id == own and row.member != self._knowledge.own:
                self.write_soon()

    async def _write_own(self) -> None:
        while True:
            await self._own_changed.wait()
            self._own_changed = anyio.Event()
            own = self._knowledge.own
            if own.state is MemberState.JOINING:
                continue
            try:
                version = await self._store.write_member(own)
            except StoreUnavailableError:
                self._own_changed.set()
                raise
            self._row_versions[own.node_id] = version

    async def _remove_abandoned(self) -> None:
        while True:
            await anyio.sleep(HOUSEKEEPING_PERIOD_S * random.uniform(0.7, 1.3))
            now = read_clock()
            for node_id, since in list(self._lost_since.items()):
                if now - since < ABANDONED_S:
                    continue
                version = self._row_versions.pop(node_id, None)
                if version is None:
                    continue
                logger.bind(peer=node_id, silent_s=round(now - since, 1)).info(
                    "members: The row of an abandoned node is removed."
                )
                try:
                    await self._store.remove_member(node_id, version=version)
                except StoreUnavailableError as error:
                    self._note_lost(error)

    def _note_answer(self) -> None:
        self._metrics.store_calls.labels("answered").inc()
        if self._connected is not True:
            self._connected = True
            logger.info("store: The store answers.")

    def _note_lost(self, error: StoreUnavailableError) -> None:
        self._metrics.store_calls.labels("failed").inc()
        if self._connected is not False:
            self._connected = False
            logger.bind(reason=str(error)).warning("store: The store was lost.")
