"""Keys of a tenant that leaves, while another tenant stays and as the last one.

The operator removes one of two tenants, and then the other. Requests with a key that
was taken away may not run later than ``revokeS`` after that.
"""

from pathlib import Path

import anyio
from harness import HAS_TROUBLE, SETTLE_S, CaseRecord, run_case

from thistlegate_standin import (
    AcceptedConfig,
    AccountConfig,
    Deployment,
    Plan,
    RouteConfig,
    TargetConfig,
    Workload,
    run_deployment,
)

REVOKE_S = 5.0
MARGIN_S = 0.5
BUDGET_S = 2.0
BOOK = RouteConfig(name="book", service="bookings", kind="non_idempotent")
FIT = AccountConfig(name="fit", keys=("key-of-fit",))
GYM = AccountConfig(name="gym", keys=("key-of-gym",))
# The operator has never issued this key.
UNKNOWN = AccountConfig(name="nobody", keys=("key-of-nobody",))
PLAN = Plan(
    services={"catalogue": 2, "bookings": 2},
    target_configs={
        "catalogue": TargetConfig(),
        "bookings": TargetConfig(work_s=0.02, constant_work=True),
    },
    routes=(BOOK,),
    accounts=(FIT, GYM),
)


async def book_everywhere(deployment: Deployment, account: AccountConfig) -> list[str]:
    """Send a booking to each machine; return the ids of those that ran."""
    workload = Workload(
        route=BOOK, account=account.name, key=account.keys[0], rate_per_s=0.0
    )
    sent = []
    for machine in deployment.machines:
        attempt, _ = await deployment.load._send_attempt(workload, machine, BUDGET_S)
        deployment.records.attempts.append(attempt)
        sent.append(attempt.call_id)
    runs = deployment.records.group_runs_by_call()
    return [call_id for call_id in sent if call_id in runs]


async def remove_tenants(
    deployment: Deployment, left: tuple[AccountConfig, ...], record: CaseRecord
) -> AcceptedConfig:
    """Write a version with the tenants that are left; wait until it must hold."""
    accepted = deployment.operator.publish(accounts=left)
    names = ", ".join(account.name for account in left) or "none"
    record.add(f"version {accepted.version} acknowledged; tenants: {names}")
    await anyio.sleep(REVOKE_S + MARGIN_S)
    return accepted


async def run_removals(record: CaseRecord) -> str:
    """Remove the tenants; return which requests ran with keys that are gone."""
    late: list[str] = []
    async with run_deployment(PLAN, seed=1) as deployment:
        await anyio.sleep(SETTLE_S)
        for account in (FIT, GYM):
            if len(await book_everywhere(deployment, account)) < len(deployment.nodes):
                raise RuntimeError(f"bookings of {account.name} don't run")
        await remove_tenants(deployment, (GYM,), record)
        late += await book_everywhere(deployment, FIT)
        if HAS_TROUBLE:
            await remove_tenants(deployment, (), record)
            for account in (GYM, FIT, UNKNOWN):
                late += await book_everywhere(deployment, account)
        record.add_traffic(deployment.records)
    return f"ran with keys that are gone: {', '.join(late)}" if late else ""


run_case(Path(__file__).parent, run_removals)
