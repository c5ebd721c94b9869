"""Attempts of one request: choice of targets, retries and the final outcome."""

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

import msgspec

from endivebeam_fleet import FULL_PRESSURE, ChainLevel, FleetRetryBudget, RouteRule
from endivebeam_model import (
    AccountId,
    Member,
    NodeId,
    Refusal,
    RefusalReason,
    RunStatus,
    Semantics,
    ServiceName,
)
from endivebeam_routing import CallOutcome, Router
from endivebeam_wire import ForwardOutcome, ForwardReply, ForwardRequest

from ._clock import read_clock
from ._decisions import AttemptDetail, Decision, DecisionLog
from ._links import LinkLostError, LinkNotOpenError, Links
from ._lost_replies import make_send_id, recover_reply
from ._metrics import SidecarMetrics
from ._state import FleetState
from ._target import LocalTarget

# Attempts of one request that may be rejected before a target received it.
MAX_REJECTIONS = 4
# Least time before the deadline in which another attempt is made.
MIN_ATTEMPT_S = 0.03
DEFAULT_RETRY_AFTER_S = 0.3
# Most callers give up before a longer Retry-After expires.
MAX_RETRY_AFTER_S = 2.0


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted request of a caller and the terms under which it is sent.

    ``deadline`` is in seconds of the node's clock.
    """

    call_id: str
    route: RouteRule
    service: ServiceName
    method: str
    path: str
    encoded_fields: bytes
    body: bytes
    account: AccountId
    rank: float
    internal: bool
    shed_order: float
    deadline: float


class Attempt(NamedTuple):
    """The result of sending a call to one node."""

    member: Member
    outcome: ForwardOutcome
    reply: ForwardReply | None
    reason: str


Outcome = ForwardReply | Refusal
_OUTCOME_NAMES = {outcome: outcome.name.lower() for outcome in ForwardOutcome}


class CallSender:
    """Sends calls to targets and retries as far as route and budget allow."""

    def __init__(
        self,
        *,
        fleet: FleetState,
        router: Router,
        links: Links,
        target: LocalTarget,
        budget: FleetRetryBudget,
        metrics: SidecarMetrics,
        decisions: DecisionLog,
    ) -> None:
        self._decisions = decisions
        # Services whose targets call other services.
        self._calling_services: set[ServiceName] = set()
        self._fleet = fleet
        self._router = router
        self._links = links
        self._target = target
        self._budget = budget
        self._metrics = metrics

    async def run(self, call: Call) -> Outcome:
        """Return a target's response, or a refusal that describes the failure."""
        if not call.internal:
            return self._make_outcome(call, await self._run_attempts(call))
        self._target.own_calls.record_call()
        attempts = await self._run_attempts(call)
        if not attempts or attempts[-1].reply is None:
            # No node of the called service reported its pressure.
            self._target.own_calls.record_reply(FULL_PRESSURE)
        self._target.own_calls.record_call_end(rejected=_lacked_room(attempts))
        return self._make_outcome(call, attempts)

    async def _run_attempts(self, call: Call) -> list[Attempt]:
        excluded: set[NodeId] = set()
        attempts: list[Attempt] = []
        sends = 0
        while len(attempts) < MAX_REJECTIONS + call.route.max_attempts:
            now = read_clock()
            if call.deadline - now < MIN_ATTEMPT_S:
                break
            if sends and not self._may_retry(call, sends, now):
                break
            member = self._choose_member(call.service, excluded, now)
            if member is None:
                break
            if not attempts:
                self._budget.record_call(call.service, now)
            attempt = await self._run_attempt(call, member)
            attempts.append(attempt)
            self._record(call, attempt, len(attempts))
            excluded.add(member.node_id)
            if attempt.outcome is not ForwardOutcome.REFUSED:
                sends += 1
            if not self._should_retry(call, attempt):
                break
        return attempts

    def _may_retry(self, call: Call, sends: int, now: float) -> bool:
        if sends >= call.route.max_attempts:
            return False
        size = len(self._fleet.directory)
        return self._budget.spend_retry(
            call.service, level=self._chain_level(call), fleet_size=size, now=now
        )

    def _chain_level(self, call: Call) -> ChainLevel:
        if call.service not in self._calling_services:
            return ChainLevel.LAST
        return ChainLevel.INNER if call.internal else ChainLevel.FIRST

    def _choose_member(
        self, service: ServiceName, excluded: set[NodeId], now: float
    ) -> Member | None:
        serving = self._fleet.directory.serving(service)
        if excluded:
            serving = [m for m in serving if m.node_id not in excluded]
        return self._router.choose(serving, now)

    def _should_retry(self, call: Call, attempt: Attempt) -> bool:
        idempotent = call.route.semantics is Semantics.IDEMPOTENT
        match attempt.outcome:
            case ForwardOutcome.REFUSED:
                # Other targets would shed the call for the same reason.
                return attempt.reply is None or not attempt.reply.shed
            case ForwardOutcome.NOT_EXECUTED:
                return True
            case ForwardOutcome.UNKNOWN:
                return idempotent
            case ForwardOutcome.ANSWERED:
                assert attempt.reply is not None
                return idempotent and attempt.reply.status >= 500

    async def _run_attempt(self, call: Call, member: Member) -> Attempt:
        started = read_clock()
        result, reply = CallOutcome.UNKNOWN, None
        try:
            attempt = await self._send(call, member, started)
            reply = attempt.reply
            result = _classify(attempt)
            return attempt
        finally:
            now = read_clock()
            self._router.record_result(member.node_id, result, now, now - started)
            if reply is not None:
                load = reply.load
                if call.internal:
                    self._target.own_calls.record_reply(load.pressure)
                if load.makes_calls:
                    self._calling_services.add(call.service)
                self._router.record_load(
                    member.node_id, load.running + load.waiting, load.limit, now
                )

    async def _send(self, call: Call, member: Member, now: float) -> Attempt:
        at_most_once = call.route.semantics is Semantics.AT_MOST_ONCE
        send_id = make_send_id() if at_most_once else None
        admitted_part = self._target.own_calls.admitted_part if call.internal else 1.0

        def make_request(request_id: int) -> ForwardRequest:
            return ForwardRequest(
                request_id=request_id,
                call_id=call.call_id,
                service=call.service,
                method=call.method,
                path=call.path,
                encoded_fields=call.encoded_fields,
                body=call.body,
                account=call.account,
                semantics=call.route.semantics,
                rank=call.rank,
                internal=call.internal,
                shed_order=call.shed_order,
                budget_ms=int((call.deadline - now) * 1000),
                objective_ms=int(call.route.objective_s * 1000),
                send_id=send_id or 0,
                admitted_part=admitted_part,
            )

        try:
            if member.node_id == self._fleet.own.node_id:
                reply = await self._target.run(make_request(0))
            else:
                reply = await self._forward(member, make_request, call.deadline - now)
        except LinkNotOpenError as error:
            return Attempt(member, ForwardOutcome.REFUSED, None, str(error))
        except LinkLostError as error:
            recovered = None
            if send_id is not None:
                recovered = await recover_reply(
                    self._links,
                    member,
                    send_id=send_id,
                    process_token=error.process_token,
                    sent_at=now,
                    deadline=call.deadline,
                )
            if recovered is None:
                return Attempt(member, ForwardOutcome.UNKNOWN, None, str(error))
            reply = recovered
        except TimeoutError:
            return Attempt(
                member, ForwardOutcome.UNKNOWN, None, "no reply before the deadline"
            )
        return Attempt(member, reply.outcome, reply, reply.reason)

    async def _forward(
        self,
        member: Member,
        make_request: Callable[[int], ForwardRequest],
        timeout_s: float,
    ) -> ForwardReply:
        reply = await self._links.send_request(
            member, make_request, timeout_s=timeout_s
        )
        assert isinstance(reply, ForwardReply)
        return reply

    def _make_outcome(self, call: Call, attempts: list[Attempt]) -> Outcome:
        last = attempts[-1] if attempts else None
        if last is not None and last.outcome is ForwardOutcome.ANSWERED:
            assert last.reply is not None
            return last.reply
        for attempt in reversed(attempts):
            if attempt.outcome is ForwardOutcome.ANSWERED and attempt.reply is not None:
                return attempt.reply
        if any(a.outcome is ForwardOutcome.UNKNOWN for a in attempts):
            return self._refuse_unknown(call)
        retry_after_s = DEFAULT_RETRY_AFTER_S
        retry_delays_s = [
            a.reply.retry_after_ms / 1000 for a in attempts if a.reply is not None
        ]
        if retry_delays_s:
            retry_after_s = max(retry_after_s, min(retry_delays_s))
        reason = RefusalReason.OVERLOADED if attempts else RefusalReason.NO_TARGET
        return Refusal(
            reason=reason,
            message="no target has room for the request now",
            retry_after_s=min(MAX_RETRY_AFTER_S, retry_after_s),
        )

    def _refuse_unknown(self, call: Call) -> Refusal:
        late = call.deadline - read_clock() < MIN_ATTEMPT_S
        reason = (
            RefusalReason.DEADLINE_EXCEEDED if late else RefusalReason.TARGET_FAILED
        )
        return Refusal(
            reason=reason,
            message="the request was sent to a target and no whole answer came",
            run=RunStatus.UNKNOWN,
        )

    def _record(self, call: Call, attempt: Attempt, number: int) -> None:
        self._metrics.count_attempt(attempt.outcome)
        answered = attempt.outcome is ForwardOutcome.ANSWERED

        def make_detail() -> AttemptDetail:
            return AttemptDetail(
                id=call.call_id,
                service=call.service,
                peer=attempt.member.node_id,
                record=attempt.member.sequence,
                attempt=number,
                outcome=_OUTCOME_NAMES[attempt.outcome],
                status=attempt.reply.status if attempt.reply else 0,
                reason=attempt.reason,
                left_ms=int((call.deadline - read_clock()) * 1000),
            )

        decision = Decision.ANSWERED if answered else Decision.ATTEMPT_FAILED
        self._decisions.write(decision, make_detail)


def _lacked_room(attempts: list[Attempt]) -> bool:
    """Return whether a call failed because it or its own calls found no room."""
    last = attempts[-1] if attempts else None
    if last is None or last.outcome is ForwardOutcome.REFUSED:
        return True
    if last.reply is None or last.reply.load.pressure < FULL_PRESSURE:
        return False
    answered = last.outcome is ForwardOutcome.ANSWERED
    return not answered or last.reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR


def _classify(attempt: Attempt) -> CallOutcome:
    """Return the result of an attempt for the router's view of the target."""
    match attempt.outcome:
        case ForwardOutcome.ANSWERED:
            assert attempt.reply is not None
            return (
                CallOutcome.FAILED
                if attempt.reply.status >= 500
                else CallOutcome.ANSWERED
            )
        case ForwardOutcome.REFUSED:
            leaving = attempt.reply is not None and attempt.reply.leaving
            return CallOutcome.DEPARTING if leaving else CallOutcome.UNKNOWN
        case ForwardOutcome.NOT_EXECUTED:
            return CallOutcome.FAILED
        case ForwardOutcome.UNKNOWN:
            return CallOutcome.FAILED
