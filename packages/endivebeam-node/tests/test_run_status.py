"""Run status reported to callers whose calls may have run."""

import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Result, Success

from endivebeam_http import Request
from endivebeam_limits import RetryBudgets
from endivebeam_model import (
    AccountId,
    Address,
    ChainId,
    Criticality,
    DomainName,
    Member,
    MemberState,
    NodeId,
    OperationId,
    Refusal,
    RefusalReason,
    RegionName,
    Route,
    RunStatus,
    Semantics,
    ServiceName,
)
from endivebeam_node._calls import CallPath
from endivebeam_node._nested import _nested_key
from endivebeam_node._once import OnceRunner, query_claim
from endivebeam_node._outcomes import NO_LOAD, refuse
from endivebeam_node._peers import Peers
from endivebeam_node._ports import Outcome
from endivebeam_standins import FakeStore
from endivebeam_wire import CallAnswer, CallRefused, CallRequest, OutcomeState

LOCAL = NodeId("n")
TEST_TIMEOUT_S = 10.0

# Outcomes of an attempt: its reason, its run status, and whether it ran.
ATTEMPTS = [
    (RefusalReason.TARGET_FAILED, RunStatus.UNKNOWN, True),
    (RefusalReason.TARGET_FAILED, RunStatus.UNKNOWN, False),
    (RefusalReason.OVERLOADED, RunStatus.NOT_RUN, False),
    (RefusalReason.NO_TARGET, RunStatus.NOT_RUN, False),
    (RefusalReason.DRAINING, RunStatus.NOT_RUN, False),
    (RefusalReason.DEADLINE_EXCEEDED, RunStatus.UNKNOWN, True),
]


def make_call(semantics: Semantics, **changes: Any) -> CallRequest:
    call = CallRequest(
        request_id=0,
        service=ServiceName("bookings"),
        method="POST",
        path="/deposits",
        headers=[],
        body=b"25",
        account=AccountId("northfit"),
        chain_id=ChainId("c"),
        depth=1,
        timeout_ms=5000,
        criticality=Criticality.CRITICAL,
        semantics=semantics,
        retry_credits=2,
        idempotency_key="k",
    )
    return msgspec.structs.replace(call, **changes)


def answer_of(body: bytes) -> CallAnswer:
    return CallAnswer(
        request_id=0, status=200, headers=[], body=body, retry_credits=0, load=NO_LOAD
    )


def local_member(service: ServiceName) -> Member:
    return Member(
        node_id=LOCAL,
        incarnation=1,
        sequence=1,
        address=Address("127.0.0.1", 1),
        region=RegionName("r"),
        domain=DomainName("d"),
        service=service,
        slots=1,
        state=MemberState.SERVING,
    )


@asynccontextmanager
async def admit(call: CallRequest) -> AsyncIterator[Result[None, Refusal]]:
    yield Success(None)


def make_path(forward: Any, choose: Any) -> CallPath:
    unused: Any = None
    return CallPath(
        local=LOCAL,
        peers=unused,
        choose=choose,
        observe=lambda node, observation: None,
        admit=admit,
        forward=forward,
        run_once=unused,
        budgets=RetryBudgets(),
    )


class TestRetriedCall:
    @settings(max_examples=300)
    @given(
        attempts=st.lists(st.sampled_from(ATTEMPTS), max_size=8),
        targets=st.sampled_from([0, 1, 2, 99, 99]),
    )
    def test_not_run_covers_all_attempts(
        self, attempts: list[tuple[RefusalReason, RunStatus, bool]], targets: int
    ):
        """Guards against "not run" when an attempt before the last may have run."""
        waiting = list(attempts)
        ran: list[bool] = []

        async def forward(call: CallRequest) -> Outcome:
            if not waiting:
                return answer_of(b"")
            reason, run, did_run = waiting.pop(0)
            ran.append(did_run)
            return refuse(reason, "", run=run, credits=call.retry_credits)

        def choose(service: ServiceName, excluded: frozenset[NodeId]) -> Member | None:
            return local_member(service) if len(ran) < targets else None

        call = make_call(Semantics.IDEMPOTENT)
        outcome = anyio.run(make_path(forward, choose).route, call)
        match outcome:
            case CallRefused(refusal=refusal) if refusal.run is RunStatus.NOT_RUN:
                assert not any(ran)


class TestOnceRunner:
    """A dispatched call runs in a task of the node, not of its requester."""

    @pytest.mark.parametrize("how", ["leave", "deadline"])
    def test_dispatched_call_outlives_its_requester(self, how: str):
        """Guards against cancelling a dispatched call together with its requester."""

        async def run() -> None:
            started, proceed = anyio.Event(), anyio.Event()
            runs = []

            async def forward(call: CallRequest) -> Outcome:
                runs.append(call)
                started.set()
                await proceed.wait()
                return answer_of(b"first")

            async with anyio.create_task_group() as tasks:
                once = make_runner(tasks)
                timeout_ms = 50 if how == "deadline" else 5000
                call = make_call(Semantics.AT_MOST_ONCE, timeout_ms=timeout_ms)
                async with anyio.create_task_group() as requester:
                    outcomes: list[Outcome] = []

                    async def send() -> None:
                        outcomes.append(await once.run(call, admit, forward))

                    requester.start_soon(send)
                    await started.wait()
                    if how == "leave":
                        requester.cancel_scope.cancel()
                for outcome in outcomes:
                    assert isinstance(outcome, CallRefused)
                    assert outcome.refusal.run is RunStatus.UNKNOWN
                assert len(once) == 1
                proceed.set()
                while len(once):
                    await anyio.lowlevel.checkpoint()
                retry = make_call(Semantics.AT_MOST_ONCE)
                answer = await once.run(retry, admit, forward)
                assert isinstance(answer, CallAnswer)
                assert (answer.body, len(runs)) == (b"first", 1)

        anyio.run(run_bounded, run)

    def test_call_stopped_in_the_queue_never_runs(self):
        """Guards against running a call that was reported as "not run"."""

        async def run() -> None:
            runs = []

            @asynccontextmanager
            async def queue(call: CallRequest) -> AsyncIterator[Result[None, Refusal]]:
                await anyio.sleep_forever()
                yield Success(None)

            async def forward(call: CallRequest) -> Outcome:
                runs.append(call)
                return answer_of(b"")

            async with anyio.create_task_group() as tasks:
                once = make_runner(tasks)
                call = make_call(Semantics.AT_MOST_ONCE, timeout_ms=20)
                outcome = await once.run(call, queue, forward)
                assert isinstance(outcome, CallRefused)
                assert outcome.refusal.run is RunStatus.NOT_RUN
            assert (runs, len(once)) == ([], 0)

        anyio.run(run_bounded, run)

    def test_error_inside_the_node_is_unknown(self):
        """Guards against a crash of the node, or "not run", after an exception."""

        async def run() -> None:
            async def forward(call: CallRequest) -> Outcome:
                raise RuntimeError("defect")

            async with anyio.create_task_group() as tasks:
                once = make_runner(tasks)
                call = make_call(Semantics.AT_MOST_ONCE)
                for reason in ("target_failed", "outcome_unknown"):
                    outcome = await once.run(call, admit, forward)
                    assert isinstance(outcome, CallRefused)
                    assert outcome.refusal.run is RunStatus.UNKNOWN
                    assert outcome.refusal.reason.value == reason

        anyio.run(run_bounded, run)


async def run_bounded(function: Callable[[], Awaitable[None]]) -> None:
    """Run a function and fail if it takes longer than ``TEST_TIMEOUT_S``."""
    with anyio.fail_after(TEST_TIMEOUT_S):
        await function()


def make_runner(tasks: anyio.abc.TaskGroup) -> OnceRunner:
    unused: Any = None
    return OnceRunner(
        tasks=tasks,
        node=LOCAL,
        table=FakeStore(),
        objects=unused,
        send_claim_query=unused,
        report_load=lambda: NO_LOAD,
    )


class TestQueryClaim:
    def test_refused_connection_means_unknown_status(self):
        """Guards against retries that wait for a node that was killed."""

        async def run() -> None:
            unused: Any = None
            async with anyio.create_task_group() as tasks:
                peers = Peers(
                    tasks=tasks,
                    handle_request=unused,
                    hello=unused,
                    heartbeat=unused,
                    on_echo=unused,
                )
                with socket.socket() as bound:
                    bound.bind(("127.0.0.1", 0))
                    address = Address("127.0.0.1", bound.getsockname()[1])
                    op_id = OperationId("op")
                    claim_status = await query_claim(peers, address, op_id)
                    assert claim_status.state is OutcomeState.UNKNOWN

        anyio.run(run_bounded, run)


class TestNestedKey:
    def test_key_depends_on_the_parent_and_the_nested_request(self):
        """Guards against two different nested calls that get the same derived key."""
        route = Route(semantics=Semantics.AT_MOST_ONCE)
        parents = [
            make_call(Semantics.AT_MOST_ONCE),
            make_call(Semantics.AT_MOST_ONCE, idempotency_key="other"),
            # The scope of a key is its service.
            make_call(Semantics.AT_MOST_ONCE, service=ServiceName("deliveries")),
        ]
        bodies = [b"", b"1"]
        paths = ["/a", "/b"]

        def derive(parent: CallRequest, body: bytes, path: str) -> str:
            request = Request(method="POST", target="/billing" + path, body=body)
            return _nested_key(parent, request, ServiceName("billing"), path, route)

        cases = [(p, b, path) for p in parents for b in bodies for path in paths]
        assert len({derive(*case) for case in cases}) == len(cases)
        assert derive(*cases[0]) == derive(*cases[0])
