"""Call path: sends calls from callers and local targets to the nodes of targets."""

import anyio
import msgspec

from endivebeam_limits import RetryBudgets
from endivebeam_model import Member, NodeId, RefusalReason, RunStatus, Semantics
from endivebeam_wire import (
    CallAnswer,
    CallRefused,
    CallRequest,
    StreamFullError,
    StreamLostError,
)

from ._clock import read_clock
from ._outcomes import NO_LOAD, RETRY_AFTER_S, observe_outcome, refuse
from ._peers import Peers, UnreachableError
from ._ports import (
    Admit,
    ChooseTarget,
    Forward,
    Observation,
    Observe,
    Outcome,
    RunOnce,
)

MAX_REROUTES = 3


class CallPath:
    """Routes calls to target nodes and runs those for the local target."""

    def __init__(
        self,
        *,
        local: NodeId,
        peers: Peers,
        choose: ChooseTarget,
        observe: Observe,
        admit: Admit,
        forward: Forward,
        run_once: RunOnce,
        budgets: RetryBudgets,
    ) -> None:
        self._local = local
        self._peers = peers
        self._choose = choose
        self._observe = observe
        self._admit = admit
        self._forward = forward
        self._run_once = run_once
        self._budgets = budgets
        self.draining = False

    async def route(self, call: CallRequest) -> Outcome:
        """Send a call to a target of its service, with retries within its credits.

        A refusal because the chosen node cannot serve the call (draining, no
        target, unreachable) reroutes the call to another node. This spends no
        credit and happens at most ``MAX_REROUTES`` times. A retry costs one credit
        and one retry of the service's budget.
        """
        started = read_clock()
        self._budgets.of(call.service).record_call(started)
        member = self._choose(call.service, frozenset())
        if member is None:
            return _no_target_refusal(call)
        excluded: frozenset[NodeId] = frozenset()
        reroutes = 0
        uncertain: CallRefused | None = None
        while True:
            remaining_ms = call.timeout_ms - round((read_clock() - started) * 1000)
            if remaining_ms <= 0:
                refused = refuse(RefusalReason.DEADLINE_EXCEEDED, "the deadline passed")
                return _final_refusal(refused, uncertain)
            sent = msgspec.structs.replace(call, timeout_ms=remaining_ms)
            outcome = await self._attempt(member, sent)
            if isinstance(outcome, CallAnswer):
                return outcome
            # Credits sent with an attempt that was lost or cancelled are not reused.
            credits = min(call.retry_credits, outcome.retry_credits)
            outcome = msgspec.structs.replace(outcome, retry_credits=credits)
            if outcome.refusal.run is RunStatus.UNKNOWN:
                uncertain = outcome
            excluded = excluded | {member.node_id}
            is_reroute = _is_reroute(outcome) and reroutes < MAX_REROUTES
            next_member = self._choose(call.service, excluded)
            if next_member is None:
                return _final_refusal(outcome, uncertain)
            if is_reroute:
                reroutes += 1
            elif credits >= 1 and self._spend_retry(call, outcome):
                credits -= 1
            else:
                return _final_refusal(outcome, uncertain)
            call = msgspec.structs.replace(call, retry_credits=credits)
            member = next_member

    def _spend_retry(self, call: CallRequest, outcome: CallRefused) -> bool:
        if not _may_retry(call, outcome):
            return False
        return self._budgets.of(call.service).spend_retry(read_clock())

    async def serve(self, call: CallRequest) -> Outcome:
        """Run a call on the target beside this node."""
        if self.draining:
            return refuse(
                RefusalReason.DRAINING,
                "this node is about to stop",
                retry_after_s=RETRY_AFTER_S,
                credits=call.retry_credits,
            )
        if call.semantics is Semantics.AT_MOST_ONCE:
            return await self._run_once(call, self._admit, self._forward)
        return await self._serve_admitted(call)

    async def _serve_admitted(self, call: CallRequest) -> Outcome:
        dispatched = False
        arrived = anyio.current_time()
        with anyio.move_on_after(call.timeout_ms / 1000):
            async with self._admit(call) as admission:
                refusal = admission.swap().value_or(None)
                if refusal is not None:
                    return CallRefused(
                        request_id=0,
                        refusal=refusal,
                        retry_credits=call.retry_credits,
                        load=NO_LOAD,
                    )
                dispatched = True
                # The time spent in the queue counts against the call's timeout.
                waited_ms = round((anyio.current_time() - arrived) * 1000)
                left_ms = max(1, call.timeout_ms - waited_ms)
                sent = msgspec.structs.replace(call, timeout_ms=left_ms)
                return await self._forward(sent)
        run = RunStatus.UNKNOWN if dispatched else RunStatus.NOT_RUN
        return refuse(
            RefusalReason.DEADLINE_EXCEEDED,
            "the deadline passed before the target answered",
            run=run,
        )

    async def _attempt(self, member: Member, call: CallRequest) -> Outcome:
        started = read_clock()
        observation = Observation()
        try:
            if member.node_id == self._local:
                outcome = await self.serve(call)
            else:
                outcome = await self._send_to_peer(member, call)
            observation = observe_outcome(outcome, read_clock() - started)
            return outcome
        finally:
            # Also after a cancellation: otherwise the call would stay counted as in
            # progress.
            self._observe(member.node_id, observation)

    async def _send_to_peer(self, member: Member, call: CallRequest) -> Outcome:
        try:
            stream = await self._peers.connect(member.address)
        except UnreachableError as error:
            self._observe(member.node_id, Observation(unreachable=True))
            return refuse(
                RefusalReason.NO_TARGET,
                f"the target's node is unreachable: {error}",
                retry_after_s=RETRY_AFTER_S,
                credits=call.retry_credits,
            )
        # One credit is kept in reserve, so that a lost stream does not lose all.
        reserved = 1 if call.retry_credits > 1 else 0
        request = msgspec.structs.replace(
            call,
            request_id=stream.next_id(),
            retry_credits=call.retry_credits - reserved,
        )
        try:
            with anyio.fail_after(call.timeout_ms / 1000):
                reply = await stream.send_request(request)
        except StreamFullError:
            return refuse(
                RefusalReason.OVERLOADED,
                "too many calls wait on the stream to the target's node",
                retry_after_s=RETRY_AFTER_S,
                credits=call.retry_credits,
            )
        except TimeoutError:
            return refuse(
                RefusalReason.DEADLINE_EXCEEDED,
                "the deadline passed before the target's node answered",
                run=RunStatus.UNKNOWN,
            )
        except StreamLostError:
            self._observe(member.node_id, Observation(unreachable=True))
            return refuse(
                RefusalReason.TARGET_FAILED,
                "the stream to the target's node was lost",
                run=RunStatus.UNKNOWN,
                credits=reserved,
            )
        assert isinstance(reply, CallAnswer | CallRefused)
        # A peer cannot return more credits than it received.
        returned = min(reply.retry_credits, request.retry_credits)
        return msgspec.structs.replace(reply, retry_credits=returned + reserved)


def _is_reroute(outcome: CallRefused) -> bool:
    refusal = outcome.refusal
    if refusal.run is not RunStatus.NOT_RUN:
        return False
    return refusal.reason in (RefusalReason.DRAINING, RefusalReason.NO_TARGET)


def _may_retry(call: CallRequest, outcome: CallRefused) -> bool:
    refusal = outcome.refusal
    if refusal.reason is RefusalReason.OVERLOADED:
        return refusal.run is RunStatus.NOT_RUN
    if refusal.reason is not RefusalReason.TARGET_FAILED:
        return False
    return call.semantics is Semantics.IDEMPOTENT


def _final_refusal(outcome: CallRefused, uncertain: CallRefused | None) -> CallRefused:
    # After an attempt that may have run, no later refusal may report "not run".
    if uncertain is None or outcome.refusal.run is RunStatus.UNKNOWN:
        return outcome
    return msgspec.structs.replace(uncertain, retry_credits=outcome.retry_credits)


def _no_target_refusal(call: CallRequest) -> CallRefused:
    return refuse(
        RefusalReason.NO_TARGET,
        f"no target of service {call.service} is available",
        retry_after_s=RETRY_AFTER_S,
        credits=call.retry_credits,
    )
