"""Joins the fleet through seed rows of the table and seed addresses in settings."""

import random
from collections.abc import Sequence

import anyio
from returns.result import Success

from endivebeam_model import Address
from endivebeam_store import SEEDS_PER_DOMAIN, Seed, Table, read_seeds, write_seed
from endivebeam_wire import PeerStream

from ._members import Members
from ._overlay import Overlay
from ._peers import Peers, UnreachableError

JOIN_PERIOD_S = 1.0
SEED_PERIOD_S = 60.0
STARTUP_SEED_PERIOD_S = 5.0
STARTUP_S = 60.0
MAX_CONTACTED = 4


class Joining:
    """Joins the fleet and maintains the seed rows through which other nodes join."""

    def __init__(
        self,
        *,
        members: Members,
        overlay: Overlay,
        peers: Peers,
        table: Table,
        seeds: Sequence[Address],
        rng: random.Random,
    ) -> None:
        self._members = members
        self._overlay = overlay
        self._peers = peers
        self._table = table
        self._settings_seeds = list(seeds)
        self._rng = rng
        self._rank: int | None = None
        self._written_at: float | None = None
        self._started_at = anyio.current_time()

    async def run(self) -> None:
        """Join, and refresh the seed rows until cancelled."""
        while True:
            without_peers = not self._members.has_peer()
            if without_peers or self._is_due():
                seeds = await self._read_seeds()
                await self._write_seed()
                await self._contact_seeds(seeds, without_peers)
            await anyio.sleep(JOIN_PERIOD_S * self._rng.uniform(0.5, 1.0))

    def _is_due(self) -> bool:
        rank = self._members.rank(SEEDS_PER_DOMAIN)
        if rank is None:
            self._rank = None
            return False
        if rank != self._rank or self._written_at is None:
            return True
        # Nodes that start together may at first form a group of their own. Reading
        # the seeds more often after the start soon merges it with others.
        now = anyio.current_time()
        starting = now - self._started_at < STARTUP_S
        period_s = STARTUP_SEED_PERIOD_S if starting else SEED_PERIOD_S
        return now - self._written_at >= period_s

    async def _read_seeds(self) -> list[Seed]:
        match await read_seeds(self._table):
            case Success(seeds):
                return list(seeds)
        return []

    async def _write_seed(self) -> None:
        rank = self._members.rank(SEEDS_PER_DOMAIN)
        if rank is None or not self._is_due():
            return
        local = self._members.local
        seed = Seed(address=local.address, domain=local.domain)
        match await write_seed(self._table, seed, slot=rank):
            case Success(_):
                self._rank = rank
                self._written_at = anyio.current_time()

    async def _contact_seeds(self, seeds: Sequence[Seed], without_peers: bool) -> None:
        """Contact seeds that are not live members, or all seeds if no peer answers.

        A contact compares member records and exchanges those that differ.

        Nodes that started at the same time may form separate groups. The nodes
        that refresh seed rows read the seeds of all groups, which merges the groups.
        """
        local = self._members.local
        known = {member.address for member in self._members.live()}
        addresses = [seed.address for seed in seeds] + self._settings_seeds
        candidates = {a for a in addresses if a != local.address}
        if not without_peers:
            candidates -= known
        for address in self._rng.sample(sorted(candidates, key=str), len(candidates))[
            :MAX_CONTACTED
        ]:
            await self._contact(address)

    async def _contact(self, address: Address) -> None:
        stream: PeerStream
        try:
            stream = await self._peers.connect(address)
        except UnreachableError:
            return
        if stream.remote is not None:
            await self._overlay.run_anti_entropy(stream)
