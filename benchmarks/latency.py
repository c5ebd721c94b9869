"""Latency that nodes add to a call, compared with direct calls to the target.

Starts the platform stand-in and two nodes with one target each as separate
processes. Each repetition sends the same paced calls to four endpoints, one after
the other, so that all of them see the same load of the machine: the target itself,
a bare TCP forwarder, the node beside the target, and the other node. The forwarder
shows the least latency that one more process adds.

    python -m benchmarks.latency --seed 1 --repetitions 5
"""

import random
import secrets
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Annotated

import anyio
import anyio.abc
import typer

from endivebeam_http import ClientPool, Field, Request
from endivebeam_model import digest_key
from endivebeam_standins import Fleet, FleetNode, run_fleet
from endivebeam_standins.demo import Demo

from .processes import read_cpu_s, read_memory_mb

SERVICE = "catalogue"
ACCOUNT = "northfit-rentals"
GOAL_ADDED_P99_MS = 0.32
POST_BYTES = 4096
WARM_UP_CALLS = 200
SATURATION_S = 3.0


@dataclass(slots=True, kw_only=True)
class Endpoint:
    """Port, path prefix and header fields by which calls reach the target."""

    name: str
    port: int
    prefix: str
    fields: list[Field]


@dataclass(slots=True, kw_only=True)
class Sample:
    """Latencies of one repetition at one endpoint."""

    latencies_ms: list[float]

    def quantile(self, fraction: float) -> float:
        """Return a quantile of the latencies."""
        ordered = sorted(self.latencies_ms)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def make_request(endpoint: Endpoint, body: bytes) -> Request:
    """Return a POST request if there is a body, otherwise a GET request."""
    return Request(
        method="POST" if body else "GET",
        target=f"{endpoint.prefix}/items?page=2",
        fields=[Field(b"accept", b"*/*"), *endpoint.fields],
        body=body,
    )


async def send_paced(
    endpoint: Endpoint, *, rate: float, calls: int, body: bytes, rng: random.Random
) -> Sample:
    """Send calls with exponential intervals at a rate per second.

    With a rate of 0 the next call is sent as soon as the last one was answered.
    """
    latencies: list[float] = []

    async def connect() -> anyio.abc.ByteStream:
        return await anyio.connect_tcp("127.0.0.1", endpoint.port)

    async with anyio.create_task_group() as tasks:
        pool = ClientPool(connect=connect, host="target")

        async def call_once() -> None:
            started = time.perf_counter()
            response = await pool.request(make_request(endpoint, body))
            if response.status != 200:
                raise RuntimeError(f"{endpoint.name} returned status {response.status}")
            latencies.append((time.perf_counter() - started) * 1000)

        for _ in range(WARM_UP_CALLS):
            await call_once()
        latencies.clear()
        async with anyio.create_task_group() as sending:
            due = time.perf_counter()
            for _ in range(calls):
                if not rate:
                    await call_once()
                    continue
                due += rng.expovariate(rate)
                await anyio.sleep(max(0.0, due - time.perf_counter()))
                sending.start_soon(call_once)
        await pool.close()
        tasks.cancel_scope.cancel()
    return Sample(latencies_ms=latencies)


async def saturate(endpoint: Endpoint, *, seconds: float, connections: int) -> float:
    """Return the calls per second of several connections that send without pause."""
    completed = 0

    async def connect() -> anyio.abc.ByteStream:
        return await anyio.connect_tcp("127.0.0.1", endpoint.port)

    async with anyio.create_task_group() as tasks:
        pool = ClientPool(connect=connect, host="target")

        async def send() -> None:
            nonlocal completed
            while True:
                await pool.request(make_request(endpoint, b""))
                completed += 1

        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as sending:
                for _ in range(connections):
                    sending.start_soon(send)
        tasks.cancel_scope.cancel()
    return completed / seconds


@contextmanager
def run_forwarder(target_port: int) -> Iterator[int]:
    """Run a bare forwarder in a process and yield its port."""
    command = [sys.executable, "-m", "benchmarks.forwarder", str(target_port)]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        assert process.stdout is not None
        try:
            yield int(process.stdout.readline())
        finally:
            process.terminate()


def start_endpoints(fleet: Fleet) -> list[Endpoint]:
    """Start two nodes and return the endpoints by which to reach the first target."""
    local_node = fleet.start_node(service=SERVICE, domain="domain-a", slots=400)
    remote_node = fleet.start_node(service="bookings", domain="domain-b")
    for node in fleet.nodes:
        fleet.wait_for_members(SERVICE, 1, node)
    demo = Demo(fleet=fleet)
    routes: list[dict[str, object]] = [{"path": "/", "method": "*"}]
    demo.change(
        {"type": "put_service", "service": {"service": SERVICE, "routes": routes}}
    )
    contract = {"account": ACCOUNT, "rate_per_s": 1e6, "burst": 1e6}
    demo.change({"type": "put_contract", "contract": contract})
    key = "eb_" + secrets.token_urlsafe(32)
    issued = {"digest": digest_key(key), "account": ACCOUNT}
    demo.change({"type": "issue_key", "key": issued})
    fields = [Field(b"authorization", b"Bearer " + key.encode())]
    return [
        Endpoint(name="direct", port=local_node.target_port, prefix="", fields=[]),
        _make_endpoint("node beside the target", local_node, fields),
        _make_endpoint("another node", remote_node, fields),
    ]


def _make_endpoint(name: str, node: FleetNode, fields: list[Field]) -> Endpoint:
    return Endpoint(
        name=name, port=node.ports.caller, prefix=f"/{SERVICE}", fields=fields
    )


def measure(
    endpoints: list[Endpoint],
    *,
    rate: float,
    calls: int,
    body: bytes,
    seed: int,
    rounds: int,
) -> dict[str, list[Sample]]:
    """Return the samples of each endpoint, one per repetition."""
    samples: dict[str, list[Sample]] = {endpoint.name: [] for endpoint in endpoints}
    for repetition in range(rounds):
        for endpoint in endpoints:
            rng = random.Random(seed + repetition)
            send = partial(
                send_paced, endpoint, rate=rate, calls=calls, body=body, rng=rng
            )
            sample = anyio.run(send)
            samples[endpoint.name].append(sample)
    return samples


def print_table(samples: dict[str, list[Sample]], label: str) -> None:
    """Print the medians over repetitions and the worst added p99."""
    direct = samples["direct"]
    for name, repetitions in samples.items():
        p50 = statistics.median(s.quantile(0.5) for s in repetitions)
        p99 = statistics.median(s.quantile(0.99) for s in repetitions)
        p999 = statistics.median(s.quantile(0.999) for s in repetitions)
        added50 = _added(repetitions, direct, 0.5)
        added99 = _added(repetitions, direct, 0.99)
        print(
            f"{label:>16}  {name:<24}{p50:7.3f}{p99:8.3f}{p999:8.3f}"
            f"{statistics.median(added50):9.3f}{statistics.median(added99):9.3f}"
            f"{max(added99):9.3f}"
        )


def _added(proxied: list[Sample], direct: list[Sample], fraction: float) -> list[float]:
    pairs = zip(proxied, direct, strict=True)
    return [p.quantile(fraction) - d.quantile(fraction) for p, d in pairs]


def main(
    seed: Annotated[int, typer.Option()] = 1,
    repetitions: Annotated[int, typer.Option()] = 5,
    calls: Annotated[
        int, typer.Option(help="Calls per endpoint and repetition.")
    ] = 1000,
    rates: Annotated[str, typer.Option(help="Calls/s, comma separated.")] = "50,170",
    saturation: Annotated[bool, typer.Option()] = True,
) -> None:
    """Print the added latency per endpoint, rate and request."""
    print(f"seed {seed}, {repetitions} repetitions of {calls} calls, ms")
    print(
        f"{'rate, request':>16}  {'way':<24}{'p50':>7}{'p99':>8}{'p99.9':>8}"
        f"{'+p50':>9}{'+p99':>9}{'worst+p99':>10}"
    )
    with (
        tempfile.TemporaryDirectory() as directory,
        run_fleet(Path(directory), log_level="WARNING") as fleet,
        ExitStack() as stack,
    ):
        endpoints = start_endpoints(fleet)
        forwarder_port = stack.enter_context(run_forwarder(endpoints[0].port))
        endpoints.insert(
            1,
            Endpoint(name="bare forwarder", port=forwarder_port, prefix="", fields=[]),
        )
        for rate in (float(text) for text in rates.split(",")):
            for request, body in (("GET", b""), ("POST 4K", b"x" * POST_BYTES)):
                samples = measure(
                    endpoints,
                    rate=rate,
                    calls=calls,
                    body=body,
                    seed=seed,
                    rounds=repetitions,
                )
                print_table(samples, f"{rate:g}/s {request}")
        print(f"goal: +p99 at most {GOAL_ADDED_P99_MS} ms at 170/s")
        if saturation:
            _print_saturation(endpoints, fleet.nodes)
        _print_cost(fleet.nodes)


def _print_saturation(endpoints: list[Endpoint], nodes: list[FleetNode]) -> None:
    for endpoint in endpoints:
        before = [read_cpu_s(node) for node in nodes]
        per_s = anyio.run(
            partial(saturate, endpoint, seconds=SATURATION_S, connections=8)
        )
        used_ms = [
            (read_cpu_s(node) - cpu_s) * 1000 / (per_s * SATURATION_S)
            for node, cpu_s in zip(nodes, before, strict=True)
        ]
        listed = ", ".join(f"{ms:.3f}" for ms in used_ms)
        print(
            f"saturation, 8 connections: {endpoint.name:<24}{per_s:6.0f} calls/s, "
            f"CPU ms per call of each node {listed}"
        )


def _print_cost(nodes: list[FleetNode]) -> None:
    for node in nodes:
        print(f"memory of node {node.name}: {read_memory_mb(node):.1f} MB")


if __name__ == "__main__":
    typer.run(main)
