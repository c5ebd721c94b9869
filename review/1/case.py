"""A settings change is signalled to a node during its planned stop.

Clients wait for bookings that run elsewhere. Their node gets SIGTERM, and a second
later SIGHUP, both well before the bookings end.
"""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from standins import Arrival, Client, Fleet, make_config, make_path, run_case  # noqa: E402

KEY = "k6wsjnbanfqasnmgkcuyj"
CLIENTS = 8
WORK_S = 2.5
ZONES = ["z-a", "z-b", "z-c"]


async def book(arrival: Arrival) -> bytes:
    """Run a booking."""
    await asyncio.sleep(WORK_S)
    return b"booked " + arrival.request_id.encode()


async def case(fleet: Fleet, trouble: bool) -> bool:
    """Return whether a request got no answer around the planned work."""
    stopped, _ = fleet.add_machine(
        service="catalogue", zone="z-a", zones=ZONES, work=book
    )
    for zone in ZONES[1:]:
        fleet.add_machine(service="bookings", zone=zone, zones=ZONES, work=book)
    route = make_path("book", "bookings", kind="non_idempotent")
    await fleet.start(make_config(12, [route], KEY))
    clients = [
        Client(record=fleet.record, ip=stopped.ip, key=KEY) for _ in range(CLIENTS)
    ]
    requests = [
        asyncio.create_task(client.request("POST", "/book/x", body=b"deposit"))
        for client in clients
    ]
    await asyncio.sleep(0.5)
    stopped.signal(signal.SIGTERM)
    await asyncio.sleep(1.0)
    if trouble:
        stopped.signal(signal.SIGHUP)
    outcomes = await asyncio.gather(*requests)
    await stopped.wait_exit(8.0)
    await asyncio.sleep(WORK_S)
    run = {a.request_id for b in fleet.backends for a in b.arrivals if a.ended == "ok"}
    lost = [o for o in outcomes if o.end.startswith("closed")]
    done = sum(o.request_id in run for o in lost)
    fleet.record.write(
        f"LOST: {len(lost)} of {len(outcomes)} requests that were read and passed on "
        f"got no answer; {done} of them ran to their end at a backend"
    )
    return bool(lost)


run_case(FOLDER, case)
