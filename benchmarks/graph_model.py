"""Model of a call graph in virtual time, with the real admission queues and pressure.

The services, their targets and the kinds of requests are given by a ``Layout``. The
replays of this directory that start from one load pattern each are built on it.
"""

import math
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from endivebeam_fleet import (
    FULL_PRESSURE,
    CallKind,
    Ticket,
    compute_pressure,
)

from .call_pressure import Outcome, Scheduler, Target, make_target

WORK_SPREAD = 0.5
# Callers return after a time in this range when they were rejected, in seconds.
REJECTED_RETURN_S = (0.5, 1.5)


@dataclass(frozen=True, kw_only=True)
class Work:
    """A kind of call: where it runs, for how long, and the calls that it makes.

    ``parallel`` chains of ``sequential`` nested calls each follow the work. Times are
    in seconds; a lower ``rank`` is more urgent.
    """

    name: str
    service: str
    work_s: float
    objective_s: float
    budget_s: float
    nested: "Work | None" = None
    parallel: int = 1
    sequential: int = 1
    rate_per_s: float = 0.0
    worth: float = 0.0
    rank: int = 0
    shed_order: float = 0.0
    idempotent: bool = True


@dataclass(frozen=True, kw_only=True)
class Service:
    """Targets of a service: their slots, and the relative speed of each target."""

    slots: int
    speeds: Sequence[float]


@dataclass(frozen=True, kw_only=True)
class Layout:
    """The services by name, and the kinds of requests that callers send."""

    services: Mapping[str, Service]
    requests: Sequence[Work]


class Graph:
    """Simulation of the services and their requests.

    Requests that are sent from ``count_from_s`` until ``count_until_s`` are counted.
    With ``retries``, callers send a request that was rejected or failed once more.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        uses_pressure: bool,
        layout: Layout,
        count_from_s: float,
        count_until_s: float,
        retries: bool = False,
    ) -> None:
        self.scheduler = Scheduler()
        self.requests = layout.requests
        self.outcomes = {work.name: Outcome() for work in layout.requests}
        self.targets: dict[str, list[Target]] = {}
        self._rng = rng
        self._uses_pressure = uses_pressure
        self._count_from_s = count_from_s
        self._count_until_s = count_until_s
        self._retries = retries
        self._speeds: dict[int, float] = {}
        for name, service in layout.services.items():
            self.targets[name] = [
                self._make_target(service.slots, speed) for speed in service.speeds
            ]

    def schedule_arrivals(self, work: Work, load_at: Callable[[float], float]) -> None:
        """Send requests of a kind; ``load_at`` returns the relative load at a time."""

        def arrive() -> None:
            self._start_request(work)
            rate = work.rate_per_s * load_at(self.scheduler.now)
            self.scheduler.call_later(self._rng.expovariate(rate), arrive)

        self.scheduler.call_later(0.0, arrive)

    def _make_target(self, slots: int, speed: float) -> Target:
        target = make_target(slots)
        self._speeds[id(target)] = speed
        return target

    def _start_request(self, work: Work) -> None:
        started = self.scheduler.now
        counted = self._count_from_s <= started < self._count_until_s
        self.outcomes[work.name].sent += counted
        self._send_request(work, started, counted=counted, may_repeat=self._retries)

    def _send_request(
        self, work: Work, started: float, *, counted: bool, may_repeat: bool
    ) -> None:
        outcome = self.outcomes[work.name]

        def repeat(delay_s: float) -> None:
            self.scheduler.call_later(
                delay_s,
                lambda: self._send_request(
                    work, started, counted=counted, may_repeat=False
                ),
            )

        def finish(good: bool, pressure: float) -> None:
            in_time = self.scheduler.now - started <= work.objective_s
            outcome.good += counted and good and in_time
            outcome.wasted += counted and not good
            if not good and may_repeat and work.idempotent:
                repeat(0.0)

        def reject() -> None:
            if may_repeat:
                repeat(self._rng.uniform(*REJECTED_RETURN_S))

        kind = CallKind(internal=False, shed_order=work.shed_order)
        deadline = started + work.budget_s
        self._call(work, kind, work.rank, deadline, finish, reject, None)

    def _call(
        self,
        work: Work,
        kind: CallKind,
        rank: float,
        deadline: float,
        on_end: Callable[[bool, float], None],
        on_reject: Callable[[], None],
        admitted_part: float | None,
    ) -> None:
        """Run a call; ``on_end`` gets whether it succeeded and the pressure.

        ``admitted_part`` is None for requests of callers.
        """
        target = self._choose_target(work.service)
        now = self.scheduler.now
        if self._uses_pressure and not target.pressure.admits(kind):
            on_reject()
            return
        if admitted_part is None:
            sheds = self._uses_pressure
            admitted_part = target.pressure.admitted_part(kind) if sheds else 1.0

        def on_start(ticket: Ticket) -> None:
            target.record_running(kind)
            delay_s = self._draw_work_s(work.work_s) / self._speeds[id(target)]
            self.scheduler.call_later(
                delay_s, lambda: self._call_nested(target, work, ticket, finish)
            )

        def finish(ticket: Ticket, good: bool) -> None:
            waited_s = ticket.started_at - ticket.arrived_at
            wait_s = min(waited_s, target.queue.backlog_s(self.scheduler.now))
            own = compute_pressure(wait_s, ticket.objective_s)
            if kind.internal:
                own = max(own, target.queue.unfairness(self.scheduler.now))
            pressure = max(own, target.pressure.pressure_for_callers(kind))
            if target.pressure.record_end(
                kind, started_at=ticket.started_at, failed=not good
            ):
                pressure = FULL_PRESSURE
            target.queue.release(ticket, self.scheduler.now, ran_to_end=True)
            target.record_running(kind)
            target.update_limits(self.scheduler.now)
            on_end(good, pressure)

        ticket = Ticket(
            rank=rank,
            kind=kind,
            arrived_at=now,
            objective_s=work.objective_s,
            deadline=min(deadline, now + work.budget_s),
            admitted_part=admitted_part,
        )
        target.admit(ticket, self.scheduler, on_start, on_reject)

    def _call_nested(
        self,
        target: Target,
        work: Work,
        ticket: Ticket,
        on_end: Callable[[Ticket, bool], None],
    ) -> None:
        if work.nested is None:
            on_end(ticket, True)
            return
        nested, ended = work.nested, []

        def end_chain(good: bool) -> None:
            ended.append(good)
            if len(ended) == work.parallel:
                on_end(ticket, all(ended))

        def call_next(remaining: int) -> None:
            if not remaining:
                end_chain(True)
                return
            target.pressure.record_call()
            rank = target.queue.mean_rank
            self._call(
                nested,
                CallKind(internal=True),
                0.0 if rank is None else rank,
                ticket.deadline,
                lambda good, pressure: end_call(remaining, good, pressure),
                lambda: end_call(remaining, False, FULL_PRESSURE),
                target.queue.mean_admitted_part(target.pressure.calls_per_run),
            )

        def end_call(remaining: int, good: bool, pressure: float) -> None:
            now = self.scheduler.now
            target.pressure.record_reply(pressure, now)
            rejected = not good and pressure >= FULL_PRESSURE
            target.pressure.record_call_end(rejected=rejected, now=now)
            target.update_limits(now)
            if good:
                call_next(remaining - 1)
            else:
                end_chain(False)

        for _ in range(work.parallel):
            call_next(work.sequential)

    def _choose_target(self, service: str) -> Target:
        targets = [t for t in self.targets[service] if not t.down]
        pair = self._rng.sample(targets, min(2, len(targets)))
        return min(pair, key=lambda target: target.load)

    def _draw_work_s(self, mean_s: float) -> float:
        mu = math.log(mean_s) - WORK_SPREAD**2 / 2
        return self._rng.lognormvariate(mu, WORK_SPREAD)


def worth_fraction(graph: Graph) -> float:
    """Return the worth of the good requests as a part of that of all."""
    earned = owed = 0.0
    for work in graph.requests:
        outcome = graph.outcomes[work.name]
        earned += work.worth * outcome.good
        owed += work.worth * outcome.sent
    return earned / owed
