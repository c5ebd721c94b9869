"""Tests of pulls, polls and emergency withdrawals with an in-memory store."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import cast

import anyio
import pytest
from returns.result import Failure, Result, Success

from endivebeam_model import ConfigVersion, KeyDigest, LogEntry, NodeId
from endivebeam_node import _config_sync
from endivebeam_node._config import ConfigCopy
from endivebeam_node._config_sync import ConfigSync, snapshot_name
from endivebeam_node._members import Members
from endivebeam_standins import VirtualFleet, make_entry, make_member
from endivebeam_store import (
    CommitError,
    Committed,
    ConfigLog,
    Conflict,
    HttpObjects,
    Row,
    Transaction,
    Unavailable,
)
from endivebeam_wire import EntriesRequest, PeerStream, Reply, Request, SnapshotRequest

KEY = KeyDigest("withdrawn-key")


class FakeTable:
    """Rows in memory; the table is unavailable while ``up`` is false."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.up = True

    async def read(self, key: str) -> Result[Row | None, Unavailable]:
        if not self.up:
            return Failure(Unavailable(message="down"))
        return Success(self.rows.get(key))

    async def scan(self, prefix: str, *, limit: int) -> Result[list[Row], Unavailable]:
        return Success(
            [r for k, r in sorted(self.rows.items()) if k.startswith(prefix)]
        )

    async def commit(self, transaction: Transaction) -> Result[Committed, CommitError]:
        if not self.up:
            return Failure(Unavailable(message="down"))
        versions = {key: row.version for key, row in self.rows.items()}
        if any(versions.get(c.key, 0) != c.version for c in transaction.conditions):
            return Failure(Conflict())
        for put in transaction.puts:
            self.rows[put.key] = Row(
                key=put.key,
                value=put.value,
                version=versions.get(put.key, 0) + 1,
                op_id=transaction.op_id,
            )
        return Success(Committed(op_id=transaction.op_id))


class FakeObjects:
    """Objects in memory."""

    def __init__(self) -> None:
        self.contents: dict[str, bytes] = {}

    async def read(self, name: str) -> Result[bytes | None, Unavailable]:
        return Success(self.contents.get(name))

    async def write(self, name: str, content: bytes) -> Result[None, Unavailable]:
        self.contents[name] = content
        return Success(None)


class Node:
    """Configuration of one node, on a clock that the test sets."""

    def __init__(
        self,
        table: FakeTable,
        objects: FakeObjects | None = None,
        node_id: str = "n0",
    ) -> None:
        self.now = 0.0
        self.objects = objects or FakeObjects()
        self.config = ConfigCopy()
        self.members = Members(
            local=make_member(node_id, "d0"),
            config=self.config,
            clock=lambda: self.now,
        )
        self.log = ConfigLog(table=table)
        self.sync = ConfigSync(
            members=self.members,
            config=self.config,
            log=self.log,
            objects=cast(HttpObjects, self.objects),
        )

    def commit(self, count: int) -> list[LogEntry]:
        start = self.config.version
        entries = [
            make_entry(start + i, f"op-{start + i}", i) for i in range(1, count + 1)
        ]
        self.config.apply(entries)
        return entries


class Link:
    """A stream to the ``ConfigSync`` of another node."""

    def __init__(self, peer: Node, before_request: Callable[[], None] = list) -> None:
        self._peer = peer
        self._before_request = before_request
        self.remote = None

    def next_id(self) -> int:
        return 1

    async def send_request(self, request: Request) -> Reply:
        self._before_request()
        match request:
            case EntriesRequest():
                return self._peer.sync.handle_entries_request(request)
            case SnapshotRequest():
                return self._peer.sync.handle_snapshot_request(request)
        raise AssertionError(request)


def run(step: Callable[[], Awaitable[None]]) -> None:
    anyio.run(step)


def pull(node: Node, link: Link) -> None:
    run(partial(node.sync.pull, cast(PeerStream, link)))


class TestPull:
    @pytest.mark.parametrize("count", [10, 300, 1400])
    def test_pulls_the_whole_configuration_from_a_peer(self, count: int):
        """Guards against a joining node with an old version while the store is down."""
        peer, joining = Node(FakeTable()), Node(FakeTable(), node_id="n1")
        peer.commit(count)
        peer.members.spread_withdrawal(KEY)
        pull(joining, Link(peer))
        assert joining.config.snapshot == peer.config.snapshot

    def test_snapshot_that_changes_between_parts(self, monkeypatch: pytest.MonkeyPatch):
        """Guards against a snapshot assembled from parts of two versions."""
        monkeypatch.setattr(_config_sync, "PART_BYTES", 64)
        peer, joining = Node(FakeTable()), Node(FakeTable(), node_id="n1")
        peer.commit(1400)
        requests = iter(range(100))

        def change_twice() -> None:
            if next(requests) in (2, 3):
                peer.commit(1)

        pull(joining, Link(peer, change_twice))
        assert joining.config.snapshot == peer.config.snapshot

    def test_older_snapshot_is_ignored(self):
        """Guards against a stale peer or object that reverts the configuration."""
        node, stale = Node(FakeTable()), Node(FakeTable(), node_id="n1")
        node.commit(5)
        stale.commit(3)
        before = node.config.snapshot
        assert not node.config.install(stale.config.snapshot)
        pull(node, Link(stale))
        assert node.config.snapshot == before

    def test_joining_node_pulls_without_the_store(self):
        """Guards against a node that can join only while the store is up."""
        fleet = VirtualFleet(seed=1, make_config=ConfigCopy)
        members = [make_member(f"n{i}", "d0") for i in range(5)]
        for member in members:
            fleet.start(member.node_id, member.domain, known=members)
        fleet.store.entries = [make_entry(v, f"op-{v}", v) for v in range(1, 9)]
        fleet.run(3.0)
        fleet.store.up = False
        joined = fleet.start("n9", "d0", seeds=[NodeId("n1")])
        assert fleet.run_until(lambda: joined.agent.config.version == 8, 5.0) <= 5.0


class TestPoll:
    def test_reads_up_to_the_head(self):
        """Guards against a committed change that is lost when its node crashes."""
        table = FakeTable()
        author, node = Node(table), Node(table, node_id="n1")
        run(partial(self.append, author, 3))
        run(node.sync._poll)
        assert node.config.version == 3
        assert node.sync.synced

    def test_starts_from_a_stored_snapshot(self):
        """Guards against a node that reads thousands of rows to catch up."""
        table, objects = FakeTable(), FakeObjects()
        author = Node(table, objects)
        run(partial(self.append, author, 620))
        run(author.sync._poll)
        assert list(objects.contents) == [snapshot_name(1)]
        for version in range(1, 500):
            del table.rows[f"config/log/{version:012d}"]
        node = Node(table, objects, node_id="n1")
        run(node.sync._poll)
        assert node.config.snapshot == author.config.snapshot

    def test_emergency_withdrawal_reaches_the_log_once_the_store_is_up(self):
        """Guards against losing a withdrawal when all nodes restart."""
        table = FakeTable()
        first, second = Node(table), Node(table, node_id="n1")
        table.up = False
        for node in (first, second):
            node.members.spread_withdrawal(KEY)
            run(node.sync._poll)
            assert node.config.withdrawn == {KEY}
        table.up = True
        for node in (first, second, first):
            run(node.sync._poll)
        fresh = Node(table, node_id="n2")
        run(fresh.sync._poll)
        for node in (first, second, fresh):
            assert node.config.snapshot.keys[KEY].withdrawn
            assert node.config.withdrawn == frozenset()

    @staticmethod
    async def append(node: Node, count: int) -> None:
        for version in range(node.config.version, node.config.version + count):
            entry = make_entry(version + 1, f"op-{version}", 1.0)
            appended = await node.log.append(
                change=entry.change,
                expected=ConfigVersion(version),
                op_id=entry.op_id,
                operator=entry.operator,
                at="",
            )
            node.config.apply([appended.unwrap()])


class TestIsolation:
    def test_isolated_without_peer_and_store(self):
        """Guards against an isolated node that accepts withdrawn keys."""
        node = Node(FakeTable())
        assert node.members.is_isolated()
        node.members.record_store_response()
        assert not node.members.is_isolated()
        node.now = 3.1
        assert node.members.is_isolated()

    def test_contact_with_a_peer_is_enough(self):
        """Guards against rejecting valid keys while only the store is down."""
        node = Node(FakeTable())
        peer = make_member("n1", "d0")
        agent = node.members.agent
        agent.receive(_config_sync.RumorBatch(members=(peer,)), None, 0.0)
        agent.contacts.record_contact(peer.domain, 1.0)
        node.now = 3.9
        assert not node.members.is_isolated()
        node.now = 4.1
        assert node.members.is_isolated()

    def test_fleet_of_one_node_needs_the_store(self):
        """Guards against counting contact with a node that has left."""
        node = Node(FakeTable())
        node.members.agent.contacts.record_contact(make_member("n1", "d0").domain, 0.0)
        assert node.members.is_isolated()
