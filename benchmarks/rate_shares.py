"""Wrongful rejections and over-admission of rate shares, in virtual time.

Compares the shares with an equal static split, with one central bucket and with
an oracle (one bucket without latency or faults) on the same calls:

    python -m benchmarks.rate_shares --seed 1 --repetitions 3

``admitted`` is relative to the oracle. ``wrongful`` is the fraction of calls, among
those of all accounts within their rate, that were rejected although an ideal bucket
had a token after the mechanism's own admissions. ``excess`` is the most by which the
admissions in any window exceed rate x time + burst, relative to the burst. Each cell
shows the worst repetition.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Annotated

import typer
from loguru import logger

from endivebeam_limits import LeaseTimes, ShareId
from endivebeam_model import AccountId, Contract
from endivebeam_standins.virtual_loop import VirtualLoop
from endivebeam_standins.virtual_rates import StoreFault, VirtualFleet

DOMAINS = ("domain-a", "domain-b", "domain-c")
START_S = 12.0
FAULT_AT_S = 10.0
STEADY_S = 30.0
FAULT_S = 110.0
LOAD = 0.9

# Time until a crashed central bucket is replaced: its lease, the safety margin and the
# settling time.
CENTRAL_RECOVERY_S = 76.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """Size of a fleet and the one-way latency between its nodes."""

    name: str
    nodes_per_domain: int
    one_way_s: float


DEPLOYMENTS = (
    Deployment("thistlegate", 5, 0.0015),
    Deployment("opravna", 4, 0.001),
)


@dataclass(frozen=True, slots=True)
class Scenario:
    """Nodes at which the calls enter, demand, and faults."""

    name: str
    duration_s: float = STEADY_S
    placement: str = "spread"
    surge: float = 1.0
    crash: bool = False
    outage: bool = False


SCENARIOS = (
    Scenario("spread over all nodes"),
    Scenario("one node", placement="one"),
    Scenario("moves every second", placement="moving"),
    Scenario("one account at 5x", surge=5.0),
    Scenario("store outage", duration_s=FAULT_S, outage=True),
    Scenario("holder crash", duration_s=FAULT_S, crash=True),
    Scenario("crash in outage", duration_s=FAULT_S, crash=True, outage=True),
)


@dataclass(frozen=True, slots=True)
class Arrival:
    """Time, account and entry node of one call."""

    at: float
    account: AccountId
    node: int


@dataclass(frozen=True, slots=True)
class Score:
    """Figures of one mechanism; the module describes them."""

    admitted: int
    wrongful: float
    excess: float


def make_contracts() -> list[Contract]:
    """Return the contracts of three large and five small accounts."""
    sizes = [100.0] * 3 + [5.0] * 5
    return [
        Contract(account=AccountId(f"account-{n}"), rate_per_s=size, burst=2 * size)
        for n, size in enumerate(sizes)
    ]


def make_arrivals(
    scenario: Scenario, contracts: Sequence[Contract], nodes: int, rng: random.Random
) -> list[Arrival]:
    """Return Poisson arrivals at 0.9 of each rate; the first account may exceed it."""
    arrivals = []
    for contract in contracts:
        rate = contract.rate_per_s * LOAD
        if contract is contracts[0]:
            rate *= scenario.surge
        at = rng.expovariate(rate)
        while at < scenario.duration_s:
            fixed_nodes = {"one": 0, "moving": int(at) % nodes}
            node = fixed_nodes.get(scenario.placement, rng.randrange(nodes))
            arrivals.append(Arrival(at, contract.account, node))
            at += rng.expovariate(rate)
    return sorted(arrivals, key=lambda arrival: arrival.at)


class IdealBucket:
    """Token bucket without latency, the oracle and the reference for scores."""

    def __init__(self, contract: Contract) -> None:
        self._contract = contract
        self._at = 0.0
        self.level = contract.burst

    def refill(self, at: float) -> None:
        """Refill up to a time."""
        self.level += self._contract.rate_per_s * max(0.0, at - self._at)
        self.level = min(self.level, self._contract.burst)
        self._at = max(self._at, at)

    def spend(self, at: float) -> bool:
        """Spend a token if there is one and return whether there was."""
        self.refill(at)
        if self.level < 1:
            return False
        self.level -= 1
        return True


def score(
    contracts: Sequence[Contract],
    decisions: Sequence[tuple[float, AccountId, bool]],
    surging: AccountId | None,
) -> Score:
    """Score decisions, which are times, accounts and admissions in any order."""
    ideal_buckets = {c.account: IdealBucket(c) for c in contracts}
    bursts = {c.account: c.burst for c in contracts}
    admitted = wrongful = 0
    excess = 0.0
    for at, account, is_admitted in sorted(decisions):
        bucket = ideal_buckets[account]
        bucket.refill(at)
        if is_admitted:
            admitted += 1
            bucket.level -= 1
            excess = max(excess, -bucket.level / bursts[account])
        elif bucket.level >= 1 and account != surging:
            wrongful += 1
    counted = sum(account != surging for _, account, _ in decisions)
    return Score(admitted, wrongful / counted, excess)


def run_buckets(
    contracts: Sequence[Contract],
    arrivals: Sequence[Arrival],
    *,
    parts: int,
    part_of: Callable[[Arrival], int | None],
    surging: AccountId | None = None,
) -> Score:
    """Score buckets that each have an equal part of every contract."""
    buckets = {
        (c.account, part): IdealBucket(
            Contract(
                account=c.account,
                rate_per_s=c.rate_per_s / parts,
                burst=c.burst / parts,
            )
        )
        for c in contracts
        for part in range(parts)
    }
    decisions = []
    for arrival in arrivals:
        part = part_of(arrival)
        is_admitted = part is not None and buckets[(arrival.account, part)].spend(
            arrival.at
        )
        decisions.append((arrival.at, arrival.account, is_admitted))
    return score(contracts, decisions, surging)


def run_shares(
    deployment: Deployment,
    scenario: Scenario,
    contracts: Sequence[Contract],
    arrivals: Sequence[Arrival],
    seed: int,
) -> tuple[Score, float]:
    """Score the shares; also return the token requests per call."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    decisions: list[tuple[float, AccountId, bool]] = []

    async def send_calls() -> VirtualFleet:
        fleet = VirtualFleet(
            loop=loop,
            domains=DOMAINS,
            nodes_per_domain=deployment.nodes_per_domain,
            groups=8,
            times=LeaseTimes(),
            seed=seed,
            one_way_s=deployment.one_way_s,
        )
        for contract in contracts:
            fleet.put_contract(contract)
        await asyncio.sleep(START_S)
        fleet.messages = 0
        nodes = list(fleet.nodes.values())
        share = ShareId(fleet.layout.group_of(contracts[0].account), 0)
        crashed = next(n for n in nodes if share in n.holder.held)

        async def call(arrival: Arrival) -> None:
            node = nodes[arrival.node]
            if node.killed:
                node = nodes[(arrival.node + 1) % len(nodes)]
            refusal = await fleet.call(node, arrival.account)
            decisions.append((loop.time() - START_S, arrival.account, refusal is None))

        if scenario.crash:
            loop.call_at(START_S + FAULT_AT_S, crashed.kill)
        if scenario.outage:
            loop.call_at(START_S + FAULT_AT_S / 2, _set_down, fleet)
        for arrival in arrivals:
            await asyncio.sleep(max(0.0, START_S + arrival.at - loop.time()))
            fleet.start_soon(call, arrival)
        await asyncio.sleep(3.0)
        return fleet

    fleet = loop.run_until_complete(send_calls())
    requests_per_call = fleet.messages / len(arrivals)
    fleet.stop()
    loop.close()
    surging = contracts[0].account if scenario.surge > 1 else None
    return score(contracts, decisions, surging), requests_per_call


def _set_down(fleet: VirtualFleet) -> None:
    fleet.table.fault = StoreFault.DOWN


def make_central_choice(scenario: Scenario) -> Callable[[Arrival], int | None]:
    """Return a choice of the one central bucket, or of none while it has crashed."""

    def choose(arrival: Arrival) -> int | None:
        since_fault_s = arrival.at - FAULT_AT_S
        is_down = scenario.crash and since_fault_s >= 0
        is_recovered = since_fault_s >= CENTRAL_RECOVERY_S and not scenario.outage
        return None if is_down and not is_recovered else 0

    return choose


def run_scenario(
    deployment: Deployment, scenario: Scenario, seed: int
) -> tuple[dict[str, Score], float]:
    """Return the scores of all mechanisms on the same calls."""
    rng = random.Random(f"{seed}/{deployment.name}/{scenario.name}")
    contracts = make_contracts()
    nodes = deployment.nodes_per_domain * len(DOMAINS)
    arrivals = make_arrivals(scenario, contracts, nodes, rng)
    shares, requests_per_call = run_shares(
        deployment, scenario, contracts, arrivals, seed
    )
    surging = contracts[0].account if scenario.surge > 1 else None

    def run_parts(parts: int, part_of: Callable[[Arrival], int | None]) -> Score:
        return run_buckets(
            contracts, arrivals, parts=parts, part_of=part_of, surging=surging
        )

    return {
        "oracle": run_parts(1, lambda _: 0),
        "shares": shares,
        "split": run_parts(nodes, lambda arrival: arrival.node),
        "central": run_parts(1, make_central_choice(scenario)),
    }, requests_per_call


def format_scores(scores: Sequence[tuple[Score, Score]]) -> str:
    """Return the worst figures of a mechanism; ``admitted`` relative to the oracle."""
    admitted = min(s.admitted / oracle.admitted for s, oracle in scores)
    wrongful = max(s.wrongful for s, _ in scores)
    excess = max(s.excess for s, _ in scores)
    return f"{admitted:6.3f} {wrongful:7.2%} {excess:6.1%}"


def main(
    seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    repetitions: Annotated[int, typer.Option(help="Seeds to run.")] = 3,
) -> None:
    """Print the table of all deployments and scenarios."""
    logger.remove()
    header = f"{'admitted':>6} {'wrongful':>7} {'excess':>6}"
    print(f"{'':34} {'shares':^23} | {'static split':^23} | {'central':^23} | asks")
    print(f"{'':34} {header} | {header} | {header} | /call")
    for deployment in DEPLOYMENTS:
        for scenario in SCENARIOS:
            runs = [
                run_scenario(deployment, scenario, seed + n) for n in range(repetitions)
            ]
            cells = [
                format_scores([(scores[kind], scores["oracle"]) for scores, _ in runs])
                for kind in ("shares", "split", "central")
            ]
            requests_per_call = max(requests_per_call for _, requests_per_call in runs)
            label = f"{deployment.name}, {scenario.name}"
            print(
                f"{label:34} {' | '.join(cells)} | {requests_per_call:5.2f}", flush=True
            )


if __name__ == "__main__":
    typer.run(main)
