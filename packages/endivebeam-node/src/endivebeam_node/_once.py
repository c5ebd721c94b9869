"""Runs at-most-once calls: performs the steps that ``_attempts`` decides on."""

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
    MAX_OPEN,
    Action,
    Ask,
    Attempt,
    Attempts,
    Dispatch,
    Known,
    Steps,
    Wait,
)
from ._outcomes import NO_LOAD, refuse
from ._peers import Peers, UnreachableError
from ._ports import Admit, Forward, Outcome, ReportLoad

STORE_WAIT_S = 1.0
# Below half of the wait, so that a lost answer leaves time to read the row back.
RECORD_TIMEOUT_S = 0.45
ASK_TIMEOUT_S = 0.5
SETTLE_TIMEOUT_S = 5.0
MAX_RUN_S = 60.0

T = TypeVar("T")

FindAddress = Callable[[NodeId], Address | None]
AskNode = Callable[[NodeId, OperationId], Awaitable[Known]]

UNKNOWN = Known(OutcomeState.UNKNOWN)
RUNNING = Known(OutcomeState.RUNNING)


class _Owned:
    """An attempt whose task belongs to the node, not to its requester."""

    __slots__ = ("attempt", "deadline", "ended", "outcome", "scope", "settled")

    def __init__(self, *, attempt: Attempt, deadline: float) -> None:
        self.attempt = attempt
        self.deadline = deadline
        self.scope = anyio.CancelScope()
        self.ended = anyio.Event()
        self.settled = anyio.Event()
        self.outcome: Outcome | None = None


class OnceRunner:
    """Runs each at-most-once call in a task of the node.

    A requester that leaves stops its call only before the dispatch.
    """

    def __init__(
        self,
        *,
        tasks: anyio.abc.TaskGroup,
        node: NodeId,
        table: Table,
        objects: Objects,
        ask: AskNode,
        report_load: ReportLoad,
        max_open: int = MAX_OPEN,
    ) -> None:
        self._tasks = tasks
        self._table = table
        self._objects = objects
        self._ask = ask
        self._report_load = report_load
        self._attempts = Attempts(
            node=node,
            new_op_id=lambda: OperationId(secrets.token_hex(16)),
            max_open=max_open,
        )

    def __len__(self) -> int:
        return len(self._attempts)

    async def run(self, call: CallRequest, admit: Admit, forward: Forward) -> Outcome:
        """Run a call after its admission, or return the outcome of its first run."""
        recalled = self._attempts.recall(call)
        if recalled is not None:
            return self._with_load(recalled)
        deadline = anyio.current_time() + call.timeout_ms / 1000
        attempt = self._attempts.open(
            call, expired=lambda: anyio.current_time() >= deadline
        )
        if isinstance(attempt, CallRefused):
            return attempt
        owned = _Owned(attempt=attempt, deadline=deadline)
        self._tasks.start_soon(self._own, owned, admit, forward)
        try:
            with anyio.CancelScope(deadline=deadline):
                await owned.ended.wait()
            return self._with_load(await self._conclude(owned))
        finally:
            self._stop(owned)

    def answer(self, asked: OutcomeRequest) -> OutcomeReply:
        """Tell another node what became of one of this node's claims."""
        known = self._attempts.look_up(asked.op_id)
        reply = OutcomeReply(request_id=asked.request_id, state=known.state)
        if known.answer is None:
            return reply
        return msgspec.structs.replace(
            reply,
            status=known.answer.status,
            headers=[Header(*field) for field in known.answer.headers],
            body=known.answer.body,
        )

    async def _conclude(self, owned: _Owned) -> Outcome:
        if owned.outcome is None:
            return _deadline_exceeded(not_run=self._stop(owned))
        if owned.attempt.confirmed:
            # Once the answer is stored, or the claim released, every node can
            # serve a retry.
            limit = min(owned.deadline, anyio.current_time() + STORE_WAIT_S)
            with anyio.CancelScope(deadline=limit):
                await owned.settled.wait()
        return owned.outcome

    def _stop(self, owned: _Owned) -> bool:
        stopped = self._attempts.stop(owned.attempt)
        if owned.attempt.stopped:
            owned.scope.cancel()
        return stopped

    async def _own(self, owned: _Owned, admit: Admit, forward: Forward) -> None:
        try:
            with owned.scope:
                owned.outcome = await self._call(owned, admit, forward)
        except Exception as error:
            # The requester must learn that the call may have run.
            logger.exception("calls: an at-most-once call failed")
            owned.outcome = refuse(
                RefusalReason.TARGET_FAILED,
                f"the node failed during the call: {type(error).__name__}",
                run=RunStatus.UNKNOWN,
            )
        finally:
            owned.ended.set()
        try:
            await self._drive(
                self._attempts.settle_steps(owned.attempt), owned, forward, None
            )
        finally:
            owned.settled.set()

    async def _call(self, owned: _Owned, admit: Admit, forward: Forward) -> Outcome:
        call = owned.attempt.call
        async with admit(call) as admission:
            refusal = admission.swap().value_or(None)
            if refusal is not None:
                return CallRefused(
                    request_id=0,
                    refusal=refusal,
                    retry_credits=call.retry_credits,
                    load=NO_LOAD,
                )
            limit = min(owned.deadline, anyio.current_time() + STORE_WAIT_S)
            steps = self._attempts.call_steps(owned.attempt)
            return await self._drive(steps, owned, forward, limit)

    async def _drive(
        self, steps: Steps[T], owned: _Owned, forward: Forward, limit: float | None
    ) -> T:
        result: Any = None
        while True:
            try:
                action = steps.send(result)
            except StopIteration as end:
                value: T = end.value
                return value
            result = await self._perform(action, owned, forward, limit)

    async def _perform(
        self, action: Action, owned: _Owned, forward: Forward, limit: float | None
    ) -> Any:
        match action:
            case Dispatch():
                return await _dispatch(owned, forward)
            case Wait(seconds=seconds):
                await anyio.sleep(seconds)
                return None
            case Ask(node=node, op_id=op_id):
                return await self._ask(node, op_id)
            case _:
                return await self._use_store(action, limit)

    async def _use_store(self, action: StoreAction, limit: float | None) -> Any:
        if limit is None:
            limit = anyio.current_time() + SETTLE_TIMEOUT_S
        with anyio.CancelScope(deadline=limit):
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


async def _dispatch(owned: _Owned, forward: Forward) -> Outcome:
    left_s = owned.deadline - anyio.current_time()
    call = msgspec.structs.replace(
        owned.attempt.call, timeout_ms=max(1, round(left_s * 1000))
    )
    # Neither the requester nor the deadline ends a dispatched call; this bound
    # only frees the slot of a target that never answers.
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
    on_answer: Callable[[], None],
    report_load: ReportLoad,
) -> OnceRunner:
    """Return a runner that keeps its records at the platform of ``client``."""

    async def ask(owner: NodeId, op_id: OperationId) -> Known:
        return await ask_outcome(peers, find_address(owner), op_id)

    # The steps of a claim read back themselves.
    table = HttpTable(
        client=client,
        on_answer=on_answer,
        request_timeout_s=RECORD_TIMEOUT_S,
        read_back_attempts=0,
    )
    return OnceRunner(
        tasks=tasks,
        node=node,
        table=table,
        objects=HttpObjects(client=client),
        ask=ask,
        report_load=report_load,
    )


async def ask_outcome(
    peers: Peers, address: Address | None, op_id: OperationId
) -> Known:
    """Ask a node about one of its claims.

    The claim is unknown when the node is gone: it has no address, or nothing
    listens there. While a node only does not answer, its call may still run.
    """
    if address is None:
        return UNKNOWN
    with anyio.move_on_after(ASK_TIMEOUT_S):
        try:
            stream = await peers.connect(address)
            reply = await stream.send_request(
                OutcomeRequest(request_id=stream.next_id(), op_id=op_id)
            )
        except UnreachableError as error:
            return UNKNOWN if _is_refused(error) else RUNNING
        except (StreamLostError, StreamFullError):
            return RUNNING
        if isinstance(reply, OutcomeReply):
            return _to_known(reply)
    return RUNNING


def _is_refused(error: BaseException | None) -> bool:
    # anyio reports a refused connection as the cause of its own error.
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        error = error.__cause__
    return False


def _to_known(reply: OutcomeReply) -> Known:
    if reply.state is not OutcomeState.ANSWERED:
        return Known(reply.state)
    headers = tuple((name, value) for name, value in reply.headers)
    answer = StoredAnswer(status=reply.status, headers=headers, body=reply.body)
    return Known(reply.state, answer)
