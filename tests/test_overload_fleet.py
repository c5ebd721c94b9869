"""Overload of a small fleet of processes: slots, criticality and rejections."""

from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import httpx
import pytest

from endivebeam_model import digest_key
from endivebeam_standins import Fleet, run_fleet
from endivebeam_standins.demo import ACCOUNTS, Demo, put_contract

SLOTS = 4
SERVICE_TIME_MS = 150.0
# A target executes SLOTS calls while at most 16 wait for it, so two targets
# accept 40 calls. This is three times as many.
SHEDDABLE_CALLS = 120
CRITICAL_CALLS = 24


def configure(demo: Demo) -> None:
    routes = [
        {"path": "/", "criticality": "sheddable"},
        {"path": "/charges", "criticality": "critical"},
    ]
    service = {"service": "bookings", "routes": routes}
    demo.change({"type": "put_service", "service": service})
    demo.change(put_contract(ACCOUNTS[0], rate=10_000.0))
    key = {"digest": digest_key(demo.keys[ACCOUNTS[0]]), "account": ACCOUNTS[0]}
    demo.change({"type": "issue_key", "key": key})


async def send_all(
    fleet: Fleet, key: str
) -> tuple[dict[str, httpx.Response], dict[str, httpx.Response]]:
    """Send all sheddable calls at once, then all critical calls.

    The critical calls start when a quarter of the sheddable calls has ended.
    Returns the responses to both by path.
    """
    sheddable: dict[str, httpx.Response] = {}
    critical: dict[str, httpx.Response] = {}
    limits = httpx.Limits(max_connections=None)
    headers = {"authorization": f"Bearer {key}"}
    async with (
        httpx.AsyncClient(limits=limits, headers=headers, timeout=30.0) as client,
        anyio.create_task_group() as group,
    ):

        def send(index: int, path: str, responses: dict[str, httpx.Response]) -> None:
            url = fleet.nodes[index % len(fleet.nodes)].caller_url

            async def call() -> None:
                responses[path] = await client.get(f"{url}/bookings{path}")

            start: Callable[[], Awaitable[None]] = call
            group.start_soon(start)

        for index in range(SHEDDABLE_CALLS):
            send(index, f"/items/{index}", sheddable)
        while len(sheddable) < SHEDDABLE_CALLS // 4:
            await anyio.sleep(0.01)
        for index in range(CRITICAL_CALLS):
            send(index, f"/charges/{index}", critical)
    return sheddable, critical


@pytest.mark.process
class TestOverload:
    def test_critical_calls_succeed_and_rejected_calls_do_not_run(self, tmp_path: Path):
        """Guards against exceeded slots, rejected critical calls and wrong "not-run".

        A call that is rejected as not run must not have reached a target.
        """
        with run_fleet(tmp_path) as fleet:
            for domain in ("domain-a", "domain-b"):
                fleet.start_node(
                    service="bookings",
                    domain=domain,
                    slots=SLOTS,
                    service_time_ms=SERVICE_TIME_MS,
                )
            for node in fleet.nodes:
                fleet.wait_for_members("bookings", 2, node)
            demo = Demo(fleet=fleet)
            configure(demo)
            sheddable, critical = anyio.run(send_all, fleet, demo.keys[ACCOUNTS[0]])
            records = [
                httpx.get(f"{node.target_url}/record").json() for node in fleet.nodes
            ]
        assert all(1 <= record["peak_offered"] <= SLOTS for record in records)
        assert {response.status_code for response in critical.values()} == {200}
        rejected = {p: r for p, r in sheddable.items() if r.status_code != 200}
        assert rejected
        reasons = {
            (r.status_code, r.headers["endivebeam-reason"], r.headers["endivebeam-run"])
            for r in rejected.values()
        }
        assert reasons == {(503, "overloaded", "not-run")}
        ran = {path for record in records for path in record["paths"]}
        assert not ran & set(rejected)
        assert set(critical) <= ran
