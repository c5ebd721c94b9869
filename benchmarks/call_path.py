"""Processor time of the platform's node for each call, by stage.

    python -m benchmarks.call_path --plan chain --rate 300 --seconds 10 --seed 1

runs a stand-in deployment as processes and prints processor time for each request
that arrived at a target, the number of samples by stage and by function, and the
time of the reference: one parse of a request and of a response by ``httptools``.
"""

import json
import signal
import time
from collections import Counter
from typing import Annotated, NamedTuple

import anyio
import typer
from loguru import logger

from endivebeam_http import RequestParser, ResponseQueue
from thistlegate_standin import (
    PLANS,
    Deployment,
    NodeProcess,
    make_workloads,
    run_deployment,
)

PROGRAM = ("benchmarks/sampler.py",)
WARM_UP_S = 3.0
STOP_TIMEOUT_S = 15.0
REFERENCE_REPEATS = 20_000
MAX_FUNCTIONS = 45


def measure_reference_us() -> float:
    """Return the processor time of parsing one request and one response."""
    request = b"GET /a HTTP/1.1\r\nhost: a\r\nx-id: 1\r\nx-b: 2\r\n\r\n"
    response = b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 5\r\n\r\nwhole"
    parser, queue = RequestParser(), ResponseQueue()
    started = time.process_time()
    for _ in range(REFERENCE_REPEATS):
        parser.feed(request)
        queue.feed(response)
        queue.pop()
    return (time.process_time() - started) / REFERENCE_REPEATS * 1e6


async def stop_nodes(nodes: list[NodeProcess]) -> None:
    """Stop all nodes as planned and wait for their ends."""
    for node in nodes:
        node.stop()
    with anyio.fail_after(STOP_TIMEOUT_S):
        while not all(node.has_ended for node in nodes):
            await anyio.sleep(0.1)


def read_samples(nodes: list[NodeProcess]) -> tuple[Counter[str], Counter[str]]:
    """Return the samples of all nodes by function and by stage."""
    functions: Counter[str] = Counter()
    stages: Counter[str] = Counter()
    for node in nodes:
        for line in node.log_path.read_text().splitlines():
            if line.startswith("SAMPLES "):
                by_function, by_stage = json.loads(line.removeprefix("SAMPLES "))
                functions.update(by_function)
                stages.update(by_stage)
    return functions, stages


def print_shares(title: str, counts: Counter[str], us_per_call: float) -> None:
    """Print the share of each entry in all samples, and its time for each call."""
    total = sum(counts.values())
    print(f"\n{title:<52} share  us/call")
    for name, count in counts.most_common(MAX_FUNCTIONS):
        share = count / total
        print(f"{name:<52} {share:6.1%} {share * us_per_call:7.1f}")


class CpuTime(NamedTuple):
    """Processor time of all nodes in the program and in the kernel, in seconds."""

    program_s: float
    kernel_s: float


def read_cpu(deployment: Deployment) -> CpuTime:
    """Return the processor time that all nodes have taken."""
    parts = [node.read_cpu_parts_s() for node in deployment.nodes.values()]
    return CpuTime(sum(p for p, _ in parts), sum(k for _, k in parts))


async def measure(plan_name: str, rate: float, seconds: float, seed: int) -> None:
    """Run the load and print the tables."""
    plan = PLANS[plan_name]()
    workloads = make_workloads(plan, rate_per_s=rate)
    async with run_deployment(plan, seed=seed, program=PROGRAM) as deployment:
        nodes = list(deployment.nodes.values())
        started = read_cpu(deployment)
        await anyio.sleep(WARM_UP_S)
        idle_s = (sum(read_cpu(deployment)) - sum(started)) / WARM_UP_S / len(nodes)
        await deployment.apply_load(workloads, WARM_UP_S)
        for node in nodes:
            node.signal(signal.SIGUSR1)
        runs_before = len(deployment.records.runs)
        before = read_cpu(deployment)
        await deployment.apply_load(workloads, seconds)
        after = read_cpu(deployment)
        runs = len(deployment.records.runs) - runs_before
        await stop_nodes(nodes)
        functions, stages = read_samples(nodes)
    program_us = (after.program_s - before.program_s) / runs * 1e6
    kernel_us = (after.kernel_s - before.kernel_s) / runs * 1e6
    us_per_call = program_us + kernel_us
    reference_us = measure_reference_us()
    print(f"{len(nodes)} nodes, {runs} arrivals in {seconds:.0f} s")
    print(f"processor time an arrival: {program_us:.0f} us, kernel {kernel_us:.0f} us")
    print(f"reference (two parses): {reference_us:.1f} us")
    print(f"ratio without the kernel: {program_us / reference_us:.1f}")
    print(f"idle node: {idle_s:.2%} of a core")
    print_shares("stage", stages, us_per_call)
    print_shares("function", functions, us_per_call)


def main(
    plan: Annotated[str, typer.Option(help="pair or chain")] = "chain",
    rate: Annotated[float, typer.Option(help="caller requests per second")] = 100.0,
    seconds: Annotated[float, typer.Option(help="measured time in seconds")] = 10.0,
    seed: Annotated[int, typer.Option(help="seed of arrivals and work")] = 1,
) -> None:
    """Print processor time for each arrival at a target, by stage and function."""
    logger.remove()
    anyio.run(measure, plan, rate, seconds, seed, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    typer.run(main)
