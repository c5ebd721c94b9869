"""Attempts of one request: choice of targets, repeats and the final answer."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec

from endivebeam_fleet import ChainLevel, FleetRetryBudget, RouteRule
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
from endivebeam_routing import Result, Router
from endivebeam_wire import ForwardOutcome, ForwardReply, ForwardRequest, Header

from ._clock import read_clock
from ._decisions import AttemptDetail, Decision, DecisionLog
from ._links import LinkLostError, LinkNotOpenError, Links
from ._metrics import SidecarMetrics
from ._state import FleetKnowledge
from ._target import LocalTarget

# Offers of one request that may be turned away before a target saw it.
MAX_OFFERS = 4
# Time that must be left for another attempt to make sense.
MIN_ATTEMPT_S = 0.03
DEFAULT_RETRY_AFTER_S = 0.3
# Retry-After beyond this would outlast most callers' patience.
MAX_RETRY_AFTER_S = 2.0


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A request that was let in, with its terms.

    ``deadline`` is in seconds of the node's clock.
    """

    call_id: str
    route: RouteRule
    service: ServiceName
    method: str
    path: str
    headers: list[Header]
    body: bytes
    account: AccountId
    rank: float
    internal: bool
    shed_order: float
    deadline: float


class Trial(NamedTuple):
    """What became of one attempt at one node."""

    member: Member
    outcome: ForwardOutcome
    reply: ForwardReply | None
    reason: str


Outcome = ForwardReply | Refusal


class Caller:
    """Sends calls to targets until one answers or the terms forbid more."""

    def __init__(
        self,
        *,
        knowledge: FleetKnowledge,
        router: Router,
        links: Links,
        target: LocalTarget,
        budget: FleetRetryBudget,
        metrics: SidecarMetrics,
        decisions: DecisionLog,
    ) -> None:
        self._decisions = decisions
        # Services whose targets call other services.
        self._callers: set[ServiceName] = set()
        self._knowledge = knowledge
        self._router = router
        self._links = links
        self._target = target
        self._budget = budget
        self._metrics = metrics

    async def run(self, call: Call) -> Outcome:
        """Return a target's answer, or the refusal that describes what happened."""
        excluded: set[NodeId] = set()
        trials: list[Trial] = []
        sends = 0
        while len(trials) < MAX_OFFERS + call.route.max_attempts:
            now = read_clock()
            if call.deadline - now < MIN_ATTEMPT_S:
                break
            if sends and not self._may_repeat(call, sends, now):
                break
            member = self._choose(call.service, excluded, now)
            if member is None:
                break
            if call.internal and not trials:
                self._target.note_own_call()
            if not trials:
                self._budget.note_call(call.service, now)
            trial = await self._try(call, member)
            trials.append(trial)
            self._log(call, trial, len(trials))
            excluded.add(member.node_id)
            if trial.outcome is not ForwardOutcome.REFUSED:
                sends += 1
            if not self._wants_another(call, trial):
                break
        return self._conclude(call, trials)

    def _may_repeat(self, call: Call, sends: int, now: float) -> bool:
        if sends >= call.route.max_attempts:
            return False
        size = len(self._knowledge.directory)
        return self._budget.take(
            call.service, level=self._find_level(call), fleet_size=size, now=now
        )

    def _find_level(self, call: Call) -> ChainLevel:
        if call.service not in self._callers:
            return ChainLevel.LAST
        return ChainLevel.INNER if call.internal else ChainLevel.FIRST

    def _choose(
        self, service: ServiceName, excluded: set[NodeId], now: float
    ) -> Member | None:
        serving = self._knowledge.directory.serving(service)
        if excluded:
            serving = [m for m in serving if m.node_id not in excluded]
        return self._router.choose(serving, now)

    def _wants_another(self, call: Call, trial: Trial) -> bool:
        idempotent = call.route.semantics is Semantics.IDEMPOTENT
        match trial.outcome:
            case ForwardOutcome.REFUSED | ForwardOutcome.NOT_EXECUTED:
                return True
            case ForwardOutcome.UNKNOWN:
                return idempotent
            case ForwardOutcome.ANSWERED:
                assert trial.reply is not None
                return idempotent and trial.reply.status >= 500

    async def _try(self, call: Call, member: Member) -> Trial:
        started = read_clock()
        result, reply = Result.UNKNOWN, None
        try:
            trial = await self._send(call, member, started)
            reply = trial.reply
            result = _rate(trial)
            return trial
        finally:
            now = read_clock()
            self._router.finish(member.node_id, result, now, now - started)
            if reply is not None:
                load = reply.load
                if call.internal:
                    self._target.note_own_answer(load.pressure)
                if load.makes_calls:
                    self._callers.add(call.service)
                self._router.report(
                    member.node_id, load.running + load.waiting, load.limit, now
                )

    async def _send(self, call: Call, member: Member, now: float) -> Trial:
        def make_request(request_id: int) -> ForwardRequest:
            return ForwardRequest(
                request_id=request_id,
                call_id=call.call_id,
                service=call.service,
                method=call.method,
                path=call.path,
                headers=call.headers,
                body=call.body,
                account=call.account,
                semantics=call.route.semantics,
                rank=call.rank,
                internal=call.internal,
                shed_order=call.shed_order,
                budget_ms=int((call.deadline - now) * 1000),
                objective_ms=int(call.route.objective_s * 1000),
            )

        try:
            if member.node_id == self._knowledge.own.node_id:
                reply = await self._target.run(make_request(0))
            else:
                reply = await self._ask(member, make_request, call.deadline - now)
        except LinkNotOpenError as error:
            return Trial(member, ForwardOutcome.REFUSED, None, str(error))
        except LinkLostError as error:
            return Trial(member, ForwardOutcome.UNKNOWN, None, str(error))
        except TimeoutError:
            return Trial(member, ForwardOutcome.UNKNOWN, None, "time is over")
        return Trial(member, reply.outcome, reply, reply.reason)

    async def _ask(
        self,
        member: Member,
        make_request: Callable[[int], ForwardRequest],
        timeout_s: float,
    ) -> ForwardReply:
        reply = await self._links.ask(member, make_request, timeout_s=timeout_s)
        assert isinstance(reply, ForwardReply)
        return reply

    def _conclude(self, call: Call, trials: list[Trial]) -> Outcome:
        last = trials[-1] if trials else None
        if last is not None and last.outcome is ForwardOutcome.ANSWERED:
            assert last.reply is not None
            return last.reply
        for trial in reversed(trials):
            if trial.outcome is ForwardOutcome.ANSWERED and trial.reply is not None:
                return trial.reply
        if any(t.outcome is ForwardOutcome.UNKNOWN for t in trials):
            return self._refuse_unknown(call)
        retry_after_s = DEFAULT_RETRY_AFTER_S
        known = [t.reply.retry_after_ms / 1000 for t in trials if t.reply is not None]
        if known:
            retry_after_s = max(retry_after_s, min(known))
        reason = RefusalReason.OVERLOADED if trials else RefusalReason.NO_TARGET
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

    def _log(self, call: Call, trial: Trial, number: int) -> None:
        self._metrics.count_attempt(trial.outcome)
        answered = trial.outcome is ForwardOutcome.ANSWERED

        def make_detail() -> AttemptDetail:
            return AttemptDetail(
                id=call.call_id,
                service=call.service,
                peer=trial.member.node_id,
                record=trial.member.sequence,
                attempt=number,
                outcome=trial.outcome.name.lower(),
                status=trial.reply.status if trial.reply else 0,
                reason=trial.reason,
                left_ms=int((call.deadline - read_clock()) * 1000),
            )

        decision = Decision.ANSWERED if answered else Decision.NOT_ANSWERED
        self._decisions.note(decision, make_detail)


def _rate(trial: Trial) -> Result:
    """Return what an attempt says about the target."""
    match trial.outcome:
        case ForwardOutcome.ANSWERED:
            assert trial.reply is not None
            return Result.FAILED if trial.reply.status >= 500 else Result.ANSWERED
        case ForwardOutcome.REFUSED:
            leaving = trial.reply is not None and trial.reply.leaving
            return Result.DEPARTING if leaving else Result.UNKNOWN
        case ForwardOutcome.NOT_EXECUTED:
            return Result.FAILED
        case ForwardOutcome.UNKNOWN:
            return Result.FAILED
