"""The platform's program in a deployment of separate processes, with faults."""

import signal
from collections import Counter

import anyio
import pytest

from thistlegate_standin import (
    Deployment,
    Drain,
    Ending,
    Evidence,
    find_broken_promises,
    make_chain,
    make_demands,
    run_deployment,
)

pytestmark = [pytest.mark.anyio, pytest.mark.process]


def make_evidence(deployment: Deployment) -> Evidence:
    return Evidence(
        records=deployment.records,
        history=deployment.operator.history,
        drains=[
            Drain(target.instance, target.drain_acknowledged_at)
            for target in deployment.all_targets
            if target.drain_acknowledged_at is not None
        ],
        bounds=deployment.plan.bounds,
        machine_services={m.name: m.service for m in deployment.machines},
    )


class TestQuietDeployment:
    async def test_answers_every_request_and_keeps_its_promises(self):
        plan = make_chain()
        async with run_deployment(plan, seed=1) as deployment:
            await deployment.apply_load(make_demands(plan, rate_per_s=30), 4.0)
            endings = Counter(a.ending for a in deployment.records.attempts)
            assert endings[Ending.ANSWERED] > 50
            assert set(endings) == {Ending.ANSWERED}, deployment.describe_failures()
            assert find_broken_promises(make_evidence(deployment)) == []


class TestFaults:
    async def test_killed_nodes_leaving_targets_and_an_absent_store(self):
        plan = make_chain()
        async with run_deployment(plan, seed=2) as deployment:
            async with anyio.create_task_group() as tasks:
                demands = make_demands(plan, rate_per_s=30)
                tasks.start_soon(deployment.apply_load, demands, 7.0)
                await anyio.sleep(1.0)
                deployment.nodes["bookings-0"].kill()
                deployment.operator.revoke("account-1", "key-1-a")
                await anyio.sleep(0.5)
                await deployment.targets["catalogue-0"].drain()
                deployment.faults.mode = deployment.faults.mode.SILENT
                deployment.nodes["accounts-1"].signal(signal.SIGTERM)
                await anyio.sleep(2.0)
                deployment.faults.mode = deployment.faults.mode.NONE
            assert find_broken_promises(make_evidence(deployment)) == []
            endings = Counter(a.ending for a in deployment.records.attempts)
            assert endings[Ending.ANSWERED] > 80, deployment.describe_failures()
