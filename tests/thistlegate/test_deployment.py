"""Tests of the program for the platform in a deployment of separate processes."""

import signal
from collections import Counter

import anyio
import pytest

from thistlegate_standin import (
    Outcome,
    find_violations,
    make_chain,
    make_workloads,
    run_deployment,
)

pytestmark = [pytest.mark.anyio, pytest.mark.process]


class TestDeploymentWithoutFaults:
    async def test_answers_every_request_without_violations(self):
        plan = make_chain()
        async with run_deployment(plan, seed=1) as deployment:
            await deployment.apply_load(make_workloads(plan, rate_per_s=30), 4.0)
            outcomes = Counter(a.outcome for a in deployment.records.attempts)
            assert outcomes[Outcome.ANSWERED] > 50
            assert set(outcomes) == {Outcome.ANSWERED}, deployment.describe_failures()
            assert find_violations(deployment.make_evidence()) == []


class TestFaults:
    async def test_no_violations_with_killed_node_drained_target_and_silent_store(self):
        plan = make_chain()
        async with run_deployment(plan, seed=2) as deployment:
            async with anyio.create_task_group() as tasks:
                workloads = make_workloads(plan, rate_per_s=30)
                tasks.start_soon(deployment.apply_load, workloads, 7.0)
                await anyio.sleep(1.0)
                deployment.nodes["bookings-0"].kill()
                deployment.operator.withdraw_key("account-1", "key-1-a")
                await anyio.sleep(0.5)
                await deployment.targets["catalogue-0"].drain()
                deployment.faults.mode = deployment.faults.mode.NO_RESPONSE
                deployment.nodes["accounts-1"].signal(signal.SIGTERM)
                await anyio.sleep(2.0)
                deployment.faults.mode = deployment.faults.mode.NONE
            assert find_violations(deployment.make_evidence()) == []
            outcomes = Counter(a.outcome for a in deployment.records.attempts)
            assert outcomes[Outcome.ANSWERED] > 80, deployment.describe_failures()
