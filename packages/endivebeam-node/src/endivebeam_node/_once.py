"""Runs at-most-once calls: executes the actions that ``_attempts`` yields."""

import secrets
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio
import anyio.abc
import httpx
import msgspec
from loguru import logger
from returns.result import Failure

from endivebeam_model import Address, NodeId, OperationId, RefusalReason, RunStatus
from endivebeam_store import (
    CommitTransaction,
    HttpObjects,
    HttpTable,
    Objects,
    StoreAction,
    StoredAnswer,
    Table,
    Unavailable,
    execute_action,
)
from endivebeam_wire import (
    CallRefused,
    CallRequest,
    Header,
    OutcomeReply,
    OutcomeRequest,
    OutcomeState,
    StreamFullError,
    StreamLostError,
)

from ._attempts import (
    MAX_OPEN_ATTEMPTS,
    Action,
    Attempt,
    Attempts,
    ClaimStatus,
    Dispatch,
    QueryClaim,
    Steps,
    Wait,
)
from ._outcomes import NO_LOAD, refuse
from ._peers import Peers, UnreachableError
from ._ports import Admit, Forward, Outcome, ReportLoad

STORE_WAIT_S = 1.0
# Less than half of STORE_WAIT_S: after a lost response there is time to read the
# row back.
RECORD_TIMEOUT_S = 0.45
QUERY_TIMEOUT_S = 0.5
SETTLE_TIMEOUT_S = 5.0
MAX_RUN_S = 60.0

T = TypeVar("T")

FindAddress = Callable[[NodeId], Address | None]
SendClaimQuery = Callable[[NodeId, OperationId], Awaitable[ClaimStatus]]

UNKNOWN = ClaimStatus(OutcomeState.UNKNOWN)
RUNNING = ClaimStatus(OutcomeState.RUNNING)


class _AttemptTask:
    """An attempt and its task, which may outlive the request that started it."""

    __slots__ = ("attempt", "deadline", "ended", "outcome", "scope", "settled")

    def __init__(self, *, attempt: Attempt, deadline: float) -> None:
        self.attempt = attempt
        self.deadline = deadline
        self.scope = anyio.CancelScope()
        self.ended = anyio.Event()
        self.settled = anyio.Event()
        self.outcome: Outcome | None = None


class OnceRunner:
    """Runs each at-most-once call in a task of its own.

    A requester that disconnects stops its call only before the dispatch.
    """

    def __init__(
        self,
        *,
        tasks: anyio.abc.TaskGroup,
        node: NodeId,
        table: Table,
        objects: Objects,
        send_claim_query: SendClaimQuery,
        report_load: ReportLoad,
        max_open_attempts: int = MAX_OPEN_ATTEMPTS,
    ) -> None:
        self._tasks = tasks
        self._table = table
        self._objects = objects
        self._send_claim_query = send_claim_query
        self._report_load = report_load
        self._attempts = Attempts(
            node=node,
            new_op_id=lambda: OperationId(secrets.token_hex(16)),
            max_open_attempts=max_open_attempts,
        )

    def __len__(self) -> int:
        return len(self._attempts)

    async def run(self, call: CallRequest, admit: Admit, forward: Forward) -> Outcome:
        """Run a call after its admission, or return the outcome of its first run."""
        cached = self._attempts.cached_outcome(call)
        if cached is not None:
            return self._with_load(cached)
        deadline = anyio.current_time() + call.timeout_ms / 1000
        attempt = self._attempts.open(
            call, expired=lambda: anyio.current_time() >= deadline
        )
        if isinstance(attempt, CallRefused):
            return attempt
        task = _AttemptTask(attempt=attempt, deadline=deadline)
        self._tasks.start_soon(self._run_task, task, admit, forward)
        try:
            with anyio.CancelScope(deadline=deadline):
                await task.ended.wait()
            return self._with_load(await self._final_outcome(task))
        finally:
            self._stop(task)

    def handle_outcome_request(self, request: OutcomeRequest) -> OutcomeReply:
        """Report the status of one of this node's claims to another node."""
        claim_status = self._attempts.look_up(request.op_id)
        reply = OutcomeReply(request_id=request.request_id, state=claim_status.state)
        if claim_status.answer is None:
            return reply
        return msgspec.structs.replace(
            reply,
            status=claim_status.answer.status,
            headers=[Header(*field) for field in claim_status.answer.headers],
            body=claim_status.answer.body,
        )

    async def _final_outcome(self, task: _AttemptTask) -> Outcome:
        if task.outcome is None:
            return _deadline_exceeded(not_run=self._stop(task))
        if task.attempt.confirmed:
            # Every node can serve a retry after the answer is stored or the claim
            # is released.
            store_deadline = min(task.deadline, anyio.current_time() + STORE_WAIT_S)
            with anyio.CancelScope(deadline=store_deadline):
                await task.settled.wait()
        return task.outcome

    def _stop(self, task: _AttemptTask) -> bool:
        stopped = self._attempts.stop(task.attempt)
        if task.attempt.stopped:
            task.scope.cancel()
        return stopped

    async def _run_task(
        self, task: _AttemptTask, admit: Admit, forward: Forward
    ) -> None:
        try:
            with task.scope:
                task.outcome = await self._admit_and_run(task, admit, forward)
        except Exception as error:
            # The requester must be informed that the call may have run.
            logger.exception("calls: an at-most-once call failed")
            task.outcome = refuse(
                RefusalReason.TARGET_FAILED,
                f"the node failed during the call: {type(error).__name__}",
                run=RunStatus.UNKNOWN,
            )
        finally:
            task.ended.set()
        try:
            await self._run_steps(
                self._attempts.settle_steps(task.attempt), task, forward, None
            )
        finally:
            task.settled.set()

    async def _admit_and_run(
        self, task: _AttemptTask, admit: Admit, forward: Forward
    ) -> Outcome:
        call = task.attempt.call
        async with admit(call) as admission:
            refusal = admission.swap().value_or(None)
            if refusal is not None:
                return CallRefused(
                    request_id=0,
                    refusal=refusal,
                    retry_credits=call.retry_credits,
                    load=NO_LOAD,
                )
            store_deadline = min(task.deadline, anyio.current_time() + STORE_WAIT_S)
            steps = self._attempts.call_steps(task.attempt)
            return await self._run_steps(steps, task, forward, store_deadline)

    async def _run_steps(
        self,
        steps: Steps[T],
        task: _AttemptTask,
        forward: Forward,
        store_deadline: float | None,
    ) -> T:
        result: Any = None
        while True:
            try:
                action = steps.send(result)
            except StopIteration as end:
                value: T = end.value
                return value
            result = await self._execute(action, task, forward, store_deadline)

    async def _execute(
        self,
        action: Action,
        task: _AttemptTask,
        forward: Forward,
        store_deadline: float | None,
    ) -> Any:
        match action:
            case Dispatch():
                return await _dispatch(task, forward)
            case Wait(seconds=seconds):
                await anyio.sleep(seconds)
                return None
            case QueryClaim(node=node, op_id=op_id):
                return await self._send_claim_query(node, op_id)
            case _:
                return await self._execute_in_store(action, store_deadline)

    async def _execute_in_store(
        self, action: StoreAction, store_deadline: float | None
    ) -> Any:
        if store_deadline is None:
            store_deadline = anyio.current_time() + SETTLE_TIMEOUT_S
        with anyio.CancelScope(deadline=store_deadline):
            return await execute_action(action, self._table, self._objects)
        message = "the store did not answer in time"
        return Failure(
            Unavailable(
                message=message, maybe_applied=isinstance(action, CommitTransaction)
            )
        )

    def _with_load(self, outcome: Outcome) -> Outcome:
        if isinstance(outcome, CallRefused):
            return outcome
        return msgspec.structs.replace(outcome, load=self._report_load())


async def _dispatch(task: _AttemptTask, forward: Forward) -> Outcome:
    left_s = task.deadline - anyio.current_time()
    call = msgspec.structs.replace(
        task.attempt.call, timeout_ms=max(1, round(left_s * 1000))
    )
    # Neither a disconnected requester nor the deadline ends a dispatched call.
    # This bound only releases the slot if the target never responds.
    with anyio.move_on_after(MAX_RUN_S):
        return await forward(call)
    return refuse(
        RefusalReason.TARGET_FAILED,
        f"the target did not answer within {MAX_RUN_S:.0f} s",
        run=RunStatus.UNKNOWN,
    )


def _deadline_exceeded(*, not_run: bool) -> CallRefused:
    return refuse(
        RefusalReason.DEADLINE_EXCEEDED,
        "the deadline passed before the target answered",
        run=RunStatus.NOT_RUN if not_run else RunStatus.UNKNOWN,
    )


def build_once_runner(
    *,
    tasks: anyio.abc.TaskGroup,
    node: NodeId,
    client: httpx.AsyncClient,
    peers: Peers,
    find_address: FindAddress,
    on_response: Callable[[], None],
    report_load: ReportLoad,
) -> OnceRunner:
    """Return a runner that stores its records through ``client``."""

    async def send_claim_query(owner: NodeId, op_id: OperationId) -> ClaimStatus:
        return await query_claim(peers, find_address(owner), op_id)

    # The steps of a claim read the row back themselves.
    table = HttpTable(
        client=client,
        on_response=on_response,
        request_timeout_s=RECORD_TIMEOUT_S,
        read_back_attempts=0,
    )
    return OnceRunner(
        tasks=tasks,
        node=node,
        table=table,
        objects=HttpObjects(client=client),
        send_claim_query=send_claim_query,
        report_load=report_load,
    )


async def query_claim(
    peers: Peers, address: Address | None, op_id: OperationId
) -> ClaimStatus:
    """Query the node that owns a claim for its status.

    The status is unknown if the node has ended: it has no address or refuses the
    connection. If the node only fails to reply, its call may still be running.
    """
    if address is None:
        return UNKNOWN
    with anyio.move_on_after(QUERY_TIMEOUT_S):
        try:
            stream = await peers.connect(address)
            reply = await stream.send_request(
                OutcomeRequest(request_id=stream.next_id(), op_id=op_id)
            )
        except UnreachableError as error:
            return UNKNOWN if _is_connection_refused(error) else RUNNING
        except (StreamLostError, StreamFullError):
            return RUNNING
        if isinstance(reply, OutcomeReply):
            return _to_claim_status(reply)
    return RUNNING


def _is_connection_refused(error: BaseException | None) -> bool:
    # anyio reports a refused connection as the cause of its own error.
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        error = error.__cause__
    return False


def _to_claim_status(reply: OutcomeReply) -> ClaimStatus:
    if reply.state is not OutcomeState.ANSWERED:
        return ClaimStatus(reply.state)
    headers = tuple((name, value) for name, value in reply.headers)
    answer = StoredAnswer(status=reply.status, headers=headers, body=reply.body)
    return ClaimStatus(reply.state, answer)
