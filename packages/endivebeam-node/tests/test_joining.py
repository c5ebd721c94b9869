"""Tests of which seeds a node contacts."""

import random
from typing import cast

import anyio
from returns.result import Result, Success

from endivebeam_membership import RumorBatch
from endivebeam_model import Address, DomainName
from endivebeam_node._config import ConfigCopy
from endivebeam_node._joining import SEED_PERIOD_S, Joining
from endivebeam_node._members import Members
from endivebeam_node._overlay import Overlay
from endivebeam_node._peers import Peers, UnreachableError
from endivebeam_standins import make_member
from endivebeam_store import Committed, Row, Seed, Table, Transaction

KNOWN = make_member("n1", "d0").address
UNKNOWN = Address("127.0.0.1", 2)


class RecordingPeers:
    """Records the addresses that were contacted; none can be reached."""

    def __init__(self) -> None:
        self.contacted: set[Address] = set()

    async def connect(self, address: Address) -> None:
        self.contacted.add(address)
        raise UnreachableError("unreachable")


class SeedTable:
    """Accepts all writes and has no rows."""

    async def scan(self, prefix: str, *, limit: int) -> Result[list[Row], None]:
        return Success([])

    async def commit(self, transaction: Transaction) -> Result[Committed, None]:
        return Success(Committed(op_id=transaction.op_id))


def contact_seeds(*, without_peers: bool) -> set[Address]:
    peers = RecordingPeers()

    async def join() -> None:
        members = Members(local=make_member("n0", "d0"), config=ConfigCopy())
        members.update_local(address=Address("127.0.0.1", 3))
        batch = RumorBatch(members=(make_member("n1", "d0"),))
        members.agent.receive(batch, None, anyio.current_time())
        joining = Joining(
            members=members,
            overlay=cast(Overlay, None),
            peers=cast(Peers, peers),
            table=cast(Table, SeedTable()),
            seeds=[UNKNOWN, members.local.address],
            rng=random.Random(1),
        )
        assert joining._is_due()
        await joining._write_seed()
        assert not joining._is_due()
        joining._started_at -= SEED_PERIOD_S
        assert not joining._is_due()
        seeds = [Seed(address=KNOWN, domain=DomainName("d0"))]
        await joining._contact_seeds(seeds, without_peers)

    anyio.run(join)
    return peers.contacted


class TestJoining:
    def test_contacts_only_unknown_seeds_while_it_has_peers(self):
        """Guards against separate groups of nodes that never merge."""
        assert contact_seeds(without_peers=False) == {UNKNOWN}

    def test_contacts_all_other_seeds_without_peers(self):
        """Guards against a node that stays isolated after it lost all links."""
        assert contact_seeds(without_peers=True) == {UNKNOWN, KNOWN}
