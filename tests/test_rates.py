"""Rate and burst over the sum of all nodes, with separate processes."""

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

FLOODING, STEADY = ACCOUNTS
CONTRACTS = {FLOODING: (RATE, BURST), STEADY: (2000.0, 100.0)}


def write_contracts(demo: Demo) -> None:
    routes = [{"path": "/", "method": "*"}]
    service = {"service": "catalogue", "routes": routes}
    demo.change({"type": "put_service", "service": service})
    for account, (rate, burst) in CONTRACTS.items():
        contract = {"account": account, "rate_per_s": rate, "burst": burst}
        demo.change({"type": "put_contract", "contract": contract})
        key = {"digest": digest_key(demo.keys[account]), "account": account}
        demo.change({"type": "issue_key", "key": key})


def call(demo: Demo, nodes: Sequence[FleetNode], account: str, count: int) -> Counter:
    """Send calls one after the other to the nodes in turn; count the answers."""
    found: Counter[str] = Counter()
    headers = {"authorization": f"Bearer {demo.keys[account]}"}
    with httpx.Client(headers=headers, timeout=15.0) as client:
        for number in range(count):
            node = nodes[number % len(nodes)]
            answer = client.get(f"{node.caller_url}/catalogue/items")
            found[answer.headers.get("endivebeam-reason", str(answer.status_code))] += 1
    return found


@pytest.mark.process
class TestRates:
    def test_rate_holds_over_all_nodes_and_spares_a_steady_caller(self, tmp_path: Path):
        """Guards against nodes that each grant the whole rate, and wrong 429s."""
        with run_fleet(tmp_path) as fleet:
            demo = Demo(fleet=fleet)
            for domain in DOMAINS:
                fleet.start_node(service="catalogue", domain=domain)
            for node in fleet.nodes:
                fleet.wait_for_members("catalogue", len(DOMAINS), node)
            write_contracts(demo)
            for node in fleet.nodes:
                wait_for(
                    lambda node=node: call(demo, [node], STEADY, 1)["200"] == 1,
                    f"a token at {node.name}",
                )
            with ThreadPoolExecutor(len(fleet.nodes) + 1) as pool:
                started = time.monotonic()
                steady = pool.submit(call, demo, fleet.nodes, STEADY, STEADY_CALLS)
                floods = [
                    pool.submit(call, demo, [node], FLOODING, CALLS_PER_NODE)
                    for node in fleet.nodes
                ]
                flooded = sum((f.result() for f in floods), Counter())
                elapsed_s = time.monotonic() - started
                assert steady.result() == {"200": STEADY_CALLS}
        assert set(flooded) == {"200", "rate_exceeded"}
        assert flooded["200"] <= BURST + RATE * elapsed_s
        # More than one share of the burst was reached.
        assert flooded["200"] > BURST * 2 / 3
