"""Latency of at-most-once and idempotent calls, and rejections in an outage.

Starts one node with its target and the platform stand-in. One caller sends one
call at a time. Run with ``python -m benchmarks.at_most_once --seed 1``.
"""

import argparse
import random
import statistics
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import httpx

from endivebeam_model import digest_key
from endivebeam_standins import Fleet, FleetNode, run_fleet, wait_for

STORE_DELAYS_MS = (0, 5, 20)
CALLS = 100
REPETITIONS = 3
OUTAGE_CALLS = 40
TOKEN = "eb_benchmark"

# From section 4 of docs/design.md: the write capacity of the table and the batches of
# option (b), which records the intents of all calls of a batch in one write. Option (a)
# writes the record of each call on its own.
TABLE_WRITES_PER_S = 320
PARTITIONS = 64
BATCHES_PER_S = 5
INTENTS_PER_BATCH = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class Cost:
    """Latencies in milliseconds and writes of one repetition."""

    idempotent: list[float]
    deposit: list[float]
    writes: int

    @property
    def added_ms(self) -> float:
        """Median latency of a deposit minus that of an idempotent call, in ms."""
        return statistics.median(self.deposit) - statistics.median(self.idempotent)

    @property
    def ratio(self) -> float:
        """Ratio of the median latency of a deposit to that of an idempotent call."""
        return statistics.median(self.deposit) / statistics.median(self.idempotent)


def write_configuration(fleet: Fleet, node: FleetNode) -> None:
    """Write the routes, contract and key that the calls require."""
    deposits = {"path": "/deposits", "method": "POST", "semantics": "at_most_once"}
    routes = [{"path": "/", "method": "*"}, deposits]
    contract = {"account": "a", "rate_per_s": 1e6, "burst": 1e6}
    key = {"digest": digest_key(TOKEN), "account": "a"}
    changes: list[dict[str, object]] = [
        {"type": "put_service", "service": {"service": "bookings", "routes": routes}},
        {"type": "put_contract", "contract": contract},
        {"type": "issue_key", "key": key},
    ]
    with fleet.admin(node) as client:
        for version, change in enumerate(changes):
            body = {
                "op_id": f"change-{version}",
                "expected_version": version,
                "change": change,
            }
            client.post("/v1/changes", json=body).raise_for_status()


def send(client: httpx.Client, path: str, key: str) -> tuple[httpx.Response, float]:
    """Send one call and return its response and the latency in milliseconds."""
    started = time.perf_counter()
    response = client.post(path, headers={"idempotency-key": key}, content=b"25")
    return response, (time.perf_counter() - started) * 1000


def count_writes(fleet: Fleet) -> int:
    """Return the number of writes to rows of call records."""
    listing = httpx.get(
        f"{fleet.platform_url}/v1/table/rows?prefix=call/&limit=100000"
    ).json()
    return sum(row["version"] for row in listing["rows"])


def measure_cost(
    fleet: Fleet, client: httpx.Client, rng: random.Random, name: str
) -> Cost:
    """Measure one repetition, with both kinds of calls in random order."""
    kinds = ["/bookings/quotes", "/bookings/deposits"] * CALLS
    rng.shuffle(kinds)
    latencies_ms: dict[str, list[float]] = {kind: [] for kind in kinds}
    before = count_writes(fleet)
    for number, kind in enumerate(kinds):
        response, elapsed_ms = send(client, kind, f"{name}-{number}")
        response.raise_for_status()
        latencies_ms[kind].append(elapsed_ms)
    return Cost(
        idempotent=latencies_ms["/bookings/quotes"],
        deposit=latencies_ms["/bookings/deposits"],
        writes=count_writes(fleet) - before,
    )


def print_costs(fleet: Fleet, client: httpx.Client, rng: random.Random) -> float:
    """Print the cost for each delay of the store and return the writes per call."""
    print("store   idempotent  deposit    added     ratio    worst    writes")
    print("delay   median      median     median    median   ratio    per call")
    writes_per_call = 0.0
    for delay_ms in STORE_DELAYS_MS:
        mode = "slow" if delay_ms else "none"
        fleet.set_faults(mode, delay_ms, prefix="call/")
        costs = [
            measure_cost(fleet, client, rng, f"{delay_ms}-{repetition}")
            for repetition in range(REPETITIONS)
        ]
        costs.sort(key=lambda cost: cost.ratio)
        middle, worst = costs[len(costs) // 2], costs[-1]
        writes_per_call = max(cost.writes for cost in costs) / CALLS
        print(
            f"{delay_ms:3} ms  {statistics.median(middle.idempotent):6.2f} ms  "
            f"{statistics.median(middle.deposit):8.2f} ms "
            f"{middle.added_ms:7.2f} ms  {middle.ratio:6.2f}   "
            f"{worst.ratio:6.2f}   {writes_per_call:6.2f}"
        )
    return writes_per_call


def print_outage(fleet: Fleet, client: httpx.Client) -> None:
    """Print the responses while the store is down, and the runs after its recovery."""
    fleet.set_faults("down")
    results: dict[str, Counter[str]] = {"quotes": Counter(), "deposits": Counter()}
    latencies_ms: dict[str, list[float]] = {"quotes": [], "deposits": []}
    for number in range(OUTAGE_CALLS):
        for kind, counts in results.items():
            response, elapsed_ms = send(client, f"/bookings/{kind}", f"outage-{number}")
            reason = response.headers.get("endivebeam-reason", "answered")
            counts[f"{reason} {response.headers.get('endivebeam-run', '')}"] += 1
            latencies_ms[kind].append(elapsed_ms)
    for kind, counts in results.items():
        listed = ", ".join(f"{n} {reason.strip()}" for reason, n in counts.items())
        median, worst = statistics.median(latencies_ms[kind]), max(latencies_ms[kind])
        print(f"down: {kind}: {listed}; median {median:.2f} ms, worst {worst:.2f} ms")
    fleet.set_faults("none")
    completed = [
        wait_for(lambda n=number: retry(client, n), "the store")  # type: ignore[misc]
        for number in range(OUTAGE_CALLS)
    ]
    runs = httpx.get(f"{fleet.nodes[0].target_url}/ledger").json()
    twice = sum(count > 1 for count in runs.values())
    print(f"back: {sum(completed)} of {OUTAGE_CALLS} deposits run; run twice: {twice}")


def retry(client: httpx.Client, number: int) -> bool:
    """Retry a rejected deposit and return whether it succeeded."""
    response, _ = send(client, "/bookings/deposits", f"outage-{number}")
    return response.status_code == 200


def print_options(writes_per_call: float) -> None:
    """Print the computed capacity of the design options."""
    single = TABLE_WRITES_PER_S / writes_per_call
    batches = PARTITIONS * BATCHES_PER_S
    batched = batches * INTENTS_PER_BATCH
    print(
        f"option (a), computed: {TABLE_WRITES_PER_S} writes/s carry "
        f"{single:.0f} calls/s; adds two store round trips"
    )
    print(
        f"option (b), computed: {batches} writes/s carry {batched} calls/s with "
        f"{INTENTS_PER_BATCH} intents per batch; adds up to "
        f"{1000 // BATCHES_PER_S} ms; ratio to (a) {batched / single:.0f}"
    )


def main() -> None:
    """Run the experiment."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    rng = random.Random(parser.parse_args().seed)
    with (
        tempfile.TemporaryDirectory() as directory,
        run_fleet(Path(directory)) as fleet,
    ):
        node = fleet.start_node(service="bookings", domain="domain-a")
        fleet.wait_for_members("bookings", 1, node)
        write_configuration(fleet, node)
        headers = {"authorization": f"Bearer {TOKEN}"}
        with httpx.Client(
            base_url=node.caller_url, headers=headers, timeout=15.0
        ) as client:
            wait_for(lambda: retry(client, -1), "the configuration")
            writes_per_call = print_costs(fleet, client, rng)
            print_outage(fleet, client)
            print_options(writes_per_call)


if __name__ == "__main__":
    main()
