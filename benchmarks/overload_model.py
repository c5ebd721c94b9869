"""Discrete-event simulation of three services in series for ``benchmarks.overload``.

Requests enter at the first service and pass all three, or go directly to the last one,
which is the bottleneck. Each target has the admission gate under test: no limit, a
fixed limit, or ``endivebeam_limits.Admission``.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from endivebeam_limits import (
    RetryBudget,
    Ticket,
    TicketChanges,
    TicketState,
)
from endivebeam_model import AccountId, Criticality

from .overload_gates import Gate

DEADLINE_S = 2.0
HOP_S = 0.0015
DIRECT_FRACTION = 0.3
CRITICAL_FRACTION = 0.05
SHEDDABLE_FRACTION = 0.2
RETRY_CREDITS = 2
LAYER_RETRIES = 2
CLIENT_RETRIES = 20
CLIENT_PAUSE_S = 0.05
GAMMA_SHAPE = 4.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Tier:
    """One service: targets, slots per target and mean service time."""

    targets: int
    slots: int
    work_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """Three services in series and the contract weights of the accounts."""

    name: str
    tiers: tuple[Tier, ...]
    weights: tuple[float, ...] = (0.3, 0.25, 0.15, 0.1, 0.08, 0.06, 0.04, 0.02)

    @property
    def capacity(self) -> float:
        """Requests per second that the last service can serve."""
        last = self.tiers[-1]
        return last.targets * last.slots / last.work_s


@dataclass(slots=True, eq=False)
class Target:
    """One target with its gate and the number of its running calls."""

    tier: int
    gate: Gate
    slots: int
    running: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Control:
    """Overload control of all targets.

    If ``cancels``, calls of an attempt are cancelled at its deadline. If
    ``bounded_retries``, retries spend the credits of the attempt and a retry budget.
    """

    name: str
    make_gate: Callable[[int], Gate]
    cancels: bool
    bounded_retries: bool


@dataclass(slots=True, eq=False, kw_only=True)
class Request:
    """One request of a client; its client may send it in several attempts."""

    account: int
    criticality: Criticality
    first_tier: int
    arrived_at: float
    attempts: int = 0
    answered_at: float | None = None
    wrongly_rejected: bool = False


@dataclass(slots=True, eq=False, kw_only=True)
class Attempt:
    """One attempt of a request with its retry credits and calls in progress."""

    request: Request
    deadline: float
    credits: int
    has_ended: bool = False
    active_calls: set["Call"] = field(default_factory=set)


Callback = Callable[[bool], None]


@dataclass(slots=True, eq=False)
class Call:
    """One call to one target; ``on_end`` receives whether it succeeded."""

    attempt: Attempt
    target: Target
    ticket: Ticket
    on_end: Callback
    nested_since: float | None = None


@dataclass(slots=True, kw_only=True)
class Load:
    """Demand per account and slowdown of the last service, as functions of time."""

    rates: Callable[[float], list[float]]
    slowdown: Callable[[float], float] = lambda now: 1.0
    retries: bool = False
    # Fraction of the announced slots that the targets of the last service can use.
    real_slots: float = 1.0


class Model:
    """Events, targets and clients of one run."""

    def __init__(
        self, *, deployment: Deployment, control: Control, load: Load, seed: int
    ) -> None:
        self.now = 0.0
        self.requests: list[Request] = []
        self._deployment = deployment
        self._control = control
        self._load = load
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._calls: dict[Ticket, Call] = {}
        self._tiers = [
            [
                Target(index, control.make_gate(tier.slots), tier.slots)
                for _ in range(tier.targets)
            ]
            for index, tier in enumerate(deployment.tiers)
        ]
        self._budgets = [RetryBudget() for _ in deployment.tiers]

    def run(self, end_s: float) -> list[Request]:
        """Simulate until a time and return all requests."""
        for account in range(len(self._deployment.weights)):
            self._call_later(0.0, lambda account=account: self._arrive(account))  # type: ignore[misc]
        while self._events and self._events[0][0] <= end_s:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.requests

    def _call_later(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._sequence), action))

    def _arrive(self, account: int) -> None:
        rate = self._load.rates(self.now)[account]
        self._call_later(self._random.expovariate(rate), lambda: self._arrive(account))
        draw = self._random.random()
        criticality = Criticality.NORMAL
        if draw < CRITICAL_FRACTION:
            criticality = Criticality.CRITICAL
        elif draw < CRITICAL_FRACTION + SHEDDABLE_FRACTION:
            criticality = Criticality.SHEDDABLE
        direct = self._random.random() < DIRECT_FRACTION
        request = Request(
            account=account,
            criticality=criticality,
            first_tier=len(self._tiers) - 1 if direct else 0,
            arrived_at=self.now,
        )
        self.requests.append(request)
        self._start_attempt(request)

    def _start_attempt(self, request: Request) -> None:
        request.attempts += 1
        attempt = Attempt(
            request=request,
            deadline=self.now + DEADLINE_S,
            credits=RETRY_CREDITS if self._control.bounded_retries else 0,
        )
        self._call_later(DEADLINE_S, lambda: self._expire(attempt))
        self._send(
            attempt, request.first_tier, lambda ok: self._end_attempt(attempt, ok)
        )

    def _end_attempt(self, attempt: Attempt, ok: bool) -> None:
        if attempt.has_ended:
            return
        attempt.has_ended = True
        request = attempt.request
        if ok:
            if request.answered_at is None:
                request.answered_at = self.now
            return
        if self._has_free_slot(request):
            request.wrongly_rejected = True
        if self._load.retries and request.attempts <= CLIENT_RETRIES:
            pause = CLIENT_PAUSE_S * (0.5 + self._random.random())
            self._call_later(pause, lambda: self._start_attempt(request))

    def _has_free_slot(self, request: Request) -> bool:
        path = self._tiers[request.first_tier :]
        free_slots = [
            sum(t.slots for t in targets) - sum(t.running for t in targets)
            for targets in path
        ]
        last = path[-1]
        free_slots[-1] -= round(
            (1.0 - self._load.real_slots) * sum(t.slots for t in last)
        )
        return min(free_slots) > 0

    def _expire(self, attempt: Attempt) -> None:
        if attempt.has_ended:
            return
        self._end_attempt(attempt, False)
        if not self._control.cancels:
            return
        for call in list(attempt.active_calls):
            if call.ticket.state is TicketState.RUNNING:
                call.target.running -= 1
                call.target.gate.record_cancelled(
                    call.ticket, self.now, self._nested_s(call)
                )
            self._release(call)

    def _send(self, attempt: Attempt, tier: int, on_end: Callback) -> None:
        self._budgets[tier].record_call(self.now)
        self._send_to_target(attempt, tier, on_end, None, LAYER_RETRIES)

    def _send_to_target(
        self,
        attempt: Attempt,
        tier: int,
        on_end: Callback,
        previous: Target | None,
        retries_left: int,
    ) -> None:
        candidates = [t for t in self._tiers[tier] if t is not previous]
        sampled = self._random.sample(candidates, min(2, len(candidates)))
        target = min(sampled, key=lambda t: t.gate.load())

        def finish(ok: bool) -> None:
            if ok or not self._may_retry(attempt, tier, retries_left):
                on_end(ok)
            else:
                self._send_to_target(attempt, tier, on_end, target, retries_left - 1)

        self._call_later(HOP_S, lambda: self._deliver(attempt, target, finish))

    def _may_retry(self, attempt: Attempt, tier: int, retries_left: int) -> bool:
        if not self._control.bounded_retries:
            return retries_left > 0
        if attempt.has_ended or attempt.credits < 1:
            return False
        if not self._budgets[tier].spend_retry(self.now):
            return False
        attempt.credits -= 1
        return True

    def _deliver(self, attempt: Attempt, target: Target, on_end: Callback) -> None:
        if attempt.has_ended and self._control.cancels:
            return
        request = attempt.request
        ticket = Ticket(
            account=AccountId(str(request.account)),
            weight=self._deployment.weights[request.account] * 1000,
            criticality=request.criticality,
            depth=1 + target.tier - request.first_tier,
            deadline=attempt.deadline,
        )
        call = Call(attempt, target, ticket, on_end)
        self._calls[ticket] = call
        attempt.active_calls.add(call)
        self._apply(target.gate.arrive(ticket, self.now))

    def _apply(self, changes: TicketChanges) -> None:
        for ticket in changes.started:
            self._start_work(self._calls[ticket])
        for ticket in changes.refused:
            call = self._calls[ticket]
            self._discard(call)
            self._call_later(HOP_S, lambda on_end=call.on_end: on_end(False))  # type: ignore[misc]

    def _start_work(self, call: Call) -> None:
        target = call.target
        target.running += 1
        mean = self._deployment.tiers[target.tier].work_s
        if target.tier == len(self._tiers) - 1:
            mean *= self._load.slowdown(self.now)
            usable = self._load.real_slots * target.slots
            # Above the usable slots, the time of a call grows more than linearly with
            # the number of running calls.
            mean *= max(1.0, target.running / usable) ** 1.5
        work = self._random.gammavariate(GAMMA_SHAPE, mean / GAMMA_SHAPE)
        self._call_later(work, lambda: self._on_work_done(call))

    def _on_work_done(self, call: Call) -> None:
        if call not in call.attempt.active_calls:
            return
        tier = call.target.tier + 1
        if tier == len(self._tiers):
            self._finish(call, True)
        else:
            call.nested_since = self.now
            self._send(call.attempt, tier, lambda ok: self._finish(call, ok))

    def _nested_s(self, call: Call) -> float:
        return 0.0 if call.nested_since is None else self.now - call.nested_since

    def _finish(self, call: Call, ok: bool) -> None:
        if call not in call.attempt.active_calls:
            return
        call.target.running -= 1
        if ok:
            call.target.gate.record_answered(
                call.ticket, self.now, self._nested_s(call)
            )
        self._release(call)
        self._call_later(HOP_S, lambda: call.on_end(ok))

    def _release(self, call: Call) -> None:
        self._discard(call)
        self._apply(call.target.gate.release(call.ticket, self.now))

    def _discard(self, call: Call) -> None:
        call.attempt.active_calls.discard(call)
        del self._calls[call.ticket]
