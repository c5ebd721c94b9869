"""Virtual-time model of three services in a row for ``benchmarks.overload``.

Requests enter at the first service and pass all three, or go straight to the
last one, which is the bottleneck. The gates in front of the targets are the
ones under test: none, a fixed limit, and ``endivebeam_limits.Admission``.
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
SHAPE = 4.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Tier:
    """One service: targets, slots per target and mean service time."""

    targets: int
    slots: int
    work_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """Three services in a row and the contract weights of the accounts."""

    name: str
    tiers: tuple[Tier, ...]
    weights: tuple[float, ...] = (0.3, 0.25, 0.15, 0.1, 0.08, 0.06, 0.04, 0.02)

    @property
    def capacity(self) -> float:
        """Whole requests per second that the last service can serve."""
        last = self.tiers[-1]
        return last.targets * last.slots / last.work_s


@dataclass(slots=True, eq=False)
class Target:
    """One target: its gate and the calls that run on it."""

    tier: int
    gate: Gate
    slots: int
    running: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Control:
    """A way to protect the targets.

    ``cancels`` stops the work of requests whose deadline has passed.
    """

    name: str
    make_gate: Callable[[int], Gate]
    cancels: bool
    bounded_retries: bool


@dataclass(slots=True, eq=False, kw_only=True)
class Request:
    """One request of a client and its attempts."""

    account: int
    criticality: Criticality
    first_tier: int
    arrived: float
    attempts: int = 0
    answered_at: float | None = None
    refused_idle: bool = False


@dataclass(slots=True, eq=False, kw_only=True)
class Attempt:
    """One try of a request: its deadline, credits and calls in progress."""

    request: Request
    deadline: float
    credits: int
    over: bool = False
    live: set["Call"] = field(default_factory=set)


Done = Callable[[bool], None]


@dataclass(slots=True, eq=False)
class Call:
    """One call to one target."""

    attempt: Attempt
    target: Target
    ticket: Ticket
    done: Done
    nested_since: float | None = None


@dataclass(slots=True, kw_only=True)
class Load:
    """Demand over time and the fault, as functions of time."""

    rates: Callable[[float], list[float]]
    slowdown: Callable[[float], float] = lambda now: 1.0
    retries: bool = False
    # Part of the announced slots that the targets can really use.
    real_slots: float = 1.0


class Model:
    """Event loop, targets and clients of one run."""

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
        self._order = itertools.count()
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
        """Run until a time and return all requests."""
        for account in range(len(self._deployment.weights)):
            self._after(0.0, lambda account=account: self._arrive(account))  # type: ignore[misc]
        while self._events and self._events[0][0] <= end_s:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.requests

    def _after(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._order), action))

    def _arrive(self, account: int) -> None:
        rate = self._load.rates(self.now)[account]
        self._after(self._random.expovariate(rate), lambda: self._arrive(account))
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
            arrived=self.now,
        )
        self.requests.append(request)
        self._try(request)

    def _try(self, request: Request) -> None:
        request.attempts += 1
        attempt = Attempt(
            request=request,
            deadline=self.now + DEADLINE_S,
            credits=RETRY_CREDITS if self._control.bounded_retries else 0,
        )
        self._after(DEADLINE_S, lambda: self._expire(attempt))
        self._send(attempt, request.first_tier, lambda ok: self._end(attempt, ok))

    def _end(self, attempt: Attempt, ok: bool) -> None:
        if attempt.over:
            return
        attempt.over = True
        request = attempt.request
        if ok:
            if request.answered_at is None:
                request.answered_at = self.now
            return
        if self._has_spare(request):
            request.refused_idle = True
        if self._load.retries and request.attempts <= CLIENT_RETRIES:
            pause = CLIENT_PAUSE_S * (0.5 + self._random.random())
            self._after(pause, lambda: self._try(request))

    def _has_spare(self, request: Request) -> bool:
        path = self._tiers[request.first_tier :]
        spare = [
            sum(t.slots for t in targets) - sum(t.running for t in targets)
            for targets in path
        ]
        last = path[-1]
        spare[-1] -= round((1.0 - self._load.real_slots) * sum(t.slots for t in last))
        return min(spare) > 0

    def _expire(self, attempt: Attempt) -> None:
        if attempt.over:
            return
        self._end(attempt, False)
        if not self._control.cancels:
            return
        for call in list(attempt.live):
            if call.ticket.state is TicketState.RUNNING:
                call.target.running -= 1
                call.target.gate.abandoned(call.ticket, self.now, self._nested_s(call))
            self._leave(call)

    def _send(self, attempt: Attempt, tier: int, done: Done) -> None:
        self._budgets[tier].note_call(self.now)
        self._send_to(attempt, tier, done, None, LAYER_RETRIES)

    def _send_to(
        self, attempt: Attempt, tier: int, done: Done, last: Target | None, left: int
    ) -> None:
        free = [t for t in self._tiers[tier] if t is not last]
        pair = self._random.sample(free, min(2, len(free)))
        target = min(pair, key=lambda t: t.gate.load())

        def finish(ok: bool) -> None:
            if ok or not self._may_retry(attempt, tier, left):
                done(ok)
            else:
                self._send_to(attempt, tier, done, target, left - 1)

        self._after(HOP_S, lambda: self._deliver(attempt, target, finish))

    def _may_retry(self, attempt: Attempt, tier: int, left: int) -> bool:
        if not self._control.bounded_retries:
            return left > 0
        if attempt.over or attempt.credits < 1:
            return False
        if not self._budgets[tier].take_retry(self.now):
            return False
        attempt.credits -= 1
        return True

    def _deliver(self, attempt: Attempt, target: Target, done: Done) -> None:
        if attempt.over and self._control.cancels:
            return
        request = attempt.request
        ticket = Ticket(
            account=AccountId(str(request.account)),
            weight=self._deployment.weights[request.account] * 1000,
            criticality=request.criticality,
            depth=1 + target.tier - request.first_tier,
            deadline=attempt.deadline,
        )
        call = Call(attempt, target, ticket, done)
        self._calls[ticket] = call
        attempt.live.add(call)
        self._apply(target.gate.arrive(ticket, self.now))

    def _apply(self, changes: TicketChanges) -> None:
        for ticket in changes.started:
            self._work(self._calls[ticket])
        for ticket in changes.refused:
            call = self._calls[ticket]
            self._forget(call)
            self._after(HOP_S, lambda done=call.done: done(False))  # type: ignore[misc]

    def _work(self, call: Call) -> None:
        target = call.target
        target.running += 1
        mean = self._deployment.tiers[target.tier].work_s
        if target.tier == len(self._tiers) - 1:
            mean *= self._load.slowdown(self.now)
            real = self._load.real_slots * target.slots
            # Above the real slots each call slows all others more than linearly.
            mean *= max(1.0, target.running / real) ** 1.5
        work = self._random.gammavariate(SHAPE, mean / SHAPE)
        self._after(work, lambda: self._worked(call))

    def _worked(self, call: Call) -> None:
        if call not in call.attempt.live:
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
        if call not in call.attempt.live:
            return
        call.target.running -= 1
        if ok:
            call.target.gate.ended(call.ticket, self.now, self._nested_s(call))
        self._leave(call)
        self._after(HOP_S, lambda: call.done(ok))

    def _leave(self, call: Call) -> None:
        self._forget(call)
        self._apply(call.target.gate.release(call.ticket, self.now))

    def _forget(self, call: Call) -> None:
        call.attempt.live.discard(call)
        del self._calls[call.ticket]
