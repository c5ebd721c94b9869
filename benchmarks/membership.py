"""Cost of membership per node against the size of the fleet.

``python -m benchmarks.membership --seed 1`` prints bytes, CPU time and memory
per node, and the rounds and copies of a rumor, for several sizes of a fleet, with
the slopes from which ``docs/CAPACITY.md`` is computed. It writes the same figures
to ``benchmarks/results/membership.json``.

The smallest fleet is one in which a node has all its links and receives contact ages
of all domains; in smaller fleets the cost still rises with the size. Since one process
cannot run the largest fleets, there are two kinds of runs. In the first a whole fleet
is simulated without changes; every frame is encoded, and the cost of the simulation
is included. In the second one agent has the member table of a large fleet and
processes heartbeats, rumors and ticks.
"""

import argparse
import gc
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec

from endivebeam_membership import Agent, ContactAges, MemberTable, Overlay, RumorBatch
from endivebeam_model import AgedMember, DomainName, Member, MemberState, NodeId
from endivebeam_standins import VirtualConfig, VirtualFleet, make_member
from endivebeam_wire import Heartbeat, HeartbeatEcho, Rumor, encode_frame

DOMAINS = 14
FLEETS = (224, 336, 448, 672)
TABLES = (100, 1000, 4000, 8000, 27000)
IDLE_S = 5.0
ROUNDS = 2000
REPETITIONS = 3
RESULTS = Path("benchmarks/results/membership.json")


class Point(msgspec.Struct, frozen=True, kw_only=True):
    """Median and worst repetition of a figure at one size of the fleet."""

    nodes: int
    median: float
    worst: float


class Series(msgspec.Struct, frozen=True, kw_only=True):
    """A figure at several sizes of the fleet, with its least-squares line."""

    name: str
    unit: str
    points: list[Point]
    base: float
    slope_per_node: float


def make_members(count: int) -> list[Member]:
    """Return the member records of a fleet with nodes in all domains."""
    domains = min(DOMAINS, count)
    return [make_member(f"node-{i:06d}", f"domain-{i % domains}") for i in range(count)]


def fit(name: str, unit: str, values: dict[int, list[float]]) -> Series:
    """Return a series with its least-squares line through the medians."""
    points = [
        Point(nodes=n, median=statistics.median(v), worst=max(v))
        for n, v in values.items()
    ]
    line = statistics.linear_regression(
        [p.nodes for p in points], [p.median for p in points]
    )
    return Series(
        name=name,
        unit=unit,
        points=points,
        base=line.intercept,
        slope_per_node=line.slope,
    )


def measure_idle_fleet(count: int, seed: int) -> tuple[float, float]:
    """Return the bytes and CPU milliseconds per link and second of an idle fleet.

    The figures are per link to be comparable: a node of a small domain has fewer
    links, because its rings share successors.
    """
    fleet = VirtualFleet(seed=seed)
    members = make_members(count)
    for member in members:
        fleet.start(member.node_id, member.domain, known=members)
    fleet.run(2.0)
    before = sum(node.bytes_sent for node in fleet.nodes.values())
    started = time.process_time()
    fleet.run(IDLE_S)
    cpu_s = time.process_time() - started
    sent = sum(node.bytes_sent for node in fleet.nodes.values()) - before
    links = sum(len(node.agent.neighbors) for node in fleet.nodes.values())
    return sent / IDLE_S / links, cpu_s * 1000 / IDLE_S / links


def make_agent(members: Sequence[Member]) -> Agent:
    """Return an agent whose member table has the records."""
    table = MemberTable(local=members[0], now=0.0)
    table.merge([AgedMember(m, 0.0) for m in members[1:]], 0.0)
    agent = Agent(table=table, config=VirtualConfig(), now=0.0)
    agent.tick(0.1)
    return agent


def measure_us(step: Callable[[int], object]) -> float:
    """Return the mean CPU time of a step in microseconds."""
    started = time.process_time()
    for number in range(ROUNDS):
        step(number)
    return (time.process_time() - started) * 1e6 / ROUNDS


def measure_heartbeat(members: Sequence[Member]) -> float:
    """Return the CPU time of a heartbeat in microseconds.

    It is encoded, and its echo is encoded and handled.
    """
    agent = make_agent(members)
    peer = agent.table.get(agent.neighbors[0])
    assert peer is not None
    ages = ContactAges({m.domain: 0.2 for m in members[:DOMAINS]}, 0.5)
    ages_ms = dict.fromkeys(ages.domains, 200)

    def step(number: int) -> None:
        summary = agent.summary()
        encode_frame(
            Heartbeat(
                request_id=number,
                config_version=summary.version,
                member_digest=summary.digest,
            )
        )
        encode_frame(
            HeartbeatEcho(
                request_id=number,
                config_version=summary.version,
                member_digest=summary.digest,
                store_age_ms=500,
                domain_ages_ms=ages_ms,
            )
        )
        agent.handle_echo(peer, summary, ages, sent_at=0.1, now=0.2)

    return measure_us(step)


def measure_rumor(members: Sequence[Member]) -> float:
    """Return the CPU time of a member rumor in microseconds.

    The agent receives it, updates its links, and encodes it for each neighbor.
    """
    agent = make_agent(members)
    changing = members[-1]

    def step(number: int) -> None:
        state = MemberState.DRAINING if number % 2 else MemberState.SERVING
        record = msgspec.structs.replace(changing, sequence=number + 1, state=state)
        agent.receive(RumorBatch(members=(record,)), None, 0.1)
        agent.tick(0.1 + number * 0.1)
        for neighbor in agent.neighbors:
            batch = agent.rumors.dequeue(neighbor)
            encode_frame(Rumor(request_id=number, members=batch.members))

    return measure_us(step)


def measure_tick(members: Sequence[Member]) -> float:
    """Return the CPU time of a tick without changes, in microseconds."""
    agent = make_agent(members)
    return measure_us(lambda number: agent.tick(0.1 + number * 0.001))


def measure_memory(members: Sequence[Member]) -> float:
    """Return the memory in KB of a member table, including its decoded records."""
    encoded = msgspec.msgpack.encode([AgedMember(m, 0.0) for m in members])
    gc.collect()
    tracemalloc.start()
    table = MemberTable(local=members[0], now=0.0)
    table.merge(msgspec.msgpack.decode(encoded, type=list[AgedMember]), 0.0)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(table) == len(members)
    return used / 1024


def compute_links(members: Sequence[Member]) -> dict[NodeId, list[NodeId]]:
    """Return the overlay links of every node."""
    overlays: dict[DomainName, Overlay] = {}
    for domain in {m.domain for m in members}:
        overlay = overlays[domain] = Overlay(domain=domain)
        for member in members:
            overlay.add(member)
    return {m.node_id: overlays[m.domain].links(m.node_id) for m in members}


def flood(links: dict[NodeId, list[NodeId]], seed: int) -> tuple[float, float]:
    """Return the rounds and copies per node of a rumor that is flooded on the links."""
    origin = random.Random(seed).choice(sorted(links))
    reached: dict[NodeId, NodeId] = {origin: origin}
    frontier = [origin]
    rounds = copies = 0
    while frontier:
        next_frontier: list[NodeId] = []
        for node_id in frontier:
            for peer in links[node_id]:
                if peer == reached[node_id]:
                    continue
                copies += 1
                if peer not in reached:
                    reached[peer] = node_id
                    next_frontier.append(peer)
        frontier = next_frontier
        rounds += bool(next_frontier)
    assert len(reached) == len(links)
    return float(rounds), copies / len(links)


def measure_all(seeds: Sequence[int]) -> list[Series]:
    """Run all measurements and return their series."""
    idle = {n: [measure_idle_fleet(n, seed) for seed in seeds] for n in FLEETS}
    fleets = {n: make_members(n) for n in TABLES}
    links = {n: compute_links(m) for n, m in fleets.items()}
    flooded = {n: [flood(m, seed) for seed in seeds] for n, m in links.items()}
    link_counts = {n: [sum(map(len, m.values())) / n] for n, m in links.items()}

    def measure_sizes(
        measure: Callable[[Sequence[Member]], float],
    ) -> dict[int, list[float]]:
        return {n: [measure(m) for _ in seeds] for n, m in fleets.items()}

    return [
        fit("sent per link", "B/s", {n: [r[0] for r in v] for n, v in idle.items()}),
        fit("CPU per link", "ms/s", {n: [r[1] for r in v] for n, v in idle.items()}),
        fit("CPU of a heartbeat", "us", measure_sizes(measure_heartbeat)),
        fit("CPU of a rumor", "us", measure_sizes(measure_rumor)),
        fit("CPU of a tick", "us", measure_sizes(measure_tick)),
        fit("memory of the table", "KB", measure_sizes(measure_memory)),
        fit(
            "rounds of a rumor", "", {n: [f[0] for f in v] for n, v in flooded.items()}
        ),
        fit(
            "copies of a rumor", "", {n: [f[1] for f in v] for n, v in flooded.items()}
        ),
        fit("links of a node", "", link_counts),
    ]


def main() -> None:
    """Print the series and write them as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--repetitions", type=int, default=REPETITIONS)
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.repetitions)
    series = measure_all(seeds)
    print("figure               unit  nodes: median (worst) per size")
    for figure in series:
        cells = "  ".join(
            f"{p.nodes}: {p.median:.4g} ({p.worst:.4g})" for p in figure.points
        )
        print(f"{figure.name:<20} {figure.unit:<5} {cells}")
    print()
    print("figure               unit  base + slope x nodes; largest / smallest size")
    for figure in series:
        line = f"{figure.base:.4g} + {figure.slope_per_node:.4g} x nodes"
        ratio = figure.points[-1].median / figure.points[0].median
        print(f"{figure.name:<20} {figure.unit:<5} {line}; {ratio:.2f}")
    RESULTS.parent.mkdir(parents=True, exist_ok=True)
    RESULTS.write_bytes(msgspec.json.format(msgspec.json.encode(series), indent=1))


if __name__ == "__main__":
    main()
