"""Recovery of a call graph that restarts with one target of its deepest service left.

All nodes have just started, so that none knows which requests make calls, and callers
return at once. Lookups and orders make ten calls each to the deepest service, which
also runs bookings itself; searches make none. The last target of that service can bear
about a third of the load. Callers repeat a request that was rejected or failed once.

    python -m benchmarks.lone_target --seed 1 --repetitions 3

The simulation is in virtual time, with the real admission queues and pressure. Prints
for each kind the part of the requests that succeed within their objective and the part
of the attempts that fails after a target began to work on them, from ``RECOVERY_S``
after the restart on. The reference for the worth of all requests is what the deepest
target could finish, the most valuable requests first.
"""

import random
from typing import Annotated

import typer

from .graph_model import Graph, Layout, Service, Work, worth_fraction

RECOVERY_S, END_S = 15.0, 27.0
SPEEDS = (0.6, 1.0, 1.5)
LOADS = (0.8, 1.0, 1.2)

READ = Work(name="read", service="deep", work_s=0.022, objective_s=0.3, budget_s=0.7)
ACCOUNT_READ = Work(
    name="account read",
    service="account",
    work_s=0.015,
    objective_s=1.2,
    budget_s=2.5,
    nested=READ,
    sequential=5,
)
ORDER_READ = Work(
    name="order read",
    service="order",
    work_s=0.015,
    objective_s=1.2,
    budget_s=3.0,
    nested=ACCOUNT_READ,
)
REQUESTS = (
    Work(
        name="lookup",
        service="front",
        work_s=0.09,
        objective_s=1.5,
        budget_s=6.0,
        nested=ORDER_READ,
        parallel=2,
        rate_per_s=126.0,
        worth=1.0,
        rank=2,
        shed_order=1.0,
    ),
    Work(
        name="order",
        service="order",
        work_s=0.12,
        objective_s=1.5,
        budget_s=6.0,
        nested=ACCOUNT_READ,
        parallel=2,
        rate_per_s=51.0,
        worth=3.0,
        idempotent=False,
    ),
    Work(
        name="search",
        service="account",
        work_s=0.22,
        objective_s=0.6,
        budget_s=1.2,
        rate_per_s=60.0,
        worth=1.0,
        rank=2,
        shed_order=1.0,
    ),
    Work(
        name="booking",
        service="deep",
        work_s=0.36,
        objective_s=1.0,
        budget_s=2.0,
        rate_per_s=36.0,
        worth=1.0,
        rank=2,
        shed_order=1.0,
    ),
)


def run_restart(*, load: float, speed: float, seed: int, sheds: bool = True) -> Graph:
    """Simulate the time after the restart; ``speed`` is that of the deepest target.

    Without ``sheds``, only the queues limit what is admitted.
    """
    layout = Layout(
        services={
            "front": Service(slots=96, speeds=(0.6, 1.0, 1.4)),
            "order": Service(slots=96, speeds=(0.6, 1.0)),
            "account": Service(slots=96, speeds=(0.7, 1.6)),
            "deep": Service(slots=25, speeds=(speed,)),
        },
        requests=REQUESTS,
    )
    graph = Graph(
        rng=random.Random(seed),
        uses_pressure=sheds,
        layout=layout,
        count_from_s=RECOVERY_S,
        count_until_s=END_S - 2.0,
        retries=True,
    )
    for work in REQUESTS:
        graph.schedule_arrivals(work, lambda now: load)
    graph.scheduler.run(END_S)
    return graph


def served_part(graph: Graph, name: str) -> float:
    """Return the part of the requests of a kind that succeed in time."""
    outcome = graph.outcomes[name]
    return outcome.good / outcome.sent


def main(
    seed: Annotated[int, typer.Option(help="seed of the first repetition")] = 1,
    repetitions: Annotated[int, typer.Option(help="runs of each row")] = 3,
) -> None:
    """Print the least part of each kind that is good, and the part that is wasted."""
    names = [work.name for work in REQUESTS]
    print(
        f"{'load':>5} {'speed':>5} {'worth':>6} " + "".join(f"{n:>15}" for n in names)
    )
    for load in LOADS:
        for speed in SPEEDS:
            graphs = [
                run_restart(load=load, speed=speed, seed=seed + n)
                for n in range(repetitions)
            ]
            cells = []
            for name in names:
                outcomes = [graph.outcomes[name] for graph in graphs]
                good = min(served_part(graph, name) for graph in graphs)
                sent = sum(outcome.sent for outcome in outcomes)
                wasted = sum(outcome.wasted for outcome in outcomes) / sent
                cells.append(f"{good:8.3f} {wasted:6.3f}")
            worth = min(map(worth_fraction, graphs))
            print(f"{load:5} {speed:5} {worth:6.3f} " + "".join(cells))


if __name__ == "__main__":
    typer.run(main)
