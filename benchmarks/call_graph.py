"""Served requests of a call graph whose deepest service lacks capacity, by kind.

Four kinds of requests meet at the deepest of four services: browsing, which makes eight
calls to it through two levels of services with plenty of slots; orders, which make
four; bookings, which it runs itself; and payments, which need only the service above.
For part of the run one of its three targets is down while more requests arrive.

    python -m benchmarks.call_graph --seed 1 --repetitions 3

The simulation is in virtual time, with the real admission queues and pressure. Prints
for each kind the part of its requests that succeed within their objective, and the part
that fails after a target began to work on it. The reference admits no more than the
deepest service can finish, the most valuable requests first.
"""

import random
from typing import Annotated

import typer

from .graph_model import Graph, Layout, Service, Work, worth_fraction

OUTAGE_START_S, OUTAGE_END_S, END_S = 6.0, 16.0, 18.0
OUTAGE_LOAD = 1.3
LOADS = (0.7, 1.0, 1.3)

READ = Work(name="read", service="deep", work_s=0.022, objective_s=0.3, budget_s=0.7)
ACCOUNT_READ = Work(
    name="account read",
    service="account",
    work_s=0.015,
    objective_s=0.8,
    budget_s=2.0,
    nested=READ,
    sequential=4,
)
ORDER_READ = Work(
    name="order read",
    service="order",
    work_s=0.015,
    objective_s=1.0,
    budget_s=2.5,
    nested=ACCOUNT_READ,
)
REQUESTS = (
    Work(
        name="browse",
        service="front",
        work_s=0.09,
        objective_s=1.2,
        budget_s=5.0,
        nested=ORDER_READ,
        parallel=2,
        rate_per_s=504.0,
        worth=1.0,
        rank=2,
        shed_order=1.0,
    ),
    Work(
        name="order",
        service="order",
        work_s=0.12,
        objective_s=1.5,
        budget_s=5.0,
        nested=ACCOUNT_READ,
        rate_per_s=202.0,
        worth=3.0,
    ),
    Work(
        name="payment",
        service="account",
        work_s=0.063,
        objective_s=0.2,
        budget_s=0.8,
        rate_per_s=134.0,
        worth=3.0,
    ),
    Work(
        name="booking",
        service="deep",
        work_s=0.072,
        objective_s=0.25,
        budget_s=1.0,
        rate_per_s=61.0,
        worth=1.0,
        rank=2,
        shed_order=1.0,
    ),
)
LAYOUT = Layout(
    services={
        "front": Service(slots=226, speeds=(0.6, 1.0, 1.4, 0.6, 1.0)),
        "order": Service(slots=282, speeds=(0.6, 1.0, 1.4, 0.6)),
        "account": Service(slots=376, speeds=(0.6, 1.0, 1.4)),
        "deep": Service(slots=50, speeds=(0.6, 1.0, 1.4)),
    },
    requests=REQUESTS,
)


def run_graph(*, load: float, uses_pressure: bool, seed: int, down: int = 1) -> Graph:
    """Simulate the outage, which adds ``OUTAGE_LOAD``, at a load relative to the rates.

    ``down`` is the number of targets of the deepest service that are down.
    """
    graph = Graph(
        rng=random.Random(seed),
        uses_pressure=uses_pressure,
        layout=LAYOUT,
        count_from_s=OUTAGE_START_S,
        count_until_s=OUTAGE_END_S,
    )

    def load_at(now: float) -> float:
        return load * (OUTAGE_LOAD if OUTAGE_START_S <= now < OUTAGE_END_S else 1.0)

    def set_down(is_down: bool) -> None:
        for target in graph.targets["deep"][:down]:
            target.down = is_down

    for work in REQUESTS:
        graph.schedule_arrivals(work, load_at)
    graph.scheduler.call_later(OUTAGE_START_S, lambda: set_down(True))
    graph.scheduler.call_later(OUTAGE_END_S, lambda: set_down(False))
    graph.scheduler.run(END_S)
    return graph


def main(
    seed: Annotated[int, typer.Option(help="seed of the first repetition")] = 1,
    repetitions: Annotated[int, typer.Option(help="runs of each row")] = 2,
) -> None:
    """Print the mean part of each kind that is good and that is wasted."""
    names = [work.name for work in REQUESTS]
    print(
        f"{'load':>5} {'version':>9} {'worth':>6} " + "".join(f"{n:>15}" for n in names)
    )
    for load in LOADS:
        for version, uses_pressure in (("naive", False), ("pressure", True)):
            graphs = [
                run_graph(load=load, uses_pressure=uses_pressure, seed=seed + n)
                for n in range(repetitions)
            ]
            worth = sum(map(worth_fraction, graphs)) / repetitions
            cells = []
            for name in names:
                outcomes = [graph.outcomes[name] for graph in graphs]
                sent = sum(o.sent for o in outcomes)
                good = sum(o.good for o in outcomes) / sent
                wasted = sum(o.wasted for o in outcomes) / sent
                cells.append(f"{good:8.3f} {wasted:6.3f}")
            print(f"{load:5} {version:>9} {worth:6.3f} " + "".join(cells))


if __name__ == "__main__":
    typer.run(main)
