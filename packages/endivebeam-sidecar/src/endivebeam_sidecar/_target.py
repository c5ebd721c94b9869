"""The target beside this node: admission of calls, and sending them to it."""

import asyncio
import math
from collections.abc import Callable, Coroutine
from functools import partial
from http import HTTPStatus

from loguru import logger

from endivebeam_fleet import (
    FULL_PRESSURE,
    AdmissionQueue,
    Announcement,
    CallKind,
    TargetRecord,
    Ticket,
    TicketState,
    compute_pressure,
)
from endivebeam_http import (
    ConnectionLostError,
    HttpError,
    MemoryBudget,
    MismatchedResponseError,
    NotSentError,
    Response,
    TaskSet,
)
from endivebeam_model import Semantics
from endivebeam_wire import (
    ForwardOutcome,
    ForwardReply,
    ForwardRequest,
    TargetLoad,
)

from ._call_details import describe_cancellation, describe_rejection
from ._clock import read_clock
from ._decisions import Decision, DecisionLog
from ._metrics import SidecarMetrics
from ._own_calls import OwnCalls
from ._replies import (
    OnEnd,
    ignore_end,
    make_answer,
    make_cancellation,
    make_failure,
    make_rejection,
    make_shed,
    make_unknown,
)
from ._settings import HeaderNames
from ._target_http import (
    CallResult,
    classify_response,
    encode_request,
    match_response,
)
from ._target_lifetime import (
    PooledConnection,
    TargetLifetime,
    TargetReachability,
    shared_fields,
    start_lifetime,
)
from ._target_notices import TargetNotices
from ._tickets import kind_of, make_ticket
from ._waiting_callers import WaitingCallers


class LocalTarget:
    """Admits calls to the local target and sends them."""

    def __init__(
        self,
        *,
        headers: HeaderNames,
        metrics: SidecarMetrics,
        on_change: Callable[[], None],
        decisions: DecisionLog,
        budget: MemoryBudget | None = None,
    ) -> None:
        self._decisions = decisions
        self._budget = budget
        self._headers = headers
        self._metrics = metrics
        self._on_change = on_change
        self._queue = AdmissionQueue()
        self.own_calls = OwnCalls(queue=self._queue)
        self._lifetime: TargetLifetime | None = None
        self._waiting = WaitingCallers(queue=self._queue)
        self._tasks = TaskSet()
        self._reachability = TargetReachability()
        self.record = TargetRecord()
        self.leaving = False
        self._notices = TargetNotices(
            names=headers, queue=self._queue, record=self.record
        )

    @property
    def load(self) -> TargetLoad:
        """Calls that run at the target or wait for it, and the limit."""
        return self._describe_load()

    @property
    def mean_rank(self) -> float | None:
        """Mean rank of the calls that run at the target; None if there are none."""
        return self._queue.mean_rank

    @property
    def in_flight(self) -> int:
        """Number of calls that run at the target or wait for it."""
        return self._queue.running + self._queue.waiting

    def announce(self, announcement: Announcement) -> None:
        """Process an announcement of the target."""
        before = self.record.current
        if not self.record.announce(announcement):
            logger.bind(instance=announcement.instance, seq=announcement.sequence).info(
                "target: An outdated announcement was ignored."
            )
            return
        self._reachability.end_pause()
        now = read_clock()
        if (
            before is None
            or before.born_ms != announcement.born_ms
            or (before.instance != announcement.instance)
        ):
            self._lifetime = start_lifetime(announcement, budget=self._budget)
            # A target that is older than this process may have named a limit before.
            is_new = before is not None or announcement.cold_left_s > 0
            self._notices.start_lifetime(self._lifetime, confirmed=is_new)
            self._reachability.record_connection()
        self._queue.configure(
            slots=announcement.slots, cold_left_s=announcement.cold_left_s, now=now
        )
        if before is None or shared_fields(before) != shared_fields(announcement):
            self._handle_change(announcement)

    def process_leave(self, instance: str) -> None:
        """Process the message of a target that it is shutting down."""
        if self.record.process_leave(instance) and self.record.current is not None:
            self._handle_change(self.record.current)

    async def run(
        self, call: ForwardRequest, on_end: OnEnd = ignore_end
    ) -> ForwardReply:
        """Admit a call, send it to the target and return the outcome.

        If the waiting task is cancelled, ``on_end`` gets the outcome: at the end of an
        at-most-once call that was sent, at once if the call was not sent.
        """
        rejection = self._reject_unavailable(call)
        if rejection is not None:
            return rejection
        admitted_part = self.own_calls.pressure.admitted_part(kind_of(call))
        ticket = make_ticket(call, read_clock(), admitted_part=admitted_part)
        try:
            await self._waiting.admit(ticket)
            if ticket.state is not TicketState.RUNNING:
                return self._reject_queued(call, ticket)
            pooled = await self._connect(call, ticket)
        except NotSentError as error:
            self._release(ticket, answered=False)
            self._reachability.record_failure(str(error))
            return self._reject(call, "target is unreachable", leaving=True)
        except BaseException:
            # The call may have been admitted in the loop iteration that cancelled it.
            self._release(ticket, answered=False)
            self._log_cancellation(call, ticket, was_sent=False)
            on_end(make_cancellation(call, self.load))
            raise
        work = self._run_admitted(call, ticket, pooled)
        try:
            if call.semantics is Semantics.AT_MOST_ONCE:
                # An at-most-once call runs to its end when its caller disconnects.
                ending = self._report_end(call, work, on_end)
                return await asyncio.shield(self._tasks.spawn(ending))
            return await work
        except asyncio.CancelledError:
            self._log_cancellation(call, ticket, was_sent=True)
            raise

    async def _report_end(
        self,
        call: ForwardRequest,
        work: Coroutine[None, None, ForwardReply],
        on_end: OnEnd,
    ) -> ForwardReply:
        try:
            reply = await work
        except Exception:
            on_end(make_unknown(call, "the node failed", self.load))
            raise
        on_end(reply)
        return reply

    async def close(self) -> None:
        """Cancel the calls that are still in progress."""
        await self._tasks.close()

    def _reject_unavailable(self, call: ForwardRequest) -> ForwardReply | None:
        announcement = self.record.current
        if (
            self.leaving
            or announcement is None
            or not self.record.accepts_work
            or announcement.service != call.service
        ):
            return self._reject(call, "target is not serving", leaving=True)
        if self._reachability.is_paused():
            return self._reject(call, "target is unreachable", leaving=True)
        if not self.own_calls.pressure.admits(kind_of(call)):
            self._log_rejection(call, "the services that the target calls are busy")
            return make_shed(call, self.load)
        return None

    async def _connect(self, call: ForwardRequest, ticket: Ticket) -> PooledConnection:
        """Return a connection for a call; raises ``NotSentError``."""
        lifetime = self._lifetime
        assert lifetime is not None
        self._record_running(ticket.kind)
        connection = await lifetime.pool.acquire(
            at_most_once=call.semantics is Semantics.AT_MOST_ONCE,
            timeout_s=max(0.0, ticket.deadline - read_clock()),
        )
        self._reachability.record_connection()
        return PooledConnection(lifetime, connection)

    async def _run_admitted(
        self, call: ForwardRequest, ticket: Ticket, pooled: PooledConnection
    ) -> ForwardReply:
        answered = False
        try:
            reply = await self._send(call, ticket, pooled)
            answered = reply.outcome is ForwardOutcome.ANSWERED
            return reply
        finally:
            self._release(ticket, answered=answered)

    def _release(self, ticket: Ticket, *, answered: bool) -> None:
        now = read_clock()
        self._queue.release(ticket, now, ran_to_end=answered)
        self._record_running(ticket.kind)
        self.own_calls.adapt_admission(now)
        self._waiting.start_waiting()

    def _record_running(self, kind: CallKind) -> None:
        self.own_calls.pressure.record_running(kind, self._queue.running_of(kind))

    def _load_after(self, ticket: Ticket, *, failed: bool) -> TargetLoad:
        if self.own_calls.pressure.record_end(
            ticket.kind, started_at=ticket.started_at, failed=failed
        ):
            return self._describe_load(FULL_PRESSURE)
        now = read_clock()
        waited_s = ticket.started_at - ticket.arrived_at
        wait_s = min(waited_s, self._queue.backlog_s(now))
        own = compute_pressure(wait_s, ticket.objective_s)
        if ticket.kind.internal:
            own = max(own, self._queue.unfairness(now))
        called = self.own_calls.pressure.pressure_for_callers(ticket.kind)
        return self._describe_load(max(own, called))

    def _describe_load(self, pressure: float = 0.0) -> TargetLoad:
        now = read_clock()
        return TargetLoad(
            self._queue.running,
            self._queue.waiting,
            self._queue.usable_limit(now),
            self.own_calls.makes_calls(now),
            round(pressure, 3),
        )

    async def _send(
        self, call: ForwardRequest, ticket: Ticket, pooled: PooledConnection
    ) -> ForwardReply:
        started = read_clock()
        left_s = max(0.0, ticket.deadline - started)
        try:
            response = await pooled.connection.exchange(
                encode_request(
                    call,
                    names=self._headers,
                    instance=pooled.lifetime.instance,
                    left_s=left_s,
                ),
                head_only=call.method == "HEAD",
                matches=match_response(call.call_id, names=self._headers),
                timeout_s=left_s,
            )
        except (
            TimeoutError,
            ConnectionLostError,
            HttpError,
            MismatchedResponseError,
        ) as error:
            load = self._load_after(ticket, failed=True)
            return make_unknown(call, str(error), load)
        now = read_clock()
        self._metrics.observe_target_latency(now - started)
        if self._notices.process(response, pooled.lifetime, sent_at=started, now=now):
            assert self.record.current is not None
            self._handle_change(self.record.current)
        result = classify_response(
            response,
            names=self._headers,
            after_other_responses=pooled.connection.has_skipped_responses,
        )
        if result.outcome is ForwardOutcome.NOT_EXECUTED:
            # A faulty target may write its refusal once more. On another connection it
            # cannot be taken for the refusal of a later call that runs.
            pooled.connection.close()
        else:
            pooled.lifetime.pool.release(pooled.connection)
        return self._make_reply(call, response, result, ticket)

    def _make_reply(
        self,
        call: ForwardRequest,
        response: Response,
        result: CallResult,
        ticket: Ticket,
    ) -> ForwardReply:
        failed = response.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        load = self._load_after(ticket, failed=failed)
        if result.outcome is not ForwardOutcome.ANSWERED:
            if response.status == HTTPStatus.MISDIRECTED_REQUEST:
                self._reachability.record_failure("another target has the address")
            return make_failure(call, result.outcome, result.reason, load)
        return make_answer(call, response, load)

    def _reject_queued(self, call: ForwardRequest, ticket: Ticket) -> ForwardReply:
        self._release(ticket, answered=False)
        if not self.record.accepts_work:
            return self._reject(call, "target leaves", leaving=True)
        return self._reject(
            call, "target is busy", leaving=False, pressure=FULL_PRESSURE
        )

    def _reject(
        self, call: ForwardRequest, reason: str, *, leaving: bool, pressure: float = 0.0
    ) -> ForwardReply:
        wait_s = self._queue.expected_wait_s(read_clock(), math.inf, kind_of(call))
        self._log_rejection(call, reason)
        load = self._describe_load(pressure)
        return make_rejection(call, reason, load, wait_s=wait_s, leaving=leaving)

    def _log_rejection(self, call: ForwardRequest, reason: str) -> None:
        detail = partial(describe_rejection, call, reason, self._queue)
        self._decisions.write(Decision.CALL_REJECTED, detail)

    def _log_cancellation(
        self, call: ForwardRequest, ticket: Ticket, *, was_sent: bool
    ) -> None:
        self._metrics.cancelled_calls.inc()
        detail = partial(describe_cancellation, call, ticket, was_sent=was_sent)
        self._decisions.write(Decision.CALL_CANCELLED, detail)

    def _handle_change(self, announcement: Announcement) -> None:
        logger.bind(
            instance=announcement.instance,
            born_ms=announcement.born_ms,
            seq=announcement.sequence,
            slots=announcement.slots,
            phase=announcement.phase.value,
        ).info("target: The target announced a change.")
        if not self.record.accepts_work:
            self._waiting.reject_all()
        self._on_change()
