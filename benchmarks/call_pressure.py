"""Goodput of a call graph whose deepest service is too small, in virtual time.

Urgent and other requests enter at front services of their own. Each runs there and
makes calls to the deep service, two chains of five at a time. For a part of the run a
third of the deep service is gone. A request is good when it ends within its objective;
goodput is relative to what the deep service can carry. The naive version admits
requests by the slots of the front alone.

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
WARM_UP_S, LOSS_AT_S, LOSS_END_S, END_S = 4.0, 8.0, 12.0, 16.0

URGENT = CallKind(internal=False, shed_order=0.0)
OTHER = CallKind(internal=False, shed_order=1.0)
INTERNAL = CallKind(internal=True)


class Timeline:
    """Events in virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def call_in(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action later."""
        event = (self.now + seconds, next(self._order), action)
        heapq.heappush(self._events, event)

    def run(self, until: float) -> None:
        """Run all actions up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()


@dataclass(slots=True, eq=False)
class Target:
    """A target behind its intake."""

    queue: AdmissionQueue
    pressure: CallPressure
    waiting: dict[Ticket, Callable[[bool], None]] = field(default_factory=dict)
    lost: bool = False

    @property
    def load(self) -> int:
        """Calls that run or wait."""
        return self.queue.running + self.queue.waiting


@dataclass(slots=True, kw_only=True)
class Outcome:
    """Requests of one kind: sent, good, and failed after they had begun."""

    sent: int = 0
    good: int = 0
    wasted: int = 0


class Graph:
    """Two front services and the deep service."""

    def __init__(self, *, rng: random.Random, uses_pressure: bool) -> None:
        self.time = Timeline()
        self.outcomes = {URGENT: Outcome(), OTHER: Outcome()}
        self._rng = rng
        self._uses_pressure = uses_pressure
        self._fronts = {
            kind: [self._make(FRONT_SLOTS) for _ in range(FRONT_TARGETS)]
            for kind in self.outcomes
        }
        self._deep = [self._make(DEEP_SLOTS) for _ in range(DEEP_TARGETS)]

    def offer(self, rate_per_s: float) -> None:
        """Send requests at random times for the whole run."""

        def arrive() -> None:
            urgent = self._rng.random() < URGENT_FRACTION
            self._request(URGENT if urgent else OTHER)
            self.time.call_in(self._rng.expovariate(rate_per_s), arrive)

        def set_lost(lost: bool) -> None:
            self._deep[0].lost = lost

        self.time.call_in(0.0, arrive)
        self.time.call_in(LOSS_AT_S, lambda: set_lost(True))
        self.time.call_in(LOSS_END_S, lambda: set_lost(False))
        self.time.run(END_S)

    def _make(self, slots: int) -> Target:
        pressure = CallPressure(now=0.0)
        pressure.configure(slots=slots)
        limit_of = pressure.limit if self._uses_pressure else _no_limit
        queue = AdmissionQueue(limit_of=limit_of)
        queue.configure(slots=slots, cold_left_s=0.0, now=0.0)
        return Target(queue, pressure)

    def _request(self, kind: CallKind) -> None:
        started = self.time.now
        counted = started >= WARM_UP_S
        outcome = self.outcomes[kind]
        outcome.sent += counted
        target = self._pick(self._fronts[kind])

        def note_running() -> None:
            running = target.queue.running_of(kind)
            target.pressure.note_running(kind, running, self.time.now)

        def begin(ticket: Ticket) -> None:
            note_running()
            self.time.call_in(self._work(FRONT_WORK_S), lambda: call_chains(ticket))

        def call_chains(ticket: Ticket) -> None:
            ended: list[bool] = []

            def end_chain(good: bool) -> None:
                ended.append(good)
                if len(ended) == CHAINS:
                    finish(ticket, all(ended))

            for _ in range(CHAINS):
                self._call_deep(target, kind, CHAIN_CALLS, end_chain)

        def finish(ticket: Ticket, good: bool) -> None:
            target.queue.release(ticket, self.time.now, ran_to_end=True)
            note_running()
            self._adapt(target)
            in_time = self.time.now - started <= OBJECTIVE_S
            outcome.good += counted and good and in_time
            outcome.wasted += counted and not good

        self._admit(target, kind, OBJECTIVE_S, BUDGET_S, begin, lambda: None)

    def _call_deep(
        self, caller: Target, kind: CallKind, left: int, end: Callable[[bool], None]
    ) -> None:
        if not left:
            end(True)
            return
        target = self._pick([t for t in self._deep if not t.lost])
        caller.pressure.note_call()

        def begin(ticket: Ticket) -> None:
            self.time.call_in(self._work(DEEP_WORK_S), lambda: finish(ticket))

        def finish(ticket: Ticket) -> None:
            waited_s = ticket.started_at - ticket.arrived_at
            caller.pressure.note_answer(compute_pressure(waited_s, DEEP_OBJECTIVE_S))
            target.queue.release(ticket, self.time.now, ran_to_end=True)
            self._wake(target)
            self._adapt(caller)
            self._call_deep(caller, kind, left - 1, end)

        def refuse() -> None:
            caller.pressure.note_answer(1.0)
            self._adapt(caller)
            end(False)

        # The order of internal calls knows the mean rank of the caller's runs.
        rank = 0.0 if kind == URGENT else 2.0
        self._admit(
            target, INTERNAL, DEEP_OBJECTIVE_S, DEEP_BUDGET_S, begin, refuse, rank=rank
        )

    def _admit(
        self,
        target: Target,
        kind: CallKind,
        objective_s: float,
        budget_s: float,
        begin: Callable[[Ticket], None],
        refuse: Callable[[], None],
        rank: float = 1.0,
    ) -> None:
        now = self.time.now
        ticket = Ticket(
            rank=rank,
            kind=kind,
            arrived_at=now,
            objective_s=objective_s,
            deadline=now + budget_s,
        )
        target.queue.arrive(ticket, now)
        if ticket.state is TicketState.RUNNING:
            begin(ticket)
        elif ticket.state is TicketState.REFUSED:
            refuse()
        else:
            target.waiting[ticket] = lambda ok: begin(ticket) if ok else refuse()
            wait_s = max(0.0, ticket.latest_start - now) + 1e-6
            self.time.call_in(wait_s, lambda: self._wake(target))

    def _adapt(self, target: Target) -> None:
        hold_s = target.queue.longest_hold_s
        target.pressure.update(hold_s=hold_s, now=self.time.now)
        self._wake(target)

    def _wake(self, target: Target) -> None:
        for ticket in target.queue.next_changes(self.time.now):
            go_on = target.waiting.pop(ticket)
            go_on(ticket.state is TicketState.RUNNING)

    def _pick(self, targets: list[Target]) -> Target:
        first, second = self._rng.sample(targets, 2)
        return first if first.load <= second.load else second

    def _work(self, mean_s: float) -> float:
        return self._rng.lognormvariate(math.log(mean_s) - 0.125, 0.5)


def _no_limit(kind: CallKind) -> float:
    return math.inf


def run_graph(*, load: float, uses_pressure: bool, seed: int) -> Graph:
    """Run a load relative to the capacity of the whole deep service."""
    graph = Graph(rng=random.Random(seed), uses_pressure=uses_pressure)
    graph.offer(load * DEEP_TARGETS * TARGET_CAPACITY_PER_S)
    return graph


def rate_goodput(graph: Graph) -> float:
    """Return the good requests as a part of what the deep service could carry."""
    whole_s = END_S - WARM_UP_S
    target_seconds = DEEP_TARGETS * whole_s - (LOSS_END_S - LOSS_AT_S)
    good = sum(outcome.good for outcome in graph.outcomes.values())
    return good / (target_seconds * TARGET_CAPACITY_PER_S)


def rate_served(outcome: Outcome) -> float:
    """Return the good requests as a part of those sent."""
    return outcome.good / max(1, outcome.sent)


def main(
    seed: Annotated[int, typer.Option()] = 1,
    repetitions: Annotated[int, typer.Option()] = 3,
) -> None:
    """Print the goodput, the worst repetition beside it, and who was served."""
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
            goodputs = sorted(rate_goodput(graph) for graph in graphs)
            urgent = min(rate_served(g.outcomes[URGENT]) for g in graphs)
            other = min(rate_served(g.outcomes[OTHER]) for g in graphs)
            outcomes = [o for g in graphs for o in g.outcomes.values()]
            wasted = sum(o.wasted for o in outcomes) / sum(o.sent for o in outcomes)
            print(
                f"{load:5} {name:>9} {goodputs[len(goodputs) // 2]:8.3f}"
                f" {goodputs[0]:6.3f} {urgent:7.3f} {other:6.3f} {wasted:7.3f}"
            )


if __name__ == "__main__":
    typer.run(main)
