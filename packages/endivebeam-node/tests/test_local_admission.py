"""Slots of the local target are released however a call ends."""

from collections.abc import Awaitable, Callable
from typing import cast

import anyio
import pytest
from benchmarks.virtual_time import VirtualLoop
from hypothesis import given, settings
from hypothesis import strategies as st

from endivebeam_limits import RetryBudgets
from endivebeam_model import (
    AccountId,
    ChainId,
    Criticality,
    NodeId,
    RefusalReason,
    RunStatus,
    Semantics,
    ServiceName,
)
from endivebeam_node._admission import CANCEL_GRACE_S, LocalAdmission
from endivebeam_node._calls import CallPath
from endivebeam_node._config import ConfigCopy
from endivebeam_node._inflight import InFlight
from endivebeam_node._peers import Peers
from endivebeam_node._targets import LocalTarget
from endivebeam_wire import CallAnswer, CallRequest, LoadReport

SLOTS = 4
ENDINGS = ["answer", "error", "cancel", "deadline"]


def make_call(timeout_s: float = 10.0) -> CallRequest:
    return CallRequest(
        request_id=0,
        service=ServiceName("s"),
        method="GET",
        path="/",
        headers=[],
        body=b"",
        account=AccountId("a"),
        chain_id=ChainId("c"),
        depth=1,
        timeout_ms=round(timeout_s * 1000),
        criticality=Criticality.NORMAL,
        semantics=Semantics.IDEMPOTENT,
        retry_credits=0,
    )


def run_in_virtual_time(run: Callable[[], Awaitable[None]]) -> None:
    anyio.run(run, backend="asyncio", backend_options={"loop_factory": VirtualLoop})


class AdmissionHarness:
    """An admission with an announced target, and the calls in its slots."""

    def __init__(self, tasks: anyio.abc.TaskGroup, connections: int = 100) -> None:
        self.target = LocalTarget()
        self.connections = connections
        self.in_flight = InFlight()
        self.announce()
        self.admission = LocalAdmission(
            tasks=tasks,
            target=self.target,
            in_flight=self.in_flight,
            config=ConfigCopy(),
        )
        self.running = 0
        self.peak = 0
        self.refusals: list[RefusalReason] = []

    def announce(self) -> None:
        body = b'{"service":"s","port":1,"slots":%d,"connections":%d}'
        self.target.announce(
            body % (SLOTS, self.connections), anyio.current_time()
        ).unwrap()

    async def call(self, ending: str, after_s: float) -> None:
        limit_s = after_s if ending in ("cancel", "deadline") else 10.0
        with anyio.move_on_after(limit_s):
            async with self.admission.admit(make_call(limit_s)) as admitted:
                refusal = admitted.swap().value_or(None)
                if refusal is not None:
                    assert refusal.run is RunStatus.NOT_RUN
                    self.refusals.append(refusal.reason)
                    return
                await self.hold(ending, after_s)

    async def hold(self, ending: str, after_s: float) -> None:
        self.running += 1
        self.peak = max(self.peak, self.running)
        try:
            await anyio.sleep(after_s if ending in ("answer", "error") else 3600.0)
            if ending == "error":
                raise OSError("the target broke")
        except OSError:
            pass
        finally:
            self.running -= 1


class TestRelease:
    @settings(max_examples=40)
    @given(
        calls=st.lists(
            st.tuples(
                st.sampled_from(ENDINGS), st.floats(0.0, 1.0), st.floats(0.0, 0.2)
            ),
            max_size=60,
        )
    )
    def test_each_slot_is_released_once(self, calls: list[tuple[str, float, float]]):
        """Guards against slots that leak or are assigned to two calls."""

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                harness = AdmissionHarness(tasks)
                async with anyio.create_task_group() as group:
                    for ending, after_s, pause_s in calls:
                        group.start_soon(harness.call, ending, after_s)
                        await anyio.sleep(pause_s)
                await anyio.sleep(2 * CANCEL_GRACE_S)
                assert harness.peak <= SLOTS
                assert harness.admission.report().in_use == 0
                assert set(harness.refusals) <= {
                    RefusalReason.OVERLOADED,
                    RefusalReason.NO_TARGET,
                }

        run_in_virtual_time(run)

    def test_slot_of_cancelled_call_is_released_after_grace(self):
        """Guards against a call that starts while the target runs a cancelled one.

        The target needs ``CANCEL_GRACE_S`` to detect the cancellation.
        """

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                harness = AdmissionHarness(tasks)
                await harness.call("cancel", 0.1)
                assert harness.admission.report().in_use == 1
                await anyio.sleep(2 * CANCEL_GRACE_S)
                assert harness.admission.report().in_use == 0

        run_in_virtual_time(run)


class TestTarget:
    def test_connections_bound_the_limit(self):
        """Guards against more loopback connections than the target accepts."""

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                harness = AdmissionHarness(tasks, connections=2)
                async with anyio.create_task_group() as group:
                    for _ in range(8):
                        group.start_soon(harness.call, "answer", 0.1)
                assert harness.peak <= 2

        run_in_virtual_time(run)

    @pytest.mark.parametrize("dropped", [True, False])
    def test_returning_target_starts_cold(self, dropped: bool):
        """Guards against full load on a target that has just restarted."""

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                harness = AdmissionHarness(tasks)
                for _ in range(400):
                    harness.announce()
                    async with anyio.create_task_group() as group:
                        for _ in range(SLOTS):
                            group.start_soon(harness.call, "answer", 0.1)
                before = harness.admission.report().limit
                if dropped:
                    harness.target.drop()
                harness.announce()
                await harness.call("answer", 0.1)
                expected = SLOTS // 2 if dropped else before
                assert harness.admission.report().limit == expected

        run_in_virtual_time(run)


class TestDeadline:
    def test_wait_for_a_slot_counts_against_the_timeout(self):
        """Guards against a target that works past its caller's deadline."""
        seen: list[int] = []

        async def forward(call: CallRequest) -> CallAnswer:
            seen.append(call.timeout_ms)
            await anyio.sleep(1.0)
            return CallAnswer(
                request_id=0,
                status=200,
                headers=[],
                body=b"",
                retry_credits=0,
                load=LoadReport(in_use=0, limit=0),
            )

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                harness = AdmissionHarness(tasks, connections=1)
                path = CallPath(
                    local=NodeId("n"),
                    peers=cast(Peers, None),
                    choose=lambda service, excluded: None,
                    observe=lambda node_id, observation: None,
                    admit=harness.admission.admit,
                    forward=forward,
                    run_once=lambda call, run_call: run_call(call),
                    budgets=RetryBudgets(),
                )
                async with anyio.create_task_group() as group:
                    for _ in range(3):
                        group.start_soon(path.serve, make_call(10.0))

        run_in_virtual_time(run)
        assert seen == [10_000, 9_000, 8_000]


class TestReentrantCall:
    def test_nested_call_to_the_same_target_does_not_wait_for_its_parent(self):
        """Guards against a nested call that waits for the slot of its own parent.

        When the limit fell to the number of calls that were waiting for nested
        calls to the same target, these calls ended only at their deadlines.
        """

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                harness = AdmissionHarness(tasks)
                call = make_call()
                parents = []
                for _ in range(SLOTS // 2):
                    parents.append(harness.admission.admit(call))
                    admitted = await parents[-1].__aenter__()
                    assert admitted.value_or(True) is None
                context = harness.in_flight.open(call, 10.0)
                scope = anyio.CancelScope()
                started = anyio.current_time()
                context.start_nested(scope, started)
                async with harness.admission.admit(call) as nested:
                    assert nested.value_or(True) is None
                    assert anyio.current_time() == started
                context.end_nested(scope, started)
                # Without a nested call in progress, the limit applies again.
                with anyio.move_on_after(1.0):
                    async with harness.admission.admit(call):
                        raise AssertionError("the limit was exceeded")
                for parent in parents:
                    await parent.__aexit__(None, None, None)

        run_in_virtual_time(run)
