"""Rate and burst of an account over all nodes of a fleet of processes."""

import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import httpx
import pytest

from endivebeam_model import digest_key
from endivebeam_standins import FleetNode, run_fleet, wait_for
from endivebeam_standins.demo import ACCOUNTS, DOMAINS, Demo

RATE, BURST = 20.0, 30.0
CALLS_PER_NODE = 150
STEADY_CALLS = 300

FLOODING_ACCOUNT, STEADY_ACCOUNT = ACCOUNTS
CONTRACTS = {FLOODING_ACCOUNT: (RATE, BURST), STEADY_ACCOUNT: (2000.0, 100.0)}


def write_contracts(demo: Demo) -> None:
    routes = [{"path": "/", "method": "*"}]
    service = {"service": "catalogue", "routes": routes}
    demo.change({"type": "put_service", "service": service})
    for account, (rate, burst) in CONTRACTS.items():
        contract = {"account": account, "rate_per_s": rate, "burst": burst}
        demo.change({"type": "put_contract", "contract": contract})
        key = {"digest": digest_key(demo.keys[account]), "account": account}
        demo.change({"type": "issue_key", "key": key})


def count_responses(
    demo: Demo, nodes: Sequence[FleetNode], account: str, call_count: int
) -> Counter:
    """Send calls to the nodes in turn, one at a time; count responses by reason."""
    counts: Counter[str] = Counter()
    headers = {"authorization": f"Bearer {demo.keys[account]}"}
    with httpx.Client(headers=headers, timeout=15.0) as client:
        for number in range(call_count):
            node = nodes[number % len(nodes)]
            response = client.get(f"{node.caller_url}/catalogue/items")
            counts[
                response.headers.get("endivebeam-reason", str(response.status_code))
            ] += 1
    return counts


@pytest.mark.process
class TestRates:
    def test_fleet_limits_the_rate_and_serves_a_steady_caller(self, tmp_path: Path):
        """Guards against nodes that each grant the whole rate, and against wrong 429s.

        An account within its rate must be served while another account exceeds
        its rate at all nodes.
        """
        with run_fleet(tmp_path) as fleet:
            demo = Demo(fleet=fleet)
            for domain in DOMAINS:
                fleet.start_node(service="catalogue", domain=domain)
            for node in fleet.nodes:
                fleet.wait_for_members("catalogue", len(DOMAINS), node)
            write_contracts(demo)
            for node in fleet.nodes:
                wait_for(
                    lambda node=node: (
                        count_responses(demo, [node], STEADY_ACCOUNT, 1)["200"] == 1
                    ),
                    f"a token at {node.name}",
                )
            with ThreadPoolExecutor(len(fleet.nodes) + 1) as pool:
                started = time.monotonic()
                steady = pool.submit(
                    count_responses, demo, fleet.nodes, STEADY_ACCOUNT, STEADY_CALLS
                )
                floods = [
                    pool.submit(
                        count_responses, demo, [node], FLOODING_ACCOUNT, CALLS_PER_NODE
                    )
                    for node in fleet.nodes
                ]
                flooded = sum((f.result() for f in floods), Counter())
                elapsed_s = time.monotonic() - started
                assert steady.result() == {"200": STEADY_CALLS}
        assert set(flooded) == {"200", "rate_exceeded"}
        assert flooded["200"] <= BURST + RATE * elapsed_s
        # The burst is split into shares; calls used more than one of them.
        assert flooded["200"] > BURST * 2 / 3
