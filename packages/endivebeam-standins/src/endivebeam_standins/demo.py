"""A small fleet that shows the product at work: ``make demo``.

Six nodes in three failure domains, two services, real HTTP calls. Exits with
0 only if every answer was as promised.
"""

import secrets
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import httpx

from endivebeam_model import digest_key

from ._fleet import Fleet, FleetNode, run_fleet, wait_for

DOMAINS = ("domain-a", "domain-b", "domain-c")
ACCOUNTS = ("northfit-rentals", "glen-cycles")


class Demo:
    """The running fleet, the keys of its accounts and what was answered."""

    def __init__(self, *, fleet: Fleet) -> None:
        self.fleet = fleet
        self.keys = {account: "eb_" + secrets.token_urlsafe(24) for account in ACCOUNTS}
        self.counts: dict[str, Counter[str]] = {a: Counter() for a in ACCOUNTS}
        self.failures: list[str] = []

    def expect(self, condition: bool, promise: str) -> None:
        """Print whether a promise held."""
        print(f"{'ok  ' if condition else 'FAIL'} {promise}")
        if not condition:
            self.failures.append(promise)

    def change(self, change: dict[str, object], node: FleetNode | None = None) -> int:
        """Commit one change of the configuration and wait until it is in force."""
        entry = node or self.fleet.nodes[0]
        with self.fleet.admin(entry) as client:
            version = client.get("/v1/config").json()["version"]
            body = {
                "op_id": secrets.token_hex(8),
                "expected_version": version,
                "change": change,
            }
            answer = client.post("/v1/changes", json=body)
            answer.raise_for_status()
            new_version = int(answer.json()["version"])
        for other in self.fleet.nodes:
            self.wait_for_version(other, new_version)
        return new_version

    def wait_for_version(self, node: FleetNode, version: int) -> None:
        """Wait until a node has a configuration version in force."""
        with self.fleet.admin(node) as client:
            wait_for(
                lambda: client.get("/v1/config").json()["version"] >= version,
                f"configuration {version} at {node.name}",
            )

    def call(
        self,
        node: FleetNode,
        method: str,
        path: str,
        account: str = ACCOUNTS[0],
        idempotency_key: str | None = None,
    ) -> httpx.Response:
        """Send one call as an account and count what came back."""
        headers = {"authorization": f"Bearer {self.keys[account]}"}
        if idempotency_key is not None:
            headers["idempotency-key"] = idempotency_key
        answer = httpx.request(
            method,
            node.caller_url + path,
            headers=headers,
            timeout=15.0,
            verify=self.fleet.client_context(),
        )
        reason = answer.headers.get("endivebeam-reason", "answered")
        self.counts[account][reason] += 1
        return answer

    def show_counts(self) -> None:
        """Print what each client account received."""
        for account, counts in self.counts.items():
            listed = ", ".join(f"{name} {n}" for name, n in sorted(counts.items()))
            print(f"     {account}: {listed}")


def start_fleet(fleet: Fleet) -> None:
    """Start three nodes of each service, one per failure domain."""
    for domain in DOMAINS:
        for service in ("catalogue", "bookings"):
            fleet.start_node(service=service, domain=domain)
    for node in fleet.nodes:
        fleet.wait_for_members("catalogue", 3, node)
        fleet.wait_for_members("bookings", 3, node)


def write_contracts(demo: Demo) -> None:
    """Write routes, contracts and keys."""
    for service in ("catalogue", "bookings"):
        routes: list[dict[str, object]] = [
            {"path": "/", "method": "*"},
            {
                "path": "/deposits",
                "method": "POST",
                "semantics": "at_most_once",
                "criticality": "critical",
            },
        ]
        demo.change(
            {"type": "put_service", "service": {"service": service, "routes": routes}}
        )
    for account in ACCOUNTS:
        demo.change(put_contract(account, rate=200.0))
        key = {"digest": digest_key(demo.keys[account]), "account": account}
        demo.change({"type": "issue_key", "key": key})


def put_contract(account: str, rate: float) -> dict[str, object]:
    """Return a change that writes a contract."""
    contract = {"account": account, "rate_per_s": rate, "burst": 2 * rate}
    return {"type": "put_contract", "contract": contract}


def show_calls(demo: Demo) -> None:
    """Calls enter at any node and are answered whole."""
    whole = True
    for node in demo.fleet.nodes:
        for service in ("catalogue", "bookings"):
            answer = demo.call(node, "GET", f"/{service}/items?page=2")
            whole = whole and answer.json()["path"] == "/items?page=2"
            whole = whole and demo.keys[ACCOUNTS[0]] not in answer.text
    demo.expect(whole, "calls at every node are answered whole, without the key")
    answer = demo.call(demo.fleet.nodes[0], "GET", "/bookings/chain/catalogue/items")
    demo.expect(answer.json()["path"] == "/items", "a target calls another service")


def show_deposit(demo: Demo) -> None:
    """A deposit sent twice runs once and is answered alike."""
    answers = [
        demo.call(node, "POST", "/bookings/deposits", idempotency_key="deposit-1")
        for node in demo.fleet.nodes[:2]
    ]
    runs = 0
    for node in demo.fleet.nodes:
        ledger = httpx.get(f"{node.target_url}/ledger").json()
        runs += ledger.get("deposit-1", 0)
    demo.expect(runs == 1, "a deposit sent to two nodes ran once")
    demo.expect(
        answers[0].content == answers[1].content,
        "its repetition got the first answer",
    )


def show_contract_change(demo: Demo) -> None:
    """A lowered rate is obeyed by the next calls."""
    demo.change(put_contract(ACCOUNTS[1], rate=2.0))
    node = demo.fleet.nodes[1]
    statuses = [
        demo.call(node, "GET", "/catalogue/items", ACCOUNTS[1]).status_code
        for _ in range(40)
    ]
    demo.expect(429 in statuses, "a lowered rate is in force")


def show_withdrawal(demo: Demo) -> None:
    """A withdrawn key stops working."""
    digest = digest_key(demo.keys[ACCOUNTS[1]])
    demo.change({"type": "withdraw_key", "digest": digest})
    answers = [
        demo.call(node, "GET", "/catalogue/items", ACCOUNTS[1])
        for node in demo.fleet.nodes
    ]
    refused = all(a.status_code == 401 for a in answers)
    demo.expect(refused, "a withdrawn key is refused at every node")


def show_drain(demo: Demo) -> None:
    """A draining target loses no call."""
    leaving = demo.fleet.nodes[5]
    leaving.target.terminate()
    statuses = [
        demo.call(demo.fleet.nodes[0], "GET", "/bookings/items").status_code
        for _ in range(60)
    ]
    leaving.target.wait(15)
    demo.expect(set(statuses) == {200}, "a target drained without a lost call")


def show_kill(demo: Demo) -> None:
    """Calls go on while a node is killed."""
    killed = demo.fleet.nodes[3]
    killed.node.kill()
    statuses = [
        demo.call(demo.fleet.nodes[0], "GET", "/bookings/items").status_code
        for _ in range(60)
    ]
    demo.expect(set(statuses) == {200}, "a killed node cost no call")
    demo.fleet.nodes.remove(killed)


def main() -> int:
    """Run the demo and return its exit code."""
    with tempfile.TemporaryDirectory() as directory:
        print("     starting the platform stand-in and six nodes")
        with run_fleet(Path(directory)) as fleet:
            demo = Demo(fleet=fleet)
            steps: list[Callable[[], None]] = [
                lambda: start_fleet(fleet),
                lambda: write_contracts(demo),
                lambda: show_calls(demo),
                lambda: show_deposit(demo),
                lambda: show_contract_change(demo),
                lambda: show_withdrawal(demo),
                lambda: show_drain(demo),
                lambda: show_kill(demo),
            ]
            for step in steps:
                step()
            demo.show_counts()
    if demo.failures:
        print(f"     {len(demo.failures)} promises failed")
        return 1
    print("     every answer was as promised")
    return 0


if __name__ == "__main__":
    sys.exit(main())
