"""Crowds of clients that stay in no limits, against real processes.

Each crowd is larger than what the settings of the test let a node hold, and is at one
node whose requests lead to another one. It stays until the end of its test. Then no
process has ended, none has used more memory or descriptors than its machine has, and
an ordinary request is answered. The crowds and the bounds don't follow the product.
"""

import os
from functools import partial
from pathlib import Path

import anyio
import msgspec
import pytest

from thistlegate_standin import (
    AccountConfig,
    Crowd,
    Deployment,
    Outcome,
    Plan,
    RouteConfig,
    TargetConfig,
    Workload,
    encode_chunk,
    join_crowd,
    make_head,
    run_deployment,
)

KEY = "key-of-fit"
CROWD_KEY = "key-of-crowd"
BOOK = RouteConfig(
    name="book", service="catalogue", kind="non_idempotent", timeout_s=20.0
)
HUGE = RouteConfig(name="huge", service="catalogue", timeout_s=20.0)
WAIT = RouteConfig(
    name="wait", service="deliveries", kind="non_idempotent", timeout_s=20.0
)
LOOK = RouteConfig(name="look", service="bookings", timeout_s=20.0)

# What the settings of the test give to each node.
MEMORY_MB = 96
DESCRIPTORS = 600
# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200

CROWD_SIZE = 120
BODY_BYTES = 1 << 20
CHUNK_BYTES = 64 << 10
CHUNK = encode_chunk(bytes(CHUNK_BYTES))
TINY_CHUNK = encode_chunk(b"a")
SEND_S = 15.0
# Time for the nodes to take what the crowd sent.
STAY_S = 4.0
ORDINARY_BODY_BYTES = 4000
ORDINARY_BUDGET_S = 20.0


def make_book_head(*extra: str) -> bytes:
    return make_head("POST", BOOK.path, key=CROWD_KEY, extra=extra)


CROWDS = {
    "length over the limit": Crowd(
        size=CROWD_SIZE,
        head=make_book_head("content-length: 100000000"),
        part=bytes(CHUNK_BYTES),
        parts=64,
    ),
    "chunks without end": Crowd(
        size=CROWD_SIZE,
        head=make_book_head("transfer-encoding: chunked"),
        part=CHUNK,
        parts=64,
    ),
    "chunks that stop short of the end": Crowd(
        size=CROWD_SIZE,
        head=make_book_head("transfer-encoding: chunked"),
        part=CHUNK,
        parts=15,
        end=encode_chunk(bytes(CHUNK_BYTES - 1)),
    ),
    "length that stops short of the end": Crowd(
        size=CROWD_SIZE,
        head=make_book_head(f"content-length: {BODY_BYTES}"),
        part=bytes(CHUNK_BYTES),
        parts=15,
        end=bytes(CHUNK_BYTES - 1),
    ),
    "chunks of one byte": Crowd(
        size=CROWD_SIZE,
        head=make_book_head("transfer-encoding: chunked"),
        part=TINY_CHUNK * 1024,
        parts=64,
    ),
    "whole bodies for a slow target": Crowd(
        size=CROWD_SIZE,
        head=make_head(
            "POST", WAIT.path, key=CROWD_KEY, extra=[f"content-length: {BODY_BYTES}"]
        ),
        part=bytes(CHUNK_BYTES),
        parts=16,
    ),
    "many requests at once": Crowd(
        size=40,
        part=make_head("GET", LOOK.path, key=CROWD_KEY) * 512,
        parts=4,
    ),
    "requests with long heads at once": Crowd(
        size=400,
        part=make_head("GET", WAIT.path, key=CROWD_KEY, extra=["x-a: " + 15_000 * "a"]),
        parts=30,
    ),
    "long responses that are not read": Crowd(
        size=40,
        part=make_head("GET", HUGE.path, key=CROWD_KEY),
        parts=10,
        pause_s=0.5,
    ),
    "heads that stop short of the end": Crowd(
        size=400,
        head=make_book_head()[:-2] + b"x-a: " + bytes([97]) * 15_000,
    ),
    "silence": Crowd(size=700),
}


# A crowd of well-behaved nodes: together they send a node more than it may hold.
ENTRIES = 3
ENTRY_MEMORY_MB = 1000
ENTRY_CROWD_SIZE = 100
SECOND_CROWDS = {
    "whole bodies": msgspec.structs.replace(
        CROWDS["whole bodies for a slow target"], size=ENTRY_CROWD_SIZE
    ),
    "long responses": msgspec.structs.replace(
        CROWDS["long responses that are not read"], size=ENTRY_CROWD_SIZE
    ),
}


def make_plan() -> Plan:
    """Return a deployment with small machines; one of its targets is slow."""
    target = TargetConfig(slots=32, work_s=0.01)
    slow = TargetConfig(slots=32, work_s=15.0, constant_work=True)
    return Plan(
        services={"bookings": 1, "catalogue": 1, "deliveries": 1},
        target_configs={"bookings": target, "catalogue": target, "deliveries": slow},
        routes=(BOOK, HUGE, WAIT, LOOK),
        accounts=(
            AccountConfig(name="fit", keys=(KEY,)),
            AccountConfig(name="crowd", keys=(CROWD_KEY,)),
        ),
        settings={
            "localNode.limits.memoryMb": f"{MEMORY_MB}",
            "localNode.limits.maxFds": f"{DESCRIPTORS}",
        },
    )


def make_second_plan() -> Plan:
    """Return a deployment whose entry nodes may hold far more than the others.

    Their targets serve many calls at once.
    """
    plan = make_plan()
    wide = TargetConfig(slots=200, work_s=0.5, constant_work=True)
    wide_and_slow = TargetConfig(slots=200, work_s=4.0, constant_work=True)
    return msgspec.structs.replace(
        plan,
        services={"bookings": ENTRIES, "catalogue": 1, "deliveries": 1},
        target_configs={
            **plan.target_configs,
            "catalogue": wide,
            "deliveries": wide_and_slow,
        },
        service_settings={
            "bookings": {
                "localNode.limits.memoryMb": f"{ENTRY_MEMORY_MB}",
                "localNode.limits.maxFds": "4100",
            }
        },
    )


async def send_ordinary_request(
    deployment: Deployment, *, body_bytes: int = ORDINARY_BODY_BYTES
) -> Outcome:
    """Send a request of a client inside the limits where the crowd is."""
    entry = next(m for m in deployment.machines if m.service == "bookings")
    workload = Workload(
        route=LOOK,
        account="fit",
        key=KEY,
        rate_per_s=0.0,
        budget_s=ORDINARY_BUDGET_S,
        body_bytes=body_bytes,
    )
    await deployment.load.request(workload, entry)
    return deployment.records.attempts[-1].outcome


def count_descriptors(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


class Findings(msgspec.Struct, kw_only=True):
    """What a crowd did to the nodes, by node, and the end of an ordinary request."""

    exits: dict[str, list[int]]
    memory_mb: dict[str, float]
    descriptors: dict[str, int]
    outcome: Outcome


def find_excess(findings: Findings) -> list[str]:
    """Return what went beyond its bound; empty if all is well."""
    found = [
        f"{name} ended: {exits}" for name, exits in findings.exits.items() if exits
    ]
    found += [
        f"{name} used {memory_mb:.0f} MB of {MEMORY_MB}"
        for name, memory_mb in findings.memory_mb.items()
        if memory_mb >= MEMORY_MB
    ]
    found += [
        f"{name} has {count} descriptors open of {DESCRIPTORS - FILE_DESCRIPTORS}"
        for name, count in findings.descriptors.items()
        if count >= DESCRIPTORS - FILE_DESCRIPTORS
    ]
    if findings.outcome is not Outcome.ANSWERED:
        found.append(f"an ordinary request ended as {findings.outcome.value}")
    return found


async def run_crowd(crowd: Crowd) -> Findings:
    """Run a crowd against a deployment and return what it did."""
    async with run_deployment(make_plan(), seed=1) as deployment:
        entry = next(m for m in deployment.machines if m.service == "bookings")
        async with anyio.create_task_group() as tasks:
            await join_crowd(crowd, entry, tasks, send_s=SEND_S)
            await anyio.sleep(STAY_S)
            descriptors = {
                name: count_descriptors(node.pid)
                for name, node in deployment.nodes.items()
                if node.pid
            }
            outcome = await send_ordinary_request(deployment)
            tasks.cancel_scope.cancel()
        return Findings(
            exits={name: node.exits for name, node in deployment.nodes.items()},
            memory_mb={
                name: node.read_memory_mb()
                for name, node in deployment.nodes.items()
                if node.pid
            },
            descriptors=descriptors,
            outcome=outcome,
        )


@pytest.mark.anyio
@pytest.mark.process
class TestCrowds:
    @pytest.mark.parametrize("crowd", CROWDS.values(), ids=CROWDS)
    async def test_leaves_the_nodes_inside_their_limits(self, crowd: Crowd):
        """Guards against clients that use up the memory or connections of a node."""
        findings = await run_crowd(crowd)
        print(findings)
        assert find_excess(findings) == []


@pytest.mark.anyio
@pytest.mark.process
class TestSecondNodes:
    @pytest.mark.parametrize("crowd", SECOND_CROWDS.values(), ids=SECOND_CROWDS)
    async def test_stay_inside_their_limits_on_their_own(self, crowd: Crowd):
        """Guards against a node that holds all that well-behaved nodes send it."""
        async with run_deployment(make_second_plan(), seed=1) as deployment:
            entries = [m for m in deployment.machines if m.service == "bookings"]
            async with anyio.create_task_group() as tasks:
                async with anyio.create_task_group() as joining:
                    for entry in entries:
                        joining.start_soon(
                            partial(join_crowd, crowd, entry, tasks, send_s=SEND_S)
                        )
                await anyio.sleep(STAY_S)
                outcome = await send_ordinary_request(deployment)
                tasks.cancel_scope.cancel()
            memory_mb = {
                name: node.read_memory_mb()
                for name, node in deployment.nodes.items()
                if node.machine.service != "bookings" and node.pid
            }
            exits = {name: node.exits for name, node in deployment.nodes.items()}
        findings = Findings(
            exits=exits, memory_mb=memory_mb, descriptors={}, outcome=outcome
        )
        print(findings)
        assert find_excess(findings) == []


@pytest.mark.anyio
@pytest.mark.process
class TestCalm:
    async def test_largest_body_is_served(self):
        """Guards against bounds that a client inside the limits meets."""
        async with run_deployment(make_plan(), seed=1) as deployment:
            outcome = await send_ordinary_request(deployment, body_bytes=BODY_BYTES)
        assert outcome is Outcome.ANSWERED


class TestBounds:
    def test_descriptors_of_this_process_hold_the_crowds(self):
        """Guards against a crowd that is smaller than it is meant to be."""
        limits = Path("/proc/self/limits").read_text()
        line = next(x for x in limits.splitlines() if x.startswith("Max open files"))
        assert int(line.split()[3]) > 2 * max(crowd.size for crowd in CROWDS.values())
