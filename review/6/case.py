"""Requests that arrive while a planned stop comes to its end.

Three of four machines are stopped and started again and again, while callers book at
them. A booking that a backend has run must be answered.
"""

import asyncio
import itertools
import random
import signal
import time
from collections.abc import Collection
from pathlib import Path

import anyio
import anyio.abc
import msgspec
from harness import HAS_TROUBLE, SETTLE_S, CaseRecord, format_address, run_case

from thistlegate_standin import (
    AccountConfig,
    Deployment,
    Plan,
    RouteConfig,
    TargetConfig,
    run_deployment,
)
from thistlegate_standin._machines import Machine

# Each machine is the only one of its zone, so that its callers stay with it.
MACHINES = 4
STOPPED = 3
ROUNDS = 13
# From a node's start until it is stopped again.
UP_S = 1.5
# Least time between two SIGTERMs to any of the machines.
GAP_S = 1.1
CALLERS = 10
MEAN_PAUSE_S = 0.03
BUDGET_S = 1.2
RETRY_PAUSE_S = 0.05
KEY = "key-of-fit"
BOOK = RouteConfig(
    name="book", service="bookings", kind="non_idempotent", timeout_s=BUDGET_S
)
PLAN = Plan(
    services={"bookings": MACHINES},
    target_configs={
        "bookings": TargetConfig(slots=48, work_s=0.003, constant_work=True)
    },
    routes=(BOOK,),
    accounts=(AccountConfig(name="fit", keys=(KEY,)),),
    zones=MACHINES,
)
_numbers = itertools.count(1)


class Booking(msgspec.Struct, kw_only=True):
    """A booking that was sent; ``status`` is empty if the connection was closed."""

    call_id: str
    machine: str
    sent_at: float
    ended_at: float = 0.0
    status: str = ""


async def book(machine: Machine, bookings: list[Booking]) -> None:
    """Send a booking on a new connection and read the beginning of its response."""
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*format_address(machine.callers)), BUDGET_S
        )
    except (OSError, RuntimeError):
        # The node isn't there; the client library of the loop raises the second one if
        # the connection ends at once.
        await anyio.sleep(RETRY_PAUSE_S)
        return
    booking = Booking(
        call_id=f"book-{next(_numbers)}", machine=machine.name, sent_at=time.monotonic()
    )
    request = (
        f"POST {BOOK.path} HTTP/1.1\r\nhost: shop.example\r\n"
        f"x-request-id: {booking.call_id}\r\n"
        f"x-deadline-ms: {int(BUDGET_S * 1000)}\r\n"
        f"authorization: Bearer {KEY}\r\ncontent-length: 2\r\n\r\nhi"
    )
    try:
        writer.write(request.encode())
        received = await asyncio.wait_for(reader.read(4096), 2 * BUDGET_S)
        booking.status = received[9:12].decode()
    except OSError:
        booking.status = ""
    except RuntimeError:
        # Nothing was sent.
        return
    finally:
        booking.ended_at = time.monotonic()
        writer.transport.abort()
    bookings.append(booking)


async def book_forever(
    machine: Machine, bookings: list[Booking], rng: random.Random
) -> None:
    """Send one booking after the other until cancelled."""
    while True:
        await book(machine, bookings)
        await anyio.sleep(rng.uniform(0, 2 * MEAN_PAUSE_S))


class Pace:
    """Lets one stop begin after the other."""

    def __init__(self) -> None:
        self._next_at = 0.0

    async def wait(self) -> None:
        """Wait until ``GAP_S`` after the stop that began last."""
        while (left_s := self._next_at - time.monotonic()) > 0:
            await anyio.sleep(left_s)
        self._next_at = time.monotonic() + GAP_S


async def stop_repeatedly(
    deployment: Deployment, machine: Machine, record: CaseRecord, pace: Pace
) -> None:
    """Stop a node as planned each time it has been up for a while."""
    node = deployment.nodes[machine.name]
    for _ in range(ROUNDS):
        await pace.wait()
        starts = node.starts
        record.add(f"SIGTERM to the node of {machine.name}")
        node.signal(signal.SIGTERM)
        while node.starts == starts:
            await anyio.sleep(0.02)
        record.add(f"the node of {machine.name} is started again")
        await anyio.sleep(UP_S)


async def run_stops(record: CaseRecord) -> str:
    """Stop the nodes while callers book; return which bookings were cut."""
    bookings: list[Booking] = []
    rng = random.Random(1)
    async with run_deployment(PLAN, seed=1) as deployment:
        await anyio.sleep(SETTLE_S)
        stopped = deployment.machines[:STOPPED]
        async with anyio.create_task_group() as callers:
            for machine in stopped:
                for _ in range(CALLERS):
                    callers.start_soon(book_forever, machine, bookings, rng)
            await anyio.sleep(UP_S)
            if HAS_TROUBLE:
                async with anyio.create_task_group() as stops:
                    pace = Pace()
                    for machine in stopped:
                        stops.start_soon(
                            stop_repeatedly, deployment, machine, record, pace
                        )
            else:
                await anyio.sleep(10 * UP_S)
            callers.cancel_scope.cancel()
        runs = deployment.records.group_runs_by_call()
        cut = [b for b in bookings if not b.status and b.call_id in runs]
        record_bookings(record, bookings, cut, runs.keys())
    record.add(f"{len(bookings)} bookings, {len(cut)} of them ran and were cut")
    return f"ran and got no answer: {', '.join(b.call_id for b in cut)}" if cut else ""


def record_bookings(
    record: CaseRecord,
    bookings: list[Booking],
    cut: list[Booking],
    ran: Collection[str],
) -> None:
    """Add the bookings that ended without an answer, and a hundred of the others."""
    answered = [b for b in bookings if b.status]
    closed = [b for b in bookings if not b.status]
    for booking in [*closed, *answered[:100]]:
        call_id = booking.call_id
        record.add(f"{call_id} sent at {booking.machine}", at=booking.sent_at)
        result = booking.status or "connection closed without an answer"
        ran_text = "ran" if call_id in ran else "didn't run"
        record.add(f"{call_id} {ran_text}: {result}", at=booking.ended_at)


run_case(Path(__file__).parent, run_stops)
