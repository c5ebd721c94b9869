"""Long run with faults that shows leaks of memory, sockets or files.

    python -m benchmarks.soak --seed 1 --minutes 10

Six nodes serve steady calls while faults follow one another: the store is down, the
store's responses are lost, a node is paused, a node is killed and replaced, or a
contract changes. Each sample lists resident memory and open files of the five nodes
that run from start to end.
"""

import random
import signal
import statistics
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from threading import Event, Thread
from typing import Annotated

import httpx
import typer

from endivebeam_standins import FleetNode, run_fleet
from endivebeam_standins.demo import (
    ACCOUNTS,
    Demo,
    put_contract,
    start_fleet,
    write_contracts,
)

from .processes import count_open_files, read_memory_mb

CALLERS = 4
CALL_PAUSE_S = 0.02
FAULT_PERIOD_S = 20.0
FAULT_S = 5.0
SAMPLE_PERIOD_S = 60.0


class Load:
    """Callers that send steady calls and count their results."""

    def __init__(self, *, demo: Demo, nodes: list[FleetNode]) -> None:
        self.counts: Counter[str] = Counter()
        self._demo = demo
        self._nodes = nodes
        self._stop = Event()
        self._threads = [Thread(target=self._send, args=(i,)) for i in range(CALLERS)]

    def start(self) -> None:
        """Start the callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the callers."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _send(self, index: int) -> None:
        node = self._nodes[index % len(self._nodes)]
        headers = {"authorization": f"Bearer {self._demo.keys[ACCOUNTS[0]]}"}
        paths = ("/catalogue/items", "/bookings/items", "/bookings/chain/catalogue/x")
        with httpx.Client(
            base_url=node.caller_url, headers=headers, timeout=15.0
        ) as client:
            while not self._stop.wait(CALL_PAUSE_S):
                for path in paths:
                    self.counts[_send_once(client, path)] += 1


def _send_once(client: httpx.Client, path: str) -> str:
    try:
        response = client.get(path)
    except httpx.HTTPError as error:
        return type(error).__name__
    return str(response.headers.get("endivebeam-reason", response.status_code))


class Faults:
    """Random faults, each of which ends before the next one.

    Only ``unstable_node`` is paused or replaced.
    """

    def __init__(
        self, *, demo: Demo, unstable_node: FleetNode, rng: random.Random
    ) -> None:
        self._demo = demo
        self._fleet = demo.fleet
        self._unstable_node = unstable_node
        self._rng = rng
        self.counts: Counter[str] = Counter()

    def run_one(self) -> None:
        """Cause one random fault."""
        faults: list[Callable[[], None]] = [
            self.take_store_down,
            self.lose_answers,
            self.pause_node,
            self.replace_node,
            self.change_contract,
        ]
        fault = self._rng.choice(faults)
        fault()
        self.counts[fault.__name__] += 1

    def take_store_down(self) -> None:
        """Make the platform unavailable for ``FAULT_S``."""
        self._run_with_fault("down")

    def lose_answers(self) -> None:
        """Make the platform apply writes without responding for ``FAULT_S``."""
        self._run_with_fault("lose_answers")

    def pause_node(self) -> None:
        """Pause the process of a node for ``FAULT_S``."""
        self._unstable_node.node.send_signal(signal.SIGSTOP)
        time.sleep(FAULT_S)
        self._unstable_node.node.send_signal(signal.SIGCONT)

    def replace_node(self) -> None:
        """Kill a node and its target, and start others in their place."""
        self._unstable_node.node.kill()
        self._unstable_node.target.kill()
        self._fleet.nodes.remove(self._unstable_node)
        self._unstable_node = self._fleet.start_node(
            service="bookings", domain="domain-c"
        )

    def change_contract(self) -> None:
        """Change a contract as an operator does."""
        rate = self._rng.uniform(50, 150)
        self._demo.change(put_contract(ACCOUNTS[1], rate=rate))

    def _run_with_fault(self, mode: str) -> None:
        self._fleet.set_faults(mode)
        time.sleep(FAULT_S)
        self._fleet.set_faults("none")


def print_sample(elapsed_s: float, nodes: list[FleetNode], calls: int) -> None:
    """Print the median and largest memory and number of open files of the nodes."""
    memory = [read_memory_mb(node) for node in nodes]
    files = [count_open_files(node) for node in nodes]
    print(
        f"{elapsed_s:7.0f} s  memory MB {statistics.median(memory):6.1f} "
        f"{max(memory):6.1f}  files {statistics.median(files):5.0f} {max(files):4d}  "
        f"calls {calls}",
        flush=True,
    )


def main(
    seed: Annotated[int, typer.Option()] = 1,
    minutes: Annotated[float, typer.Option()] = 10.0,
) -> None:
    """Run the fleet with faults and print a sample each minute."""
    with (
        tempfile.TemporaryDirectory() as directory,
        run_fleet(Path(directory), log_level="WARNING") as fleet,
    ):
        demo = Demo(fleet=fleet)
        start_fleet(fleet)
        write_contracts(demo)
        demo.change(put_contract(ACCOUNTS[0], rate=1e5))
        stable_nodes = fleet.nodes[:5]
        load = Load(demo=demo, nodes=stable_nodes)
        faults = Faults(
            demo=demo, unstable_node=fleet.nodes[5], rng=random.Random(seed)
        )
        print(f"seed {seed}; median and largest of {len(stable_nodes)} nodes")
        load.start()
        try:
            _run(minutes * 60, load, faults, stable_nodes)
        finally:
            load.stop()
        print(f"faults: {dict(sorted(faults.counts.items()))}")
        print(f"calls: {dict(sorted(load.counts.items()))}")


def _run(
    duration_s: float, load: Load, faults: Faults, stable_nodes: list[FleetNode]
) -> None:
    started = time.monotonic()
    sampled_at = -SAMPLE_PERIOD_S
    while (elapsed := time.monotonic() - started) < duration_s:
        if elapsed - sampled_at >= SAMPLE_PERIOD_S:
            sampled_at = elapsed
            print_sample(elapsed, stable_nodes, sum(load.counts.values()))
        faults.run_one()
        time.sleep(max(0.0, FAULT_PERIOD_S - FAULT_S))
    print_sample(time.monotonic() - started, stable_nodes, sum(load.counts.values()))


if __name__ == "__main__":
    typer.run(main)
