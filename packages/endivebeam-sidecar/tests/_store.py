"""The platform's store in memory, and one node's access to it."""

from collections.abc import Awaitable
from typing import TypeVar

import anyio

from endivebeam_fleet import FleetConfig
from endivebeam_model import Member, NodeId, StoreEra, StorePosition, StoreVersion
from endivebeam_sidecar import (
    ConfigReadResult,
    MemberReadResult,
    StoredMember,
    StoreUnavailableError,
    read_clock,
)

from ._configs import make_config

T = TypeVar("T")


class FakeStore:
    """The platform's store in memory; it can be unavailable to all or some nodes."""

    def __init__(self) -> None:
        self.config: FleetConfig | None = make_config()
        self.members: dict[NodeId, tuple[Member, StorePosition]] = {}
        self.position = StorePosition(StoreEra(1), StoreVersion(1))
        self.is_unavailable = False
        self.members_unavailable = False
        self.cut_off: set[NodeId] = set()
        self._changed = anyio.Event()

    def put_config(self, config: FleetConfig) -> None:
        self.config = config
        self._mark_changed()

    async def read_config(self, *, timeout_s: float) -> ConfigReadResult:
        await self._check_available()
        return self._config_result()

    async def watch_config(
        self, position: StorePosition, *, wait_s: float, timeout_s: float
    ) -> ConfigReadResult:
        await self._wait(position, wait_s)
        return self._config_result()

    async def read_members(self) -> MemberReadResult:
        await self._check_available()
        if self.members_unavailable:
            raise StoreUnavailableError("the members cannot be read")
        return self._member_result()

    async def write_member(self, member: Member) -> StorePosition:
        await self._check_available()
        self._mark_changed()
        self.members[member.node_id] = (member, self.position)
        return self.position

    async def remove_member(self, node_id: NodeId, *, position: StorePosition) -> bool:
        await self._check_available()
        _, stored = self.members.get(node_id, (None, None))
        if stored is None or stored.version != position.version:
            return False
        del self.members[node_id]
        self._mark_changed()
        return True

    async def _check_available(self) -> None:
        await anyio.lowlevel.checkpoint()
        if self.is_unavailable:
            raise StoreUnavailableError("the store is unavailable")

    async def _wait(self, position: StorePosition, wait_s: float) -> None:
        await self._check_available()
        with anyio.move_on_after(wait_s):
            while self.position.version <= position.version:
                await self._changed.wait()
        await self._check_available()

    def _mark_changed(self) -> None:
        version = StoreVersion(self.position.version + 1)
        self.position = StorePosition(self.position.era, version)
        self._changed.set()
        self._changed = anyio.Event()

    def _config_result(self) -> ConfigReadResult:
        return ConfigReadResult(
            config=self.config, position=self.position, store_now=read_clock()
        )

    def _member_result(self) -> MemberReadResult:
        rows = tuple(
            StoredMember(node_id=n, member=m, position=p)
            for n, (m, p) in self.members.items()
        )
        return MemberReadResult(position=self.position, rows=rows)


class StoreView:
    """One node's access to the store; every call fails once the node is cut off."""

    def __init__(self, store: FakeStore, node_id: NodeId) -> None:
        self._store = store
        self._node_id = node_id

    async def read_config(self, *, timeout_s: float) -> ConfigReadResult:
        return await self._check_access(self._store.read_config(timeout_s=timeout_s))

    async def watch_config(
        self, position: StorePosition, *, wait_s: float, timeout_s: float
    ) -> ConfigReadResult:
        return await self._check_access(
            self._store.watch_config(position, wait_s=wait_s, timeout_s=timeout_s)
        )

    async def read_members(self) -> MemberReadResult:
        return await self._check_access(self._store.read_members())

    async def write_member(self, member: Member) -> StorePosition:
        return await self._check_access(self._store.write_member(member))

    async def remove_member(self, node_id: NodeId, *, position: StorePosition) -> bool:
        call = self._store.remove_member(node_id, position=position)
        return await self._check_access(call)

    async def _check_access(self, call: Awaitable[T]) -> T:
        result = await call
        if self._node_id in self._store.cut_off:
            raise StoreUnavailableError("the store rejects this node")
        return result
