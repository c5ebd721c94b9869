"""A late ping of a backend that has left, at a node that was started again meanwhile.

A backend says with ``DELETE`` that it leaves, and its node acknowledges. The node is
killed and started again; then a ping arrives that the backend had sent before. No
request may reach the backend later than ``drainS`` after the acknowledgement.
"""

import time
from pathlib import Path

import anyio
import msgspec
from harness import HAS_TROUBLE, SETTLE_S, CaseRecord, run_case

from thistlegate_standin import (
    AccountConfig,
    Plan,
    RouteConfig,
    TargetConfig,
    TargetStandin,
    Workload,
    run_deployment,
)

DRAIN_S = 2.0
STABILITY_WINDOW_S = 3.0
# The ping is this late.
LATE_S = 4.5
# From the ping to the DELETE, and from its acknowledgement to the kill.
STEP_S = 0.3
# The backend serves on for this time after the late ping.
STAY_S = 3.0
LOAD_S = 20.0
BOOK = RouteConfig(name="book", service="bookings", kind="non_idempotent")
FIT = AccountConfig(name="fit", keys=("key-of-fit",))
PLAN = Plan(
    services={"catalogue": 2, "bookings": 1},
    target_configs={
        "catalogue": TargetConfig(),
        "bookings": TargetConfig(work_s=0.02, constant_work=True),
    },
    routes=(BOOK,),
    accounts=(FIT,),
)
LOAD = Workload(
    route=BOOK, account=FIT.name, key=FIT.keys[0], rate_per_s=20.0, budget_s=2.0
)


def make_ping(target: TargetStandin) -> bytes:
    """Return the next ping of a backend that is ready, as the stand-in encodes it."""
    target._sequence += 1
    return msgspec.json.encode(
        {
            "address": f"{target.machine.ip}:{target.machine.target.port}",
            "born": target._started_ms,
            "info": {
                "service": target.machine.service,
                "version": "v1",
                "zone": target.machine.zone,
                "slots": target.config.slots,
            },
            "status": {"state": "ready", "seq": target._sequence, "coldLeftS": 0.0},
        }
    )


async def say_nothing() -> bool:
    """Take the place of the pings of a backend that has left."""
    return True


async def leave(target: TargetStandin) -> float:
    """Say that a backend leaves; return when its node acknowledged that."""
    target.announce = say_nothing  # type: ignore[method-assign]
    await anyio.sleep(STEP_S)
    if not await target._send_to_node("DELETE", b""):
        raise RuntimeError("the node didn't acknowledge that the backend leaves")
    return time.monotonic()


async def run_departure(record: CaseRecord) -> str:
    """Let the backend leave; return how many requests reached it too late."""
    async with run_deployment(PLAN, seed=1) as deployment:
        await anyio.sleep(SETTLE_S)
        entry = deployment.machines[0]
        machine = next(m for m in deployment.machines if m.service == "bookings")
        node, target = deployment.nodes[machine.name], deployment.targets[machine.name]
        deployment.load.accepts_callers = lambda m: m.name == entry.name
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(deployment.apply_load, [LOAD], LOAD_S)
            await anyio.sleep(1.0)
            ping, sent_at = make_ping(target), time.monotonic()
            record.add(f"{target.instance} sends a ping, which is late")
            acknowledged_at = await leave(target)
            record.add(f"the node acknowledged that {target.instance} leaves")
            in_touch_at = acknowledged_at
            if HAS_TROUBLE:
                await anyio.sleep(STEP_S)
                record.add(f"SIGKILL to the node of {machine.name}")
                node.kill()
                await node.wait_for_restart()
                record.add("the node is started again")
                in_touch_at = time.monotonic() + STABILITY_WINDOW_S
            await anyio.sleep(sent_at + LATE_S - time.monotonic())
            if HAS_TROUBLE:
                await target._send_to_node("PUT", ping)
                record.add("the late ping arrived and was acknowledged")
            await anyio.sleep(STAY_S)
            target.kill()
            record.add(f"{target.instance} ends")
            tasks.cancel_scope.cancel()
        record.add_traffic(deployment.records)
        bound = max(acknowledged_at + DRAIN_S, in_touch_at)
        late = [r for r in deployment.records.runs if r.started_at > bound]
    if not late:
        return ""
    first_s = late[0].started_at - acknowledged_at
    return f"{len(late)} requests reached the backend late, {first_s:.2f} s and more"


run_case(Path(__file__).parent, run_departure)
