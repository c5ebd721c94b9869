"""Admission of calls to the target beside this node.

Tasks wait here until ``endivebeam_limits.Admission`` admits or rejects their
calls. Only this node sends calls to its target, so its bound on the target's slots
and connections holds for the whole fleet.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
import anyio.abc
from loguru import logger
from returns.result import Failure, Result, Success

from endivebeam_limits import Admission, Ticket, TicketChanges, TicketState
from endivebeam_model import Refusal, RefusalReason
from endivebeam_wire import CallAnswer, CallRefused, CallRequest, LoadReport

from ._clock import read_clock
from ._config import ConfigCopy
from ._inflight import Context, InFlight
from ._outcomes import RETRY_AFTER_S
from ._ports import Outcome
from ._targets import Announcement, LocalTarget

# Delay before the slot of a cancelled call is released. The target needs this time
# to detect the closed connection; an earlier call would exceed its slots.
CANCEL_GRACE_S = 0.05


class LocalAdmission:
    """Slots of the local target and its queue of calls.

    ``admit``, ``report`` and ``measure`` implement the interfaces ``Admit``,
    ``ReportLoad`` and ``Measure``.
    """

    def __init__(
        self,
        *,
        tasks: anyio.abc.TaskGroup,
        target: LocalTarget,
        in_flight: InFlight,
        config: ConfigCopy,
        clock: Callable[[], float] = read_clock,
    ) -> None:
        self._tasks = tasks
        self._target = target
        self._in_flight = in_flight
        self._config = config
        self._clock = clock
        self._admission = Admission()
        self._decided: dict[Ticket, anyio.Event] = {}
        self._generation = 0
        self._slots = 0

    @asynccontextmanager
    async def admit(self, call: CallRequest) -> AsyncIterator[Result[None, Refusal]]:
        """Wait for a slot; yield a refusal if the call is rejected.

        The slot is always released on exit.
        """
        now = self._clock()
        announcement = self._target.current(now)
        if announcement is None or announcement.service != call.service:
            yield Failure(_no_target_refusal(call))
            return
        self._apply_announcement(announcement, now)
        ticket = self._issue_ticket(call, now)
        cancelled = False
        try:
            await self._wait(ticket, now)
            if ticket.state is TicketState.REFUSED:
                yield Failure(self._overloaded_refusal(ticket))
            else:
                yield Success(None)
        except anyio.get_cancelled_exc_class():
            cancelled = True
            raise
        finally:
            self._end(ticket, cancelled)

    def measure(
        self, context: Context, opened_at: float, outcome: Outcome | None
    ) -> None:
        """Update the concurrency limit after a call to the target has ended.

        ``opened_at`` is the time when the call was sent to the target. ``outcome``
        is None when the call was cancelled.
        """
        now = self._clock()
        limit = self._admission.limit
        nested_s = context.waited_s(now)
        match outcome:
            case None:
                limit.observe_abandoned(opened_at, now, nested_s)
            case CallAnswer(status=status):
                # Error responses are often faster than others, so their latency
                # is no measure of the target's load.
                if status < 500:
                    limit.observe(opened_at, now, nested_s)
            case CallRefused(refusal=refusal):
                if refusal.reason is RefusalReason.OVERLOADED:
                    limit.observe_shed(self._admission.in_use, now)

    def report(self) -> LoadReport:
        """Return the number of calls that hold or wait for slots, and the limit."""
        in_use = self._admission.in_use + len(self._admission.queue)
        return LoadReport(in_use=in_use, limit=self._admission.limit.limit)

    def _apply_announcement(self, announcement: Announcement, now: float) -> None:
        slots = min(announcement.slots, announcement.connections)
        if self._target.generation != self._generation:
            self._generation = self._target.generation
            self._slots = slots
            logger.info("calls: cold start of the target with {} slots", slots)
            self._notify(self._admission.start_cold(slots, now))
        elif slots != self._slots:
            self._slots = slots
            self._notify(self._admission.resize(slots, now))

    def _issue_ticket(self, call: CallRequest, now: float) -> Ticket:
        contract = self._config.snapshot.contracts.get(call.account)
        return Ticket(
            account=call.account,
            weight=0.0 if contract is None else contract.rate_per_s,
            criticality=call.criticality,
            depth=call.depth,
            reentrant=self._in_flight.has_waiting(call.chain_id),
            deadline=now + call.timeout_ms / 1000,
        )

    async def _wait(self, ticket: Ticket, now: float) -> None:
        self._notify(self._admission.arrive(ticket, now))
        if ticket.state is TicketState.QUEUED:
            decided = self._decided[ticket] = anyio.Event()
            await decided.wait()

    def _notify(self, changes: TicketChanges) -> None:
        for ticket in (*changes.started, *changes.refused):
            decided = self._decided.pop(ticket, None)
            if decided is not None:
                decided.set()

    def _end(self, ticket: Ticket, cancelled: bool) -> None:
        self._decided.pop(ticket, None)
        if cancelled and ticket.state is TicketState.RUNNING:
            self._tasks.start_soon(self._release_after_grace, ticket)
        else:
            self._release(ticket)

    async def _release_after_grace(self, ticket: Ticket) -> None:
        try:
            await anyio.sleep(CANCEL_GRACE_S)
        finally:
            self._release(ticket)

    def _release(self, ticket: Ticket) -> None:
        self._notify(self._admission.release(ticket, self._clock()))

    def _overloaded_refusal(self, ticket: Ticket) -> Refusal:
        wait_s = self._admission.expected_wait_s(ticket)
        return Refusal(
            reason=RefusalReason.OVERLOADED,
            message="the target has no free slot and the call cannot wait for one; "
            "send it again after the given time",
            retry_after_s=max(RETRY_AFTER_S, wait_s),
        )


def _no_target_refusal(call: CallRequest) -> Refusal:
    return Refusal(
        reason=RefusalReason.NO_TARGET,
        message=f"no target of service {call.service} is announced here",
        retry_after_s=RETRY_AFTER_S,
    )
