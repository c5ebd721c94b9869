"""Tests of the store's client against the stand-in, also with faults."""

import base64
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import msgspec
import pytest

from endivebeam_http import Field, Response, TcpListener, listen_tcp
from endivebeam_model import (
    UNKNOWN_ERA,
    Address,
    DomainName,
    Member,
    MemberState,
    NodeId,
    RegionName,
    ServiceName,
    StoreEra,
    StorePosition,
    StoreVersion,
)
from endivebeam_sidecar import HistoryLostError, StoreUnavailableError
from thistlegate import PlatformStore
from thistlegate._store import _read_era
from thistlegate_standin import StoreFaults, StoreServer, Tables
from thistlegate_standin._faults import Fault
from thistlegate_standin._tables import RowName

pytestmark = pytest.mark.anyio
CONFIG_ROW = RowName("op", "", "config")
FIRST = StorePosition(StoreEra(1), StoreVersion(0))


def encode_row(document: object) -> str:
    return base64.b64encode(msgspec.json.encode(document)).decode()


def make_member(node: str = "n1", sequence: int = 1) -> Member:
    return Member(
        node_id=NodeId(node),
        incarnation=1,
        sequence=sequence,
        address=Address("10.0.0.1", 7000),
        region=RegionName("r"),
        domain=DomainName("d"),
        service=ServiceName("stock"),
        slots=8,
        state=MemberState.SERVING,
    )


@asynccontextmanager
async def run_store() -> AsyncIterator[tuple[StoreServer, PlatformStore]]:
    server = StoreServer(tables=Tables(), faults=StoreFaults())
    listener: TcpListener = await listen_tcp("127.0.0.1", 0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, listener)
        yield server, PlatformStore(address=Address("127.0.0.1", listener.port))
        tasks.cancel_scope.cancel()


class TestConfiguration:
    async def test_is_read_and_watched(self, document: dict[str, object]):
        async with run_store() as (server, store):
            server.tables.put(CONFIG_ROW, encode_row(document))
            first = await store.read_config()
            assert first.config is not None
            assert first.config.version == 12
            server.tables.put(CONFIG_ROW, encode_row({**document, "version": "0d"}))
            second = await store.watch_config(first.position, wait_s=5)
            assert second.config is not None
            assert second.config.version == 13
            assert second.position > first.position

    async def test_watch_without_a_change_returns_the_stores_time(self):
        async with run_store() as (_, store):
            first = await store.read_config()
            second = await store.watch_config(first.position, wait_s=0.05)
            assert second.config is None
            assert second.is_newest
            assert second.store_now > first.store_now

    async def test_malformed_version_is_not_reported_as_newest(self):
        async with run_store() as (server, store):
            server.tables.put(CONFIG_ROW, "%%%")
            result = await store.read_config()
            assert result.config is None
            assert not result.is_newest

    async def test_truncated_history_raises(self, document: dict[str, object]):
        async with run_store() as (server, store):
            server.tables.put(CONFIG_ROW, encode_row(document))
            server.tables.drop_history()
            with pytest.raises(HistoryLostError):
                await store.watch_config(FIRST, wait_s=1)


async def lose_config(
    server: StoreServer, store: PlatformStore, document: dict[str, object]
) -> StorePosition:
    """Restore the store from before a configuration; return where it was read."""
    copy = server.tables.copy()
    server.tables.put(CONFIG_ROW, encode_row(document))
    first = await store.read_config()
    server.restore(copy)
    return first.position


class TestRestoredStore:
    """The store comes back from a copy that is some seconds old."""

    async def test_answers_tell_its_era(self):
        async with run_store() as (server, store):
            eras: list[StoreEra] = []
            for _ in range(2):
                eras.append((await store.read_config()).position.era)
                eras.append((await store.write_member(make_member())).era)
                (row,) = (await store.read_members()).rows
                eras.append(row.position.era)
                server.restore(server.tables.copy())
            assert eras == [1, 1, 1, 2, 2, 2]

    async def test_watch_from_a_version_that_it_lost_raises(
        self, document: dict[str, object]
    ):
        async with run_store() as (server, store):
            position = await lose_config(server, store, document)
            with pytest.raises(HistoryLostError):
                await store.watch_config(position, wait_s=1)

    async def test_change_is_not_missed_when_versions_are_given_out_again(
        self, document: dict[str, object]
    ):
        """Guards against a withdrawn key that is used on evidence of an earlier era."""
        async with run_store() as (server, store):
            position = await lose_config(server, store, document)
            server.tables.put(CONFIG_ROW, encode_row({**document, "version": "0d"}))
            await store.write_member(make_member())
            assert server.tables.version > position.version
            try:
                second = await store.watch_config(position, wait_s=0.05)
            except HistoryLostError:
                second = await store.read_config()
            assert second.config is not None
            assert second.config.version == 13

    async def test_rows_of_two_eras_are_not_taken_for_one_reading(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against pages of which one is from before the restore."""
        monkeypatch.setattr("thistlegate._store.PAGE_ROWS", 2)
        async with run_store() as (server, store):
            for number in range(4):
                await store.write_member(make_member(f"n{number}"))
            read_page = store._get

            async def read_then_restore(*args: Any, **options: Any) -> Any:
                page = await read_page(*args, **options)
                server.restore(server.tables.copy())
                return page

            monkeypatch.setattr(store, "_get", read_then_restore)
            with pytest.raises(StoreUnavailableError):
                await store.read_members()


class TestMalformedEras:
    @pytest.mark.parametrize("value", [b"", b"x", b"-1", b"1.5", b"\xb2", b"9" * 30])
    def test_count_as_none(self, value: bytes):
        """Guards against a number that the messages between nodes can't carry."""
        response = Response(status=200, fields=[Field(b"store-era", value)])
        assert _read_era(response) == UNKNOWN_ERA

    def test_missing_one_counts_as_none(self):
        assert _read_era(Response(status=200)) == UNKNOWN_ERA


class TestMembers:
    async def test_rows_are_written_read_and_removed_only_at_their_version(self):
        async with run_store() as (_, store):
            written = await store.write_member(make_member())
            other = StorePosition(written.era, StoreVersion(written.version - 1))
            result = await store.read_members()
            assert [row.member for row in result.rows] == [make_member()]
            await store.remove_member(NodeId("n1"), position=other)
            assert len((await store.read_members()).rows) == 1
            await store.remove_member(NodeId("n1"), position=written)
            assert (await store.read_members()).rows == ()

    async def test_rows_on_several_pages_are_all_read(self):
        async with run_store() as (_, store):
            for number in range(503):
                await store.write_member(make_member(f"n{number:04d}"))
            assert len((await store.read_members()).rows) == 503

    async def test_malformed_rows_are_skipped(self):
        async with run_store() as (server, store):
            name = RowName("endivebeam-members", "", "x")
            server.tables.put(name, encode_row({"node_id": 3}))
            server.tables.put(name._replace(key="y"), "***")
            await store.write_member(make_member())
            rows = (await store.read_members()).rows
            assert [row.node_id for row in rows] == ["n1"]


class TestOutages:
    @pytest.mark.parametrize(
        "fault", [Fault.UNAVAILABLE, Fault.RATE_LIMITED, Fault.NO_RESPONSE]
    )
    async def test_reads_and_writes_raise_the_same_error(
        self, fault: Fault, monkeypatch: pytest.MonkeyPatch
    ):
        monkeypatch.setattr("thistlegate._store.CALL_TIMEOUT_S", 0.1)
        async with run_store() as (server, store):
            server.faults.mode = fault
            with pytest.raises(StoreUnavailableError):
                await store.read_config()
            with pytest.raises(StoreUnavailableError):
                await store.write_member(make_member())
            server.faults.mode = Fault.NONE
            assert (await store.read_members()).rows == ()

    async def test_write_with_a_lost_response_takes_effect(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        monkeypatch.setattr("thistlegate._store.CALL_TIMEOUT_S", 0.1)
        async with run_store() as (server, store):
            server.faults.lost_response_share = 1.0
            with pytest.raises(StoreUnavailableError):
                await store.write_member(make_member())
            assert len((await store.read_members()).rows) == 1

    async def test_refused_connection_raises(self):
        store = PlatformStore(address=Address("127.0.0.1", 1))
        with pytest.raises(StoreUnavailableError):
            await store.read_config()
