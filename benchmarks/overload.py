"""Goodput, recovery and fairness under overload: ``--seed 1 --runs 3``.

Each scenario is simulated without control, with a fixed limit and a bounded
first-in-first-out queue, and with the admission of the node. Goodput is relative to
the capacity or the demand, whichever is smaller. Prints the mean and the worst run;
a label starts with the initial of its deployment.
"""

import argparse
import itertools
import statistics
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

import msgspec

from endivebeam_model import Criticality

from .overload_gates import AdaptiveGate, FifoGate
from .overload_model import (
    Control,
    Deployment,
    Load,
    Model,
    Request,
    Tier,
)

WARM_UP_S = 3.0
OVERLOAD_S = 6.0
SLOW_OVERLOAD_S = 20.0
AFTER_S = 5.0
# Requests that arrive within this time before a phase ends may be answered in the
# next one.
SETTLE_S = 1.0
BASE_DEMAND = 0.9
SLOW_FACTOR = 10.0
SURGE_FACTOR = 5.0
RECOVERED_FRACTION = 0.95
BUCKET_S = 0.1
WINDOW_BUCKETS = 10

THISTLEGATE = Deployment(
    name="thistlegate",
    tiers=(
        Tier(targets=3, slots=55, work_s=0.005),
        Tier(targets=4, slots=55, work_s=0.005),
        Tier(targets=3, slots=25, work_s=0.06),
    ),
)
OPRAVNA = Deployment(
    name="opravna",
    tiers=(
        Tier(targets=3, slots=80, work_s=0.005),
        Tier(targets=3, slots=80, work_s=0.005),
        Tier(targets=3, slots=20, work_s=0.06),
    ),
)
DEPLOYMENTS = (THISTLEGATE, OPRAVNA)

NO_CONTROL = Control(
    name="none",
    make_gate=lambda slots: FifoGate(slots, float("inf")),
    cancels=False,
    bounded_retries=False,
)
FIXED = Control(
    name="fixed",
    make_gate=lambda slots: FifoGate(slots, 4 * slots),
    cancels=False,
    bounded_retries=False,
)
ADAPTIVE = Control(
    name="endivebeam", make_gate=AdaptiveGate, cancels=True, bounded_retries=True
)
CONTROLS = (NO_CONTROL, FIXED, ADAPTIVE)


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """Results of one run; all are ratios except ``recovery_s``.

    ``goodput``, ``worst`` and ``critical`` are measured during the overload; ``worst``
    is the least ratio of an account's answered requests to its fair share. ``after`` is
    the fraction of later requests that were answered, ``wrongful`` the fraction of
    requests that failed although every service on their path had a free slot.
    """

    goodput: float
    worst: float
    critical: float
    after: float = 0.0
    recovery_s: float = 0.0
    wrongful: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """One cause of overload.

    ``factors`` give the demand of each account relative to its contract rate.
    ``slow_factor`` multiplies the service time of the last service during the
    overload. ``real_slots`` is the fraction of the announced slots that its targets
    can use.
    """

    name: str
    factors: Callable[[int], float]
    overload_s: float = OVERLOAD_S
    slow_factor: float = 1.0
    retries: bool = False
    real_slots: float = 1.0


SCENARIOS = (
    Scenario(name="1x", factors=lambda account: 1.0),
    Scenario(name="2x", factors=lambda account: 2.0),
    Scenario(name="10x", factors=lambda account: 10.0),
    Scenario(name="2x, clients retry", factors=lambda account: 2.0, retries=True),
    Scenario(
        name="deep service 10x slower",
        factors=lambda account: BASE_DEMAND,
        overload_s=SLOW_OVERLOAD_S,
        slow_factor=SLOW_FACTOR,
        retries=True,
    ),
    Scenario(
        name="one account at 5x",
        factors=lambda account: SURGE_FACTOR if account == 1 else BASE_DEMAND,
    ),
    Scenario(
        name="2x, half the slots real", factors=lambda account: 2.0, real_slots=0.5
    ),
)


def run_scenario(
    scenario: Scenario, deployment: Deployment, control: Control, seed: int
) -> Figures:
    """Simulate one run of a scenario."""
    capacity = deployment.capacity * scenario.real_slots
    contracts = [capacity * weight for weight in deployment.weights]
    normal_rates = [BASE_DEMAND * contract for contract in contracts]
    overload_rates = [scenario.factors(i) * c for i, c in enumerate(contracts)]
    end = WARM_UP_S + scenario.overload_s

    def is_overloaded(now: float) -> bool:
        return WARM_UP_S <= now < end

    load = Load(
        rates=lambda now: overload_rates if is_overloaded(now) else normal_rates,
        slowdown=lambda now: scenario.slow_factor if is_overloaded(now) else 1.0,
        retries=scenario.retries,
        real_slots=scenario.real_slots,
    )
    model = Model(deployment=deployment, control=control, load=load, seed=seed)
    requests = model.run(end + AFTER_S + SETTLE_S)
    during = measure_overload(requests, end, capacity / scenario.slow_factor, contracts)
    later_requests = [r for r in requests if end <= r.arrived_at < end + AFTER_S]
    return msgspec.structs.replace(
        during,
        after=answered_fraction(later_requests),
        recovery_s=find_recovery(requests, end, capacity),
        # Limits are low by design while the targets start cold, until WARM_UP_S.
        wrongful=sum(r.wrongly_rejected for r in requests if r.arrived_at >= WARM_UP_S)
        / len(requests),
    )


def measure_overload(
    requests: list[Request], end: float, capacity: float, contracts: list[float]
) -> Figures:
    """Return the figures of the time during which the overload lasts."""
    begin = WARM_UP_S + SETTLE_S
    seconds = end - begin
    overload_requests = [r for r in requests if begin <= r.arrived_at < end]
    critical = [r for r in overload_requests if r.criticality is Criticality.CRITICAL]
    served = [0] * len(contracts)
    for request in requests:
        if request.answered_at and begin <= request.answered_at < end:
            served[request.account] += 1
    offered = {c: [0.0] * len(contracts) for c in Criticality}
    for request in overload_requests:
        offered[request.criticality][request.account] += 1 / seconds
    shares = share_by_class(offered, contracts, capacity)
    demand = sum(sum(demands) for demands in offered.values())
    return Figures(
        goodput=sum(served) / (seconds * min(capacity, demand)),
        worst=min(
            count / (seconds * share)
            for count, share in zip(served, shares, strict=True)
        ),
        critical=answered_fraction(critical),
    )


def answered_fraction(requests: list[Request]) -> float:
    """Return the fraction of requests that were answered."""
    return sum(r.answered_at is not None for r in requests) / len(requests)


def find_recovery(requests: list[Request], end: float, capacity: float) -> float:
    """Return the time from the end of the overload to lasting recovery, in seconds.

    After recovery, in every window of 1 s, the answers reach 95% of the smaller of
    the arriving requests and the capacity, or 95% of the arriving requests are answered
    on their first attempt.
    """
    count = round(AFTER_S / BUCKET_S)
    arrived = [0] * count
    answers = [0] * count
    first_attempts = [0] * count
    for request in requests:
        answered_at = request.answered_at
        if end <= request.arrived_at < end + AFTER_S:
            bucket = int((request.arrived_at - end) / BUCKET_S)
            arrived[bucket] += 1
            first_attempts[bucket] += answered_at is not None and request.attempts == 1
        if answered_at is not None and end <= answered_at < end + AFTER_S:
            answers[int((answered_at - end) / BUCKET_S)] += 1
    for index in reversed(range(count - WINDOW_BUCKETS + 1)):
        window = slice(index, index + WINDOW_BUCKETS)
        offered = sum(arrived[window])
        needed = min(offered, capacity * WINDOW_BUCKETS * BUCKET_S)
        served = sum(answers[window]) >= RECOVERED_FRACTION * needed
        if not served and sum(first_attempts[window]) < RECOVERED_FRACTION * offered:
            return (index + WINDOW_BUCKETS) * BUCKET_S
    return 0.0


def share_by_class(
    offered: dict[Criticality, list[float]], weights: list[float], capacity: float
) -> list[float]:
    """Return the fair shares of the accounts in requests per second.

    Each criticality class shares the capacity that more critical classes leave.
    """
    totals = [0.0] * len(weights)
    for criticality in (
        Criticality.CRITICAL,
        Criticality.NORMAL,
        Criticality.SHEDDABLE,
    ):
        shares = fair_shares(offered[criticality], weights, capacity)
        totals = [t + s for t, s in zip(totals, shares, strict=True)]
        capacity = max(0.0, capacity - sum(shares))
    return totals


def fair_shares(
    demands: list[float], weights: list[float], capacity: float
) -> list[float]:
    """Return the weighted max-min fair shares of demands on a capacity."""
    shares = [0.0] * len(demands)
    unsatisfied = set(range(len(demands)))
    remaining = capacity
    while unsatisfied:
        per_weight = remaining / sum(weights[i] for i in unsatisfied)
        satisfied = {i for i in unsatisfied if demands[i] <= per_weight * weights[i]}
        for i in satisfied or unsatisfied:
            shares[i] = demands[i] if satisfied else per_weight * weights[i]
            remaining -= shares[i]
        unsatisfied = unsatisfied - satisfied if satisfied else set()
    return shares


def print_row(label: str, control: str, runs: list[Figures]) -> None:
    """Print the mean and the worst run of one scenario and control."""

    def format_cell(values: list[float], worst: float) -> str:
        return f"{statistics.mean(values):7.3f} ({worst:6.3f})"

    goodputs = [r.goodput for r in runs]
    afters = [r.after for r in runs]
    recoveries = [r.recovery_s for r in runs]
    worsts = [r.worst for r in runs]
    criticals = [r.critical for r in runs]
    wrongful = [r.wrongful for r in runs]
    cells = [
        format_cell(goodputs, min(goodputs)),
        format_cell(afters, min(afters)),
        format_cell(recoveries, max(recoveries)),
        format_cell(worsts, min(worsts)),
        format_cell(criticals, min(criticals)),
        format_cell(wrongful, max(wrongful)),
    ]
    print(f"{label:26}{control:10} " + " ".join(cells), flush=True)


def main() -> None:
    """Run all scenarios and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=1, help="processes to use")
    parser.add_argument("--only", default="", help="part of a control's name")
    parser.add_argument("--deployment", default="", help="part of its name")
    parser.add_argument("--scenario", default="", help="part of a scenario's name")
    options = parser.parse_args()
    names = ("goodput", "after", "recovery s", "worst account", "critical", "wrongful")
    cases = [
        (scenario, deployment, control)
        for deployment, scenario, control in itertools.product(
            range(len(DEPLOYMENTS)), range(len(SCENARIOS)), range(len(CONTROLS))
        )
        if options.deployment in DEPLOYMENTS[deployment].name
        and options.scenario in SCENARIOS[scenario].name
        and options.only in CONTROLS[control].name
    ]
    print(f"mean (worst of {options.runs})")
    print(f"{'':37}" + " ".join(f"{name:>16}" for name in names))
    with ProcessPoolExecutor(max_workers=options.jobs) as pool:
        pending = [
            [
                pool.submit(run_case, *case, options.seed + i)
                for i in range(options.runs)
            ]
            for case in cases
        ]
        for (scenario, deployment, control), futures in zip(
            cases, pending, strict=True
        ):
            label = f"{DEPLOYMENTS[deployment].name[0]} {SCENARIOS[scenario].name}"
            runs = [future.result() for future in futures]
            print_row(label, CONTROLS[control].name, runs)


def run_case(scenario: int, deployment: int, control: int, seed: int) -> Figures:
    """Run a case, given by indices, in a worker process."""
    return run_scenario(
        SCENARIOS[scenario], DEPLOYMENTS[deployment], CONTROLS[control], seed
    )


if __name__ == "__main__":
    main()
