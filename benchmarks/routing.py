"""Quality of target selection compared with random choice and round robin.

``python -m benchmarks.routing --seed 1`` runs a discrete-event simulation in which 12
entry nodes send calls to 12 targets of one domain. In every scenario except ``none``
target 0 is faulty. Latencies are relative to those of random choice without a faulty
target and with the same seed, so that they do not depend on the service time.
"""

import argparse
import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from endivebeam_model import DomainName, Member, NodeId, RegionName
from endivebeam_routing import RAMP_S, CallOutcome, Router
from endivebeam_standins import make_member

NODES = 12
TARGETS = 12
SLOTS = 8
SERVICE_S = 0.02
LOAD = 0.6
WARM_UP_S = 15.0
END_S = 45.0
SLOWDOWN = 8.0
REPETITIONS = 3

# Returns the target for a call, given the node that sends it and the time.
Choose = Callable[[int, float], int]
# Receives node, target, latency and time in seconds, and whether the call failed.
Finish = Callable[[int, int, float, float, bool], None]


class Scenario(Enum):
    """Fault of target 0 after the warm-up."""

    NONE = "none"
    SLOW = "slow target"
    MISREPORTING = "slow, reports idle"
    FAILING = "fails at once"
    COLD = "cold target"


@dataclass(slots=True)
class TargetState:
    """Slots in use and the queued calls, as pairs of node and send time."""

    in_use: int = 0
    waiting: deque[tuple[int, float]] = field(default_factory=deque)


@dataclass(slots=True)
class Outcome:
    """Latencies, calls to target 0 and failed calls after the warm-up."""

    latencies_s: list[float] = field(default_factory=list)
    target_0_calls: int = 0
    failures: int = 0

    def quantile(self, fraction: float) -> float:
        """Return a quantile of the latency."""
        ordered = sorted(self.latencies_s)
        return ordered[int(fraction * (len(ordered) - 1))]

    @property
    def target_0_share(self) -> float:
        """Calls to target 0 relative to an equal share of all calls."""
        return self.target_0_calls * TARGETS / len(self.latencies_s)


class Simulation:
    """Calls arrive at random nodes, are sent to a target and queue for a slot."""

    def __init__(
        self,
        *,
        scenario: Scenario,
        choose: Choose,
        finish: Finish,
        rng: random.Random,
    ) -> None:
        self.scenario = scenario
        self.targets = [TargetState() for _ in range(TARGETS)]
        self.outcome = Outcome()
        self._choose = choose
        self._finish = finish
        self._rng = rng
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = itertools.count()

    def run(self) -> Outcome:
        """Simulate until ``END_S`` and return the outcome after the warm-up."""
        self._schedule(0.0, self._arrive)
        while self._events[0][0] < END_S:
            now, _, event = heapq.heappop(self._events)
            event(now)
        return self.outcome

    def load_of(self, target: int) -> int:
        """Return the load that a target reports."""
        if target == 0 and self.scenario is Scenario.MISREPORTING:
            return 0
        state = self.targets[target]
        return state.in_use + len(state.waiting)

    def _arrive(self, now: float) -> None:
        rate = LOAD * TARGETS * SLOTS / SERVICE_S
        self._schedule(now + self._rng.expovariate(rate), self._arrive)
        node = self._rng.randrange(NODES)
        target = self._choose(node, now)
        if now >= WARM_UP_S and target == 0:
            self.outcome.target_0_calls += 1
        if self._is_faulty(target, now) and self.scenario is Scenario.FAILING:
            self._schedule(
                now + 0.001, lambda at: self._record(node, target, now, at, True)
            )
            return
        state = self.targets[target]
        if state.in_use < SLOTS:
            self._serve(node, target, now, now)
        else:
            state.waiting.append((node, now))

    def _serve(self, node: int, target: int, sent_at: float, now: float) -> None:
        self.targets[target].in_use += 1
        service_s = self._rng.expovariate(
            1.0 / (SERVICE_S * self._slowdown(target, now))
        )
        self._schedule(
            now + service_s, lambda at: self._complete(node, target, sent_at, at)
        )

    def _complete(self, node: int, target: int, sent_at: float, now: float) -> None:
        state = self.targets[target]
        state.in_use -= 1
        if state.waiting:
            next_node, next_sent_at = state.waiting.popleft()
            self._serve(next_node, target, next_sent_at, now)
        self._record(node, target, sent_at, now, False)

    def _record(
        self, node: int, target: int, sent_at: float, now: float, failed: bool
    ) -> None:
        self._finish(node, target, now - sent_at, now, failed)
        if sent_at >= WARM_UP_S:
            self.outcome.latencies_s.append(now - sent_at)
            self.outcome.failures += failed

    def _is_faulty(self, target: int, now: float) -> bool:
        return target == 0 and now >= WARM_UP_S and self.scenario is not Scenario.NONE

    def _slowdown(self, target: int, now: float) -> float:
        if not self._is_faulty(target, now) or self.scenario is Scenario.FAILING:
            return 1.0
        if self.scenario is Scenario.COLD:
            # A cold target reaches its full speed linearly over RAMP_S.
            return 1.0 + (SLOWDOWN - 1.0) * max(0.0, 1.0 - (now - WARM_UP_S) / RAMP_S)
        return SLOWDOWN

    def _schedule(self, when: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._sequence), event))


def run_random(scenario: Scenario, rng: random.Random) -> Outcome:
    """Simulate random choice."""
    return Simulation(
        scenario=scenario,
        choose=lambda node, now: rng.randrange(TARGETS),
        finish=lambda *ended: None,
        rng=rng,
    ).run()


def run_round_robin(scenario: Scenario, rng: random.Random) -> Outcome:
    """Simulate round robin, separately at each node."""
    last_targets = [rng.randrange(TARGETS) for _ in range(NODES)]

    def choose(node: int, now: float) -> int:
        last_targets[node] = (last_targets[node] + 1) % TARGETS
        return last_targets[node]

    return Simulation(
        scenario=scenario, choose=choose, finish=lambda *ended: None, rng=rng
    ).run()


def run_router(scenario: Scenario, rng: random.Random) -> Outcome:
    """Simulate the router; every response reports the load of its target."""
    members = [
        msgspec.structs.replace(make_member(f"t{i}", "d0"), slots=SLOTS)
        for i in range(TARGETS)
    ]
    routers = [
        Router(
            local=NodeId(f"entry-{i}"),
            domain=DomainName("d0"),
            region=RegionName("region"),
            rng=random.Random(rng.randrange(1 << 30)),
        )
        for i in range(NODES)
    ]
    restarted: set[int] = set()

    def choose(node: int, now: float) -> int:
        router = routers[node]
        if scenario is Scenario.COLD and now >= WARM_UP_S and node not in restarted:
            restarted.add(node)
            cold = msgspec.structs.replace(members[0], incarnation=2)
            router.update(cold, serving=True, now=now)
        member = router.choose(members, now)
        assert member is not None
        return int(member.node_id[1:])

    def finish(
        node: int, target: int, latency_s: float, now: float, failed: bool
    ) -> None:
        result = CallOutcome.FAILED if failed else CallOutcome.ANSWERED
        member: Member = members[target]
        routers[node].record_load(
            member.node_id, simulation.load_of(target), SLOTS, now
        )
        routers[node].record_result(member.node_id, result, now, latency_s)

    simulation = Simulation(scenario=scenario, choose=choose, finish=finish, rng=rng)
    return simulation.run()


POLICIES = {
    "random": run_random,
    "round robin": run_round_robin,
    "endivebeam": run_router,
}


def main() -> None:
    """Print the median and worst repetition of each scenario and policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--repetitions", type=int, default=REPETITIONS)
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.repetitions)
    references = {s: run_random(Scenario.NONE, random.Random(s)) for s in seeds}
    print(
        "scenario            policy       p50 ratio     p99 ratio   "
        "share of target 0  failed (each: median, worst)"
    )
    for scenario in Scenario:
        for name, policy in POLICIES.items():
            outcomes = {s: policy(scenario, random.Random(s)) for s in seeds}
            columns = [
                sorted(
                    o.quantile(q) / references[s].quantile(q)
                    for s, o in outcomes.items()
                )
                for q in (0.5, 0.99)
            ]
            columns.append(sorted(o.target_0_share for o in outcomes.values()))
            columns.append(
                sorted(o.failures / len(o.latencies_s) for o in outcomes.values())
            )
            cells = "  ".join(f"{c[len(c) // 2]:6.3f} {c[-1]:6.3f}" for c in columns)
            print(f"{scenario.value:<19} {name:<11} {cells}")


if __name__ == "__main__":
    main()
