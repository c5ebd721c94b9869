"""The platform's store in virtual time, and the access of single nodes to it."""

import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple, TypeVar

import anyio

from endivebeam_fleet import FleetConfig
from endivebeam_model import (
    ConfigVersion,
    Member,
    NodeId,
    StoreEra,
    StorePosition,
    StoreVersion,
)
from endivebeam_sidecar import (
    ConfigReadResult,
    HistoryLostError,
    MemberReadResult,
    StoredMember,
    StoreUnavailableError,
)

from ._virtual_time import read_virtual_clock

T = TypeVar("T")
STORE_DELAY_S = (0.001, 0.005)
# Timeout of a call to the store beyond the time for which the call waits there.
STORE_TIMEOUT_S = 1.5


@dataclass
class Published:
    """A version and when the store acknowledged it."""

    version: int
    at: float


class StoreCopy(NamedTuple):
    """The contents of the store at a version."""

    version: StoreVersion
    config: FleetConfig
    config_version: StoreVersion
    members: dict[NodeId, tuple[Member, StorePosition]]

    def without_rows(self, nodes: Iterable[NodeId]) -> "StoreCopy":
        """Return the same contents without the rows of some nodes."""
        lost = set(nodes)
        rows = {n: row for n, row in self.members.items() if n not in lost}
        return self._replace(members=rows)


class VirtualStore:
    """The platform's store; the sets hold the nodes that have trouble with it."""

    def __init__(self) -> None:
        self.position = StorePosition(StoreEra(1), StoreVersion(1))
        self.config = FleetConfig(version=ConfigVersion(1))
        # Version of the store at which the configuration was written last.
        self._config_version = self.position.version
        self._history_start = StoreVersion(0)
        self.published = [Published(1, read_virtual_clock())]
        self.members: dict[NodeId, tuple[Member, StorePosition]] = {}
        self.silent: set[NodeId] = set()
        self.refused: set[NodeId] = set()
        self.calls: list[tuple[float, NodeId]] = []
        # When the trouble of a node with the store began or ended last.
        self.changed_at: dict[NodeId, float] = {}
        self._changed = anyio.Event()

    def publish(self) -> None:
        """Acknowledge a new version."""
        version = self.published[-1].version + 1
        self.published.append(Published(version, read_virtual_clock()))
        self.write_again()

    def write_again(self) -> None:
        """Write the newest version, which the store may have lost."""
        self._mark_changed()
        version = ConfigVersion(self.published[-1].version)
        self.config = FleetConfig(version=version)
        self._config_version = self.position.version

    def copy(self) -> StoreCopy:
        """Return a copy of the present contents."""
        return StoreCopy(
            self.position.version, self.config, self._config_version, dict(self.members)
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy, in the next era and without the history."""
        self.position = StorePosition(
            StoreEra(self.position.era + 1), StoreVersion(copy.version - 1)
        )
        self._mark_changed()
        self._history_start = self.position.version
        self.config = copy.config
        self._config_version = copy.config_version
        self.members = {
            node_id: (member, StorePosition(self.position.era, written.version))
            for node_id, (member, written) in copy.members.items()
        }

    def set_trouble(self, nodes: Iterable[NodeId], *, silent: bool = True) -> None:
        """Be silent to some nodes, or refuse their calls at once."""
        for node_id in nodes:
            (self.silent if silent else self.refused).add(node_id)
            self.changed_at[node_id] = read_virtual_clock()

    def end_trouble(self) -> None:
        """Answer all nodes again."""
        for node_id in self.silent | self.refused:
            self.changed_at[node_id] = read_virtual_clock()
        self.silent, self.refused = set(), set()

    def answers(self, node_id: NodeId) -> bool:
        """Return whether a node has a sound path to the store."""
        return node_id not in self.silent and node_id not in self.refused

    def latest_before(self, at: float) -> int:
        """Return the newest version that had been acknowledged by then."""
        return max(p.version for p in self.published if p.at <= at)

    async def wait(self, position: StorePosition, wait_s: float) -> None:
        """Wait until the configuration was written after ``position``.

        Writes of other rows don't end it; a restore does if the position is lost.
        """
        with anyio.move_on_after(wait_s):
            while (
                self._has(position.version) and self._config_version <= position.version
            ):
                await self._changed.wait()

    def read_changes(self, position: StorePosition) -> FleetConfig | None:
        """Return the configuration if it was written after ``position``."""
        if position.era != self.position.era or not self._has(position.version):
            raise HistoryLostError("the position is not known")
        return self.config if self._config_version > position.version else None

    def write(self, member: Member) -> StorePosition:
        """Store the row of a member."""
        self._mark_changed()
        self.members[member.node_id] = (member, self.position)
        return self.position

    def remove(self, node_id: NodeId, version: StoreVersion) -> bool:
        """Remove the row of a member if it has this version; return whether."""
        _, stored = self.members.get(node_id, (None, None))
        if stored is None or stored.version != version:
            return False
        del self.members[node_id]
        self._mark_changed()
        return True

    def _has(self, version: StoreVersion) -> bool:
        """Return whether the changes after a version are known."""
        return self._history_start <= version <= self.position.version

    def _mark_changed(self) -> None:
        version = StoreVersion(self.position.version + 1)
        self.position = StorePosition(self.position.era, version)
        self._changed.set()
        self._changed = anyio.Event()


class StoreAccess:
    """The ``ControlStore`` of one node."""

    def __init__(self, store: VirtualStore, node_id: NodeId) -> None:
        self._store = store
        self._node_id = node_id

    async def read_config(self, *, timeout_s: float) -> ConfigReadResult:
        return await self._call(self._read_config, timeout_s)

    async def watch_config(
        self, position: StorePosition, *, wait_s: float, timeout_s: float
    ) -> ConfigReadResult:
        async def watch() -> ConfigReadResult:
            await self._store.wait(position, wait_s)
            return self._make_result(self._store.read_changes(position))

        return await self._call(watch, wait_s + timeout_s)

    async def read_members(self) -> MemberReadResult:
        async def read() -> MemberReadResult:
            rows = tuple(
                StoredMember(node_id=n, member=m, position=p)
                for n, (m, p) in self._store.members.items()
            )
            return MemberReadResult(position=self._store.position, rows=rows)

        return await self._call(read, STORE_TIMEOUT_S)

    async def write_member(self, member: Member) -> StorePosition:
        async def write() -> StorePosition:
            return self._store.write(member)

        return await self._call(write, STORE_TIMEOUT_S)

    async def remove_member(self, node_id: NodeId, *, position: StorePosition) -> bool:
        async def remove() -> bool:
            return self._store.remove(node_id, position.version)

        return await self._call(remove, STORE_TIMEOUT_S)

    async def _read_config(self) -> ConfigReadResult:
        return self._make_result(self._store.config)

    def _make_result(self, config: FleetConfig | None) -> ConfigReadResult:
        return ConfigReadResult(
            config=config,
            position=self._store.position,
            store_now=read_virtual_clock() + 1000.0,
        )

    async def _call(self, run: Callable[[], Awaitable[T]], timeout_s: float) -> T:
        self._store.calls.append((read_virtual_clock(), self._node_id))
        try:
            with anyio.fail_after(timeout_s):
                await anyio.sleep(random.uniform(*STORE_DELAY_S))
                await self._check_path()
                result = await run()
                await anyio.sleep(random.uniform(*STORE_DELAY_S))
                await self._check_path()
        except TimeoutError as error:
            raise StoreUnavailableError("the call timed out") from error
        return result

    async def _check_path(self) -> None:
        if self._node_id in self._store.refused:
            raise StoreUnavailableError("got status 503")
        if self._node_id in self._store.silent:
            await anyio.sleep_forever()
