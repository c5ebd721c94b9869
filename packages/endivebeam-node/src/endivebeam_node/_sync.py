"""Keeps members and configuration in step with peers and the platform."""

import random
from collections.abc import Sequence

import anyio
from loguru import logger
from returns.result import Success

from endivebeam_model import Address, ConfigVersion, LogEntry, Member
from endivebeam_store import ConfigLog, Seed, Table, read_seeds, write_seed
from endivebeam_wire import (
    AskEntries,
    Entries,
    MemberList,
    StreamFullError,
    StreamLostError,
    SyncMembers,
)

from ._config import ConfigCopy
from ._members import Members
from ._peers import Peers, UnreachableError

SYNC_PERIOD_S = 0.5
POLL_PERIOD_S = 1.0
SEED_PERIOD_S = 10.0
SYNC_TIMEOUT_S = 2.0
FANOUT = 3


class Synchronizer:
    """Exchanges member records and configuration entries with random peers."""

    def __init__(
        self,
        *,
        members: Members,
        config: ConfigCopy,
        peers: Peers,
        table: Table,
        seeds: Sequence[Address],
        rng: random.Random,
    ) -> None:
        self._members = members
        self._config = config
        self._peers = peers
        self._table = table
        self._log = ConfigLog(table=table)
        self._seeds = list(seeds)
        self._rng = rng

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._sync_members)
            tasks.start_soon(self._poll_head)
            tasks.start_soon(self._refresh_seeds)

    def spread(self, entry: LogEntry) -> None:
        """Apply an entry that this node committed."""
        self._config.apply([entry])

    async def pull_entries(self, address: Address, version: ConfigVersion) -> None:
        """Fetch the entries up to a version from a peer that has them."""
        if version <= self._config.version:
            return
        with anyio.move_on_after(SYNC_TIMEOUT_S):
            try:
                stream = await self._peers.connect(address)
                reply = await stream.ask(
                    AskEntries(request_id=stream.next_id(), after=self._config.version)
                )
            except (UnreachableError, StreamLostError, StreamFullError):
                return
            if isinstance(reply, Entries):
                self._config.apply(reply.entries)

    async def _sync_members(self) -> None:
        while True:
            live = self._members.live()
            chosen = self._rng.sample(live, min(FANOUT, len(live)))
            addresses = [member.address for member in chosen]
            if not addresses:
                addresses = self._seeds
            for address in addresses:
                await self._exchange(address, chosen)
            await anyio.sleep(SYNC_PERIOD_S)

    async def _exchange(self, address: Address, chosen: Sequence[Member]) -> None:
        try:
            with anyio.fail_after(SYNC_TIMEOUT_S):
                stream = await self._peers.connect(address)
                reply = await stream.ask(
                    SyncMembers(
                        request_id=stream.next_id(), members=self._members.all()
                    )
                )
        except (StreamLostError, StreamFullError):
            return
        except (UnreachableError, TimeoutError):
            for member in chosen:
                if member.address == address:
                    self._members.mark_dead(member)
                    logger.warning("members: node {} is dead", member.node_id)
            return
        if isinstance(reply, MemberList):
            self._members.merge(reply.members)

    async def _poll_head(self) -> None:
        while True:
            match await self._log.read_head():
                case Success(head):
                    await self._read_up_to(head)
            await anyio.sleep(POLL_PERIOD_S)

    async def _read_up_to(self, head: ConfigVersion) -> None:
        while self._config.version < head:
            following = ConfigVersion(self._config.version + 1)
            match await self._log.read_entry(following):
                case Success(LogEntry() as entry):
                    self._config.apply([entry])
                case _:
                    return

    async def _refresh_seeds(self) -> None:
        while True:
            local = self._members.local
            match await read_seeds(self._table):
                case Success(seeds):
                    self._seeds = [
                        s.address for s in seeds if s.address != local.address
                    ] or self._seeds
            seed = Seed(address=local.address, domain=local.domain)
            await write_seed(self._table, seed, slot=self._rng.randrange(4))
            await anyio.sleep(SEED_PERIOD_S)
