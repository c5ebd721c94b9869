"""Versions of the configuration in a running fleet: keys, accounts and routes."""

import msgspec
import pytest

from endivebeam_fleet import AccountUse
from endivebeam_model import ConfigVersion
from endivebeam_sidecar import Bounds

from ._configs import KEY, make_config
from ._fleet import run_fleet, wait_until
from ._store import FakeStore

pytestmark = pytest.mark.anyio


class TestConfiguration:
    async def test_withdrawn_key_stops_working_on_every_node(self):
        async with run_fleet() as fleet:
            config = make_config()
            without_key = msgspec.structs.replace(config.accounts[0], key_digests=())
            fleet.store.put_config(
                msgspec.structs.replace(
                    config, version=ConfigVersion(3), accounts=(without_key,)
                )
            )
            for node in fleet.nodes:
                await wait_until(lambda node=node: node.sidecar.config_version == 3)
                assert (await node.call("/look/x")).status == 401

    async def test_request_on_a_route_that_leads_nowhere_is_not_run(self):
        """Guards against an error in place of a refusal that says so."""
        async with run_fleet(("stock",)) as fleet:
            config = make_config(2)
            routes = tuple(
                msgspec.structs.replace(route, destinations=())
                for route in config.routes
            )
            fleet.store.put_config(msgspec.structs.replace(config, routes=routes))
            node = fleet.nodes[0]
            await wait_until(lambda: node.sidecar.config_version == 2)
            assert (await node.call("/look/x")).status == 503
            assert node.target.received == []

    async def test_key_needs_evidence_also_while_no_account_is_required(self):
        """Guards against a withdrawn key that works at a node that missed the change.

        The newest version may require accounts again.
        """
        store = FakeStore()
        store.config = make_config(accounts=(), account_use=AccountUse.NOT_REQUIRED)
        bounds = Bounds(key_withdrawal_s=1.0)
        async with run_fleet(("stock",), store=store, bounds=bounds) as fleet:
            node = fleet.nodes[0]
            for key in (KEY, None):
                assert (await node.call("/look/x", key=key)).status == 200
            store.is_unavailable = True
            await wait_until(lambda: node.sidecar.config_age_s > 1.0)
            assert (await node.call("/look/x")).status == 503
            assert (await node.call("/look/x", key=None)).status == 200
            assert (await node.call("/open/x")).status == 200

    @pytest.mark.parametrize("restarts", [False, True])
    async def test_no_key_works_once_the_last_account_is_removed(self, restarts: bool):
        """Guards against routes that are open to everybody without the last account.

        One node gets the version from the other one, not from the store.
        """
        async with run_fleet() as fleet:
            fleet.store.cut_off.add(fleet.nodes[1].sidecar.settings.node_id)
            fleet.store.put_config(make_config(2, accounts=()))
            if restarts:
                await fleet.restart(1)
            for node in fleet.nodes:
                await wait_until(lambda node=node: node.sidecar.config_version == 2)
                await wait_until(lambda node=node: node.sidecar.is_ready)
                for key in (KEY, "key-of-nobody", None):
                    assert (await node.call("/look/x", key=key)).status == 401
                assert (await node.call("/open/x", key=None)).status == 200

    async def test_older_version_does_not_replace_a_newer_one(self):
        async with run_fleet(("stock",)) as fleet:
            fleet.store.put_config(make_config(5))
            node = fleet.nodes[0]
            await wait_until(lambda: node.sidecar.config_version == 5)
            fleet.store.put_config(make_config(4))
            fleet.store.put_config(make_config(6))
            await wait_until(lambda: node.sidecar.config_version != 5)
            assert node.sidecar.config_version == 6

    async def test_node_without_the_store_gets_the_version_from_peers(self):
        async with run_fleet() as fleet:
            cut = fleet.nodes[1]
            fleet.store.cut_off.add(cut.sidecar.settings.node_id)
            fleet.store.put_config(make_config(8))
            await wait_until(lambda: cut.sidecar.config_version == 8)

    async def test_keys_are_rejected_once_they_cannot_be_confirmed(self):
        # A key may have been withdrawn meanwhile; requests without one still run.
        bounds = Bounds(key_withdrawal_s=1.0)
        async with run_fleet(bounds=bounds) as fleet:
            fleet.store.is_unavailable = True
            node = fleet.nodes[0]
            await wait_until(lambda: node.sidecar.config_age_s > 1.0)
            rejected = await node.call("/look/x")
            assert rejected.status == 503
            assert rejected.get(b"retry-after") is not None
            assert (await node.call("/open/x", key=None)).status == 200
            assert (await node.call("/none/x")).status == 503

    @pytest.mark.parametrize(
        ("target", "key", "status"),
        [("/none/x", KEY, 404), ("/look/x", "new", 401), ("/look/x", None, 401)],
        ids=["route", "key", "no key"],
    )
    async def test_denial_needs_evidence_within_the_bound_of_changes(
        self, target: str, key: str | None, status: int
    ):
        # Guards against a final refusal of a route or key that was added in a version
        # that should have arrived and has not.
        bounds = Bounds(propagation_s=1.0, key_withdrawal_s=10.0)
        async with run_fleet(bounds=bounds) as fleet:
            node = fleet.nodes[0]
            assert (await node.call(target, key=key)).status == status
            fleet.store.is_unavailable = True
            await wait_until(lambda: node.sidecar.config_age_s > 1.0)
            outdated = await node.call(target, key=key)
            assert outdated.status == 503
            assert outdated.get(b"retry-after") is not None
            assert (await node.call("/look/x")).status == 200
