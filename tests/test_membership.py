"""Kills, pauses and stops nodes of a small fleet while calls run."""

import signal
import threading
from collections import Counter
from pathlib import Path

import httpx
import pytest

from endivebeam_model import digest_key
from endivebeam_standins import Fleet, FleetNode, run_fleet, wait_for
from endivebeam_standins.demo import Demo, put_contract, write_contracts

# Each call may take its whole time limit when its target is paused.
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

    def answered(self) -> int:
        return self.statuses[200]

    def _run(self, demo: Demo, node: FleetNode) -> None:
        key = next(iter(demo.keys.values()))
        headers = {"authorization": f"Bearer {key}"}
        with httpx.Client(
            base_url=node.caller_url, headers=headers, timeout=CALL_TIMEOUT_S
        ) as client:
            while not self._stop.is_set():
                answer = client.get("/bookings/items")
                self.statuses[answer.status_code] += 1


def read_member(fleet: Fleet, observer: FleetNode, name: str) -> tuple[int, str]:
    """Return incarnation and state of a node's record as another node has it."""
    with fleet.admin(observer) as client:
        members = client.get("/v1/status").json()["members"]
    found = [(m[1], m[8]) for m in members if m[0] == name]
    return found[0] if found else (0, "")


def wait_for_state(
    fleet: Fleet, node: FleetNode, state: str, incarnation: int = 1
) -> None:
    """Wait until every other running node has a state in a node's record."""
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


def withdraw_without_store(demo: Demo, entry: FleetNode) -> None:
    """Withdraw a key while the store is down and follow it into the log."""
    account = "glen-cycles"
    digest = digest_key(demo.keys[account])
    demo.fleet.set_faults("down")
    with demo.fleet.admin(entry) as client:
        body = {
            "op_id": "withdraw-1",
            "expected_version": client.get("/v1/config").json()["version"],
            "change": {"type": "withdraw_key", "digest": digest},
        }
        answer = client.post("/v1/changes", json=body)
    assert (answer.status_code, answer.json()["durable"]) == (202, False)
    for node in demo.fleet.nodes:
        wait_for(
            lambda node=node: (
                demo.call(node, "GET", "/bookings/items", account).status_code == 401
            ),
            f"key refused at {node.name}",
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
    def test_no_call_is_lost_while_nodes_die_pause_and_stop(self, tmp_path: Path):
        """Guards against lost calls and stale members around failing nodes."""
        with run_fleet(tmp_path) as fleet:
            demo = Demo(fleet=fleet)
            # Nodes are monitored inside their domain, so that each has a neighbor.
            for domain in ("domain-a", "domain-a", "domain-b", "domain-b"):
                fleet.start_node(service="bookings", domain=domain)
            for node in fleet.nodes:
                fleet.wait_for_members("bookings", 4, node)
            write_contracts(demo)
            # The caller sends without a pause; its rate is not the subject here.
            demo.change(put_contract("northfit-rentals", rate=1e6))
            entry, killed, paused, stopped = fleet.nodes
            with Caller(demo, entry) as caller:
                killed.node.kill()
                killed.node.wait()
                wait_for_state(fleet, killed, "dead")
                fleet.nodes.remove(killed)

                paused.node.send_signal(signal.SIGSTOP)
                live = [n for n in fleet.nodes if n is not paused]
                fleet.nodes[:] = live
                wait_for_state(fleet, paused, "dead")
                # A change that is made meanwhile reaches the node afterwards.
                version = demo.change(put_contract("glen-cycles", rate=150.0))
                paused.node.send_signal(signal.SIGCONT)
                wait_for_state(fleet, paused, "serving", incarnation=2)
                demo.wait_for_version(paused, version)

                withdraw_without_store(demo, entry)

                stopped.node.terminate()
                wait_for_state(fleet, stopped, "left")
                stopped.node.wait()
                before = caller.answered()
                wait_for(lambda: caller.answered() > before, "a call after the stop")
            assert set(caller.statuses) == {200}
