"""Goodput of a call graph whose deepest service is overloaded, in virtual time.

Urgent and other requests enter at two separate front services. Each request runs there
and then makes two concurrent chains of five sequential calls to the deep service. For
part of the run one of the three targets of the deep service is down. A request is good
when it succeeds within its objective; goodput is relative to the capacity of the deep
service. The naive version limits requests only by the slots of the front service.

    python -m benchmarks.call_pressure --seed 1 --repetitions 3
"""

import heapq
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Annotated

import typer

from endivebeam_fleet import (
    AdmissionQueue,
    CallKind,
    CallPressure,
    Ticket,
    TicketState,
    compute_pressure,
)

FRONT_TARGETS, FRONT_SLOTS, FRONT_WORK_S = 3, 96, 0.09
DEEP_TARGETS, DEEP_SLOTS, DEEP_WORK_S = 3, 25, 0.022
CHAINS, CHAIN_CALLS = 2, 5
OBJECTIVE_S, BUDGET_S = 1.5, 6.0
DEEP_OBJECTIVE_S, DEEP_BUDGET_S = 0.3, 0.7
TARGET_CAPACITY_PER_S = DEEP_SLOTS / DEEP_WORK_S / (CHAINS * CHAIN_CALLS)
URGENT_FRACTION = 0.3
WARM_UP_S, OUTAGE_START_S, OUTAGE_END_S, END_S = 4.0, 8.0, 12.0, 16.0

URGENT = CallKind(internal=False, shed_order=0.0)
OTHER = CallKind(internal=False, shed_order=1.0)
INTERNAL = CallKind(internal=True)


class Scheduler:
    """Runs callbacks in the order of their virtual times in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def call_later(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        event = (self.now + seconds, next(self._sequence), action)
        heapq.heappush(self._events, event)

    def run(self, until: float) -> None:
        """Run all actions that are due up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()


@dataclass(slots=True, eq=False)
class Target:
    """A target with its admission queue and the callbacks of queued calls."""

    queue: AdmissionQueue
    pressure: CallPressure
    waiting: dict[Ticket, Callable[[bool], None]] = field(default_factory=dict)
    down: bool = False

    @property
    def load(self) -> int:
        """Number of running and queued calls."""
        return self.queue.running + self.queue.waiting

    def admit(
        self,
        ticket: Ticket,
        scheduler: Scheduler,
        on_start: Callable[[Ticket], None],
        on_reject: Callable[[], None],
    ) -> None:
        """Start, queue or reject a call that arrives."""
        self.queue.arrive(ticket, scheduler.now)
        if ticket.state is TicketState.RUNNING:
            on_start(ticket)
        elif ticket.state is TicketState.REFUSED:
            on_reject()
        else:
            self.waiting[ticket] = lambda ok: on_start(ticket) if ok else on_reject()
            wait_s = max(0.0, ticket.latest_start - scheduler.now) + 1e-6
            scheduler.call_later(wait_s, lambda: self.apply_changes(scheduler.now))

    def record_running(self, kind: CallKind) -> None:
        """Tell the pressure how many calls of a kind run."""
        self.pressure.record_running(kind, self.queue.running_of(kind))

    def update_limits(self, now: float) -> None:
        """Adapt what is admitted if an interval has ended, and start queued calls."""
        if self.pressure.may_update(now):
            self.pressure.update(hold_s=self.queue.longest_hold_s, now=now)
        self.apply_changes(now)

    def apply_changes(self, now: float) -> None:
        """Resume the queued calls that start or are rejected now."""
        for ticket in self.queue.next_changes(now):
            resume = self.waiting.pop(ticket)
            resume(ticket.state is TicketState.RUNNING)


def make_target(slots: int) -> Target:
    """Return a target with a number of slots that has just started."""
    queue = AdmissionQueue()
    queue.configure(slots=slots, cold_left_s=0.0, now=0.0)
    return Target(queue, CallPressure(now=0.0))


@dataclass(slots=True, kw_only=True)
class Outcome:
    """Number of requests of one kind that were sent, good, or failed after a start."""

    sent: int = 0
    good: int = 0
    wasted: int = 0


class Graph:
    """Simulation of two front services that call the deep service."""

    def __init__(self, *, rng: random.Random, uses_pressure: bool) -> None:
        self.scheduler = Scheduler()
        self.outcomes = {URGENT: Outcome(), OTHER: Outcome()}
        self._rng = rng
        self._uses_pressure = uses_pressure
        self._fronts = {
            kind: [make_target(FRONT_SLOTS) for _ in range(FRONT_TARGETS)]
            for kind in self.outcomes
        }
        self._deep = [make_target(DEEP_SLOTS) for _ in range(DEEP_TARGETS)]

    def simulate(self, rate_per_s: float) -> None:
        """Simulate the whole run with Poisson arrivals at a rate."""

        def arrive() -> None:
            urgent = self._rng.random() < URGENT_FRACTION
            self._start_request(URGENT if urgent else OTHER)
            self.scheduler.call_later(self._rng.expovariate(rate_per_s), arrive)

        def set_down(down: bool) -> None:
            self._deep[0].down = down

        self.scheduler.call_later(0.0, arrive)
        self.scheduler.call_later(OUTAGE_START_S, lambda: set_down(True))
        self.scheduler.call_later(OUTAGE_END_S, lambda: set_down(False))
        self.scheduler.run(END_S)

    def _start_request(self, kind: CallKind) -> None:
        started = self.scheduler.now
        counted = started >= WARM_UP_S
        outcome = self.outcomes[kind]
        outcome.sent += counted
        target = self._choose_target(self._fronts[kind])

        def on_start(ticket: Ticket) -> None:
            target.record_running(kind)
            self.scheduler.call_later(
                self._draw_work_s(FRONT_WORK_S), lambda: call_chains(ticket)
            )

        def call_chains(ticket: Ticket) -> None:
            ended: list[bool] = []

            def end_chain(good: bool) -> None:
                ended.append(good)
                if len(ended) == CHAINS:
                    finish(ticket, all(ended))

            for _ in range(CHAINS):
                self._call_deep(target, kind, CHAIN_CALLS, end_chain)

        def finish(ticket: Ticket, good: bool) -> None:
            target.queue.release(ticket, self.scheduler.now, ran_to_end=True)
            target.record_running(kind)
            target.update_limits(self.scheduler.now)
            in_time = self.scheduler.now - started <= OBJECTIVE_S
            outcome.good += counted and good and in_time
            outcome.wasted += counted and not good

        if self._uses_pressure and not target.pressure.admits(kind):
            return
        self._admit(target, kind, OBJECTIVE_S, BUDGET_S, on_start, lambda: None)

    def _call_deep(
        self,
        caller: Target,
        kind: CallKind,
        remaining: int,
        on_end: Callable[[bool], None],
    ) -> None:
        if not remaining:
            on_end(True)
            return
        target = self._choose_target([t for t in self._deep if not t.down])
        caller.pressure.record_call()

        def on_start(ticket: Ticket) -> None:
            self.scheduler.call_later(
                self._draw_work_s(DEEP_WORK_S), lambda: finish(ticket)
            )

        def finish(ticket: Ticket) -> None:
            now = self.scheduler.now
            waited_s = ticket.started_at - ticket.arrived_at
            wait_s = min(waited_s, target.queue.backlog_s(now))
            pressure = compute_pressure(wait_s, DEEP_OBJECTIVE_S)
            caller.pressure.record_reply(pressure, now)
            target.queue.release(ticket, now, ran_to_end=True)
            target.apply_changes(now)
            caller.update_limits(now)
            self._call_deep(caller, kind, remaining - 1, on_end)

        def on_reject() -> None:
            caller.pressure.record_reply(1.0, self.scheduler.now)
            caller.update_limits(self.scheduler.now)
            on_end(False)

        # Internal calls have the mean rank of the running calls of their caller, and
        # a front service runs calls of one rank only.
        rank = 0.0 if kind == URGENT else 2.0
        self._admit(
            target,
            INTERNAL,
            DEEP_OBJECTIVE_S,
            DEEP_BUDGET_S,
            on_start,
            on_reject,
            rank=rank,
        )

    def _admit(
        self,
        target: Target,
        kind: CallKind,
        objective_s: float,
        budget_s: float,
        on_start: Callable[[Ticket], None],
        on_reject: Callable[[], None],
        rank: float = 1.0,
    ) -> None:
        now = self.scheduler.now
        ticket = Ticket(
            rank=rank,
            kind=kind,
            arrived_at=now,
            objective_s=objective_s,
            deadline=now + budget_s,
        )
        target.admit(ticket, self.scheduler, on_start, on_reject)

    def _choose_target(self, targets: list[Target]) -> Target:
        first, second = self._rng.sample(targets, 2)
        return first if first.load <= second.load else second

    def _draw_work_s(self, mean_s: float) -> float:
        return self._rng.lognormvariate(math.log(mean_s) - 0.125, 0.5)


def run_graph(*, load: float, uses_pressure: bool, seed: int) -> Graph:
    """Simulate a load relative to the capacity of the whole deep service."""
    graph = Graph(rng=random.Random(seed), uses_pressure=uses_pressure)
    graph.simulate(load * DEEP_TARGETS * TARGET_CAPACITY_PER_S)
    return graph


def relative_goodput(graph: Graph) -> float:
    """Return the good requests as a fraction of the capacity of the deep service."""
    measured_s = END_S - WARM_UP_S
    target_seconds = DEEP_TARGETS * measured_s - (OUTAGE_END_S - OUTAGE_START_S)
    good = sum(outcome.good for outcome in graph.outcomes.values())
    return good / (target_seconds * TARGET_CAPACITY_PER_S)


def served_fraction(outcome: Outcome) -> float:
    """Return the good requests as a fraction of the sent requests."""
    return outcome.good / max(1, outcome.sent)


def main(
    seed: Annotated[int, typer.Option()] = 1,
    repetitions: Annotated[int, typer.Option()] = 3,
) -> None:
    """Print the median and worst goodput and the served fraction of each kind."""
    print(
        f"{'load':>5} {'version':>9} {'goodput':>8} {'worst':>6}"
        f" {'urgent':>7} {'other':>6} {'wasted':>7}"
    )
    for load in (0.6, 1.0, 1.5, 2.0, 4.0):
        for name, uses_pressure in (("naive", False), ("pressure", True)):
            graphs = [
                run_graph(load=load, uses_pressure=uses_pressure, seed=seed + number)
                for number in range(repetitions)
            ]
            goodputs = sorted(relative_goodput(graph) for graph in graphs)
            urgent = min(served_fraction(g.outcomes[URGENT]) for g in graphs)
            other = min(served_fraction(g.outcomes[OTHER]) for g in graphs)
            outcomes = [o for g in graphs for o in g.outcomes.values()]
            wasted = sum(o.wasted for o in outcomes) / sum(o.sent for o in outcomes)
            print(
                f"{load:5} {name:>9} {goodputs[len(goodputs) // 2]:8.3f}"
                f" {goodputs[0]:6.3f} {urgent:7.3f} {other:6.3f} {wasted:7.3f}"
            )


if __name__ == "__main__":
    typer.run(main)
