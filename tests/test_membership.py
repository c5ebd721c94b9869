"""Kills, pauses and stops nodes of a small fleet under load."""

import signal
import threading
from collections import Counter
from pathlib import Path

import httpx
import pytest

from endivebeam_model import digest_key
from endivebeam_standins import Fleet, FleetNode, run_fleet, wait_for
from endivebeam_standins.demo import Demo, put_contract, write_contracts

# A call may take its whole time limit when its target is paused.
CALL_TIMEOUT_S = 15.0


class Caller:
    """Sends idempotent calls to one node until stopped."""

    def __init__(self, demo: Demo, node: FleetNode) -> None:
        self.statuses: Counter[int] = Counter()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, args=(demo, node))

    def __enter__(self) -> "Caller":
        self._thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._stop.set()
        self._thread.join()

    def answered_count(self) -> int:
        return self.statuses[200]

    def _run(self, demo: Demo, node: FleetNode) -> None:
        key = next(iter(demo.keys.values()))
        headers = {"authorization": f"Bearer {key}"}
        with httpx.Client(
            base_url=node.caller_url, headers=headers, timeout=CALL_TIMEOUT_S
        ) as client:
            while not self._stop.is_set():
                response = client.get("/bookings/items")
                self.statuses[response.status_code] += 1


def read_member(fleet: Fleet, observer: FleetNode, name: str) -> tuple[int, str]:
    """Return the incarnation and state of a node that an observer has recorded."""
    with fleet.admin(observer) as client:
        members = client.get("/v1/status").json()["members"]
    found = [(m[1], m[8]) for m in members if m[0] == name]
    return found[0] if found else (0, "")


def wait_for_state(
    fleet: Fleet, node: FleetNode, state: str, incarnation: int = 1
) -> None:
    """Wait until all other running nodes have recorded a state of a node."""
    for observer in fleet.nodes:
        if observer is node or observer.node.poll() is not None:
            continue
        wait_for(
            lambda observer=observer: (
                (found := read_member(fleet, observer, node.name))[1] == state
                and found[0] >= incarnation
            ),
            f"{node.name} {state} at {observer.name}",
        )


def withdraw_without_store(demo: Demo, entry_node: FleetNode) -> None:
    """Withdraw a key while the store is down; check that the log receives it later."""
    account = "glen-cycles"
    digest = digest_key(demo.keys[account])
    demo.fleet.set_faults("down")
    with demo.fleet.admin(entry_node) as client:
        body = {
            "op_id": "withdraw-1",
            "expected_version": client.get("/v1/config").json()["version"],
            "change": {"type": "withdraw_key", "digest": digest},
        }
        response = client.post("/v1/changes", json=body)
    assert (response.status_code, response.json()["durable"]) == (202, False)
    for node in demo.fleet.nodes:
        wait_for(
            lambda node=node: (
                demo.call(node, "GET", "/bookings/items", account).status_code == 401
            ),
            f"rejection of the key at {node.name}",
        )
    demo.fleet.set_faults("none")
    for node in demo.fleet.nodes:
        with demo.fleet.admin(node) as client:
            wait_for(
                lambda client=client: client.get("/v1/config").json()["keys"][digest][
                    "withdrawn"
                ],
                f"withdrawal in the log at {node.name}",
            )


@pytest.mark.process
class TestMembership:
    def test_no_call_fails_while_nodes_are_killed_paused_and_stopped(
        self, tmp_path: Path
    ):
        """Guards against failed calls and stale member records when nodes fail."""
        with run_fleet(tmp_path) as fleet:
            demo = Demo(fleet=fleet)
            # Nodes monitor each other within a domain, so each domain needs two.
            for domain in ("domain-a", "domain-a", "domain-b", "domain-b"):
                fleet.start_node(service="bookings", domain=domain)
            for node in fleet.nodes:
                fleet.wait_for_members("bookings", 4, node)
            write_contracts(demo)
            # The caller sends continuously; its contract must not limit it.
            demo.change(put_contract("northfit-rentals", rate=1e6))
            entry_node, killed, paused, stopped = fleet.nodes
            with Caller(demo, entry_node) as caller:
                killed.node.kill()
                killed.node.wait()
                wait_for_state(fleet, killed, "dead")
                fleet.nodes.remove(killed)

                paused.node.send_signal(signal.SIGSTOP)
                running = [n for n in fleet.nodes if n is not paused]
                fleet.nodes[:] = running
                wait_for_state(fleet, paused, "dead")
                # A change committed during the pause reaches the resumed node.
                version = demo.change(put_contract("glen-cycles", rate=150.0))
                paused.node.send_signal(signal.SIGCONT)
                wait_for_state(fleet, paused, "serving", incarnation=2)
                demo.wait_for_version(paused, version)

                withdraw_without_store(demo, entry_node)

                stopped.node.terminate()
                wait_for_state(fleet, stopped, "left")
                stopped.node.wait()
                count_before = caller.answered_count()
                wait_for(
                    lambda: caller.answered_count() > count_before,
                    "a call after the stop",
                )
            assert set(caller.statuses) == {200}
