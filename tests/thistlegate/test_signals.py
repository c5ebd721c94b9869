"""Signals at any time of a node's life end neither its process nor its requests."""

import signal
import subprocess
import sys
from collections import Counter
from pathlib import Path

import anyio
import pytest

from thistlegate_standin import (
    PROGRAM,
    ROOT,
    AccountConfig,
    Deployment,
    NodeProcess,
    Outcome,
    Plan,
    RouteConfig,
    TargetConfig,
    Workload,
    run_deployment,
)

HANGUP = Path(__file__).with_name("hangup.py")
# Exit status of a node whose settings can't be read.
INVALID_SETTINGS_STATUS = 2
KEY = "key-of-fit"
BOOK = RouteConfig(
    name="book", service="bookings", kind="non_idempotent", timeout_s=5.0
)
WORKLOAD = Workload(
    route=BOOK, account="fit", key=KEY, rate_per_s=0.0, budget_s=5.0, body_bytes=100
)
WORK_S = 2.0
CALLERS = 8
WAIT_S = 20.0
SIGNAL_PERIOD_S = 0.05


def make_plan() -> Plan:
    """Return a service for callers to enter by, and one whose work takes ``WORK_S``."""
    target = TargetConfig(slots=16, work_s=WORK_S, constant_work=True)
    return Plan(
        services={"catalogue": 1, "bookings": 2},
        target_configs={"catalogue": target, "bookings": target},
        routes=(BOOK,),
        accounts=(AccountConfig(name="fit", keys=(KEY,)),),
    )


async def wait_for_runs(deployment: Deployment, count: int) -> None:
    """Wait until targets have begun a number of runs."""
    with anyio.fail_after(WAIT_S):
        while len(deployment.records.runs) < count:
            await anyio.sleep(SIGNAL_PERIOD_S)


async def stop_with_signals(node: NodeProcess, number: signal.Signals) -> None:
    """Stop a node, and send it a signal again and again until it has ended."""
    node.stop()
    with anyio.fail_after(WAIT_S):
        while not node.has_ended:
            await anyio.sleep(SIGNAL_PERIOD_S)
            node.signal(number)


class TestSignalsDuringAPlannedStop:
    @pytest.mark.anyio
    @pytest.mark.process
    @pytest.mark.parametrize(
        "number", [signal.SIGHUP, signal.SIGTERM], ids=lambda number: number.name
    )
    async def test_cut_no_request_and_leave_the_exit_status(
        self, number: signal.Signals
    ):
        """Guards against a node that a signal ends while it finishes requests."""
        async with run_deployment(make_plan(), seed=1) as deployment:
            entry = deployment.machines[0]
            node = deployment.nodes[entry.name]
            async with anyio.create_task_group() as tasks:
                for _ in range(CALLERS):
                    tasks.start_soon(deployment.load.request, WORKLOAD, entry)
                await wait_for_runs(deployment, CALLERS)
                await stop_with_signals(node, number)
            outcomes = Counter(a.outcome for a in deployment.records.attempts)
            failures = deployment.describe_failures()
        assert outcomes == {Outcome.ANSWERED: CALLERS}, failures
        assert node.exit_status == 0


class TestSignalsDuringTheStart:
    def test_do_not_end_the_process(self):
        """Guards against a node that a signal ends before it handles signals."""
        process = subprocess.run(
            [sys.executable, HANGUP, ROOT / PROGRAM[0]],
            env={"ENDIVEBEAM_SETTINGS": ""},
            capture_output=True,
            check=False,
            timeout=WAIT_S,
        )
        assert process.returncode == INVALID_SETTINGS_STATUS, process.stderr
