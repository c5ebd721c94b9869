"""Clients call a public route through a node during its planned stop.

The node is the only one of its zone, so its clients keep sending to it. The requests
take a second, well within the route's timeout and the clients' time budget.
"""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from standins import (  # noqa: E402
    Arrival,
    Client,
    Fleet,
    Outcome,
    make_config,
    make_path,
    run_case,
)

KEY = "k6wsjnbanfqasnmgkcuyj"
WORK_S = 1.0
OBJECTIVE_S = 0.3
TIMEOUT_S = 3.0
DEADLINE_S = 5.0
# Time between two requests of the clients, and how long they send.
PERIOD_S = 0.1
SEND_FOR_S = 7.0
# A request that is sent this long after SIGTERM is not excused by its backend's work.
EXCUSED_S = 3.0
ZONES = ["z-a", "z-b", "z-c"]


async def book(arrival: Arrival) -> bytes:
    """Run a booking."""
    await asyncio.sleep(WORK_S)
    return b"booked " + arrival.request_id.encode()


async def case(fleet: Fleet, trouble: bool) -> bool:
    """Return whether a request got no answer around the planned stop."""
    stopped, _ = fleet.add_machine(
        service="catalogue", zone="z-a", zones=ZONES, work=book
    )
    for zone in ZONES[1:]:
        fleet.add_machine(service="bookings", zone=zone, zones=ZONES, work=book)
    route = make_path(
        "book",
        "bookings",
        kind="non_idempotent",
        isPublic=True,
        targetLatencyS=OBJECTIVE_S,
        timeoutS=TIMEOUT_S,
    )
    await fleet.start(make_config(12, [route], KEY))
    stop_at = fleet.record.now() + 1.5
    requests: list[asyncio.Task[Outcome]] = []
    is_stopped = False
    begun = fleet.record.now()
    while fleet.record.now() < begun + SEND_FOR_S:
        client = Client(record=fleet.record, ip=stopped.ip, key="")
        requests.append(
            asyncio.create_task(
                client.request("POST", "/book/x", deadline_s=DEADLINE_S, body=b"x")
            )
        )
        if trouble and not is_stopped and fleet.record.now() >= stop_at:
            is_stopped = True
            stop_at = fleet.record.now()
            stopped.signal(signal.SIGTERM)
        await asyncio.sleep(PERIOD_S)
    outcomes = await asyncio.gather(*requests)
    if trouble:
        await stopped.wait_exit(8.0)
    await asyncio.sleep(WORK_S)
    arrived = {a.request_id for b in fleet.backends for a in b.arrivals}
    run = {a.request_id for b in fleet.backends for a in b.arrivals if a.ended == "ok"}
    lost = [
        o
        for o in outcomes
        if o.end.startswith("closed")
        and o.request_id in arrived
        and o.sent_at > stop_at + EXCUSED_S
    ]
    for outcome in lost:
        fleet.record.write(
            f"lost: {outcome.request_id}, sent {outcome.sent_at - stop_at:.2f} s after "
            f"SIGTERM, cut {outcome.ended_at - stop_at:.2f} s after it, "
            f"run to its end: {outcome.request_id in run}"
        )
    fleet.record.write(
        f"LOST: {len(lost)} requests that were sent later than {EXCUSED_S} s after "
        "SIGTERM reached a backend and got no answer"
    )
    return bool(lost)


run_case(FOLDER, case)
