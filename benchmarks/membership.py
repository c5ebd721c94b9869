"""Cost of membership per node against the size of the fleet.

``python -m benchmarks.membership --seed 1`` prints bytes, CPU time and memory
per node, and the rounds and copies of a rumor, for growing fleets, with the
slopes that ``docs/CAPACITY.md`` is computed from. The same figures are written
to ``benchmarks/results/membership.json``.

The sizes start where a node has all its links and hears of all domains; below
that the cost rises to this level. Two runs cover what one process can hold. In
the first a whole virtual fleet runs at rest, with every frame encoded and the
cost of the simulation included. In the second one agent has the table of a
large fleet and takes heartbeats, rumors and ticks.
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
REST_S = 5.0
ROUNDS = 2000
REPETITIONS = 3
RESULTS = Path("benchmarks/results/membership.json")


class Point(msgspec.Struct, frozen=True, kw_only=True):
    """One figure at one size: the median and the worst repetition."""

    nodes: int
    median: float
    worst: float


class Series(msgspec.Struct, frozen=True, kw_only=True):
    """A figure over sizes, with the line through it by least squares."""

    name: str
    unit: str
    points: list[Point]
    base: float
    slope_per_node: float


def make_fleet(count: int) -> list[Member]:
    """Return the records of a fleet that is spread over the domains."""
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


def run_fleet(count: int, seed: int) -> tuple[float, float]:
    """Return bytes and CPU ms per link and second at rest.

    A node of a small domain has fewer links, because its rings have the same
    successors. Per link the figures are comparable.
    """
    fleet = VirtualFleet(seed=seed)
    members = make_fleet(count)
    for member in members:
        fleet.start(member.node_id, member.domain, known=members)
    fleet.run(2.0)
    before = sum(node.bytes_sent for node in fleet.nodes.values())
    started = time.process_time()
    fleet.run(REST_S)
    cpu_s = time.process_time() - started
    sent = sum(node.bytes_sent for node in fleet.nodes.values()) - before
    links = sum(len(node.agent.neighbors) for node in fleet.nodes.values())
    return sent / REST_S / links, cpu_s * 1000 / REST_S / links


def make_agent(members: Sequence[Member]) -> Agent:
    """Return an agent whose table has the records."""
    table = MemberTable(local=members[0], now=0.0)
    table.merge([AgedMember(m, 0.0) for m in members[1:]], 0.0)
    agent = Agent(table=table, config=VirtualConfig(), now=0.0)
    agent.tick(0.1)
    return agent


def measure_us(step: Callable[[int], object]) -> float:
    """Return the CPU time of a step in microseconds."""
    started = time.process_time()
    for number in range(ROUNDS):
        step(number)
    return (time.process_time() - started) * 1e6 / ROUNDS


def measure_echo(members: Sequence[Member]) -> float:
    """Cost of one heartbeat: encode it, its echo, and compare."""
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
    """Cost of one member rumor: take it, relink, and encode it for the neighbors."""
    agent = make_agent(members)
    changing = members[-1]

    def step(number: int) -> None:
        state = MemberState.DRAINING if number % 2 else MemberState.SERVING
        record = msgspec.structs.replace(changing, sequence=number + 1, state=state)
        agent.receive(RumorBatch(members=(record,)), None, 0.1)
        agent.tick(0.1 + number * 0.1)
        for neighbor in agent.neighbors:
            batch = agent.rumors.take(neighbor)
            encode_frame(Rumor(request_id=number, members=batch.members))

    return measure_us(step)


def measure_tick(members: Sequence[Member]) -> float:
    """Cost of one tick in which nothing changed."""
    agent = make_agent(members)
    return measure_us(lambda number: agent.tick(0.1 + number * 0.001))


def measure_memory(members: Sequence[Member]) -> float:
    """Return the memory of one node's table in KB, with the records decoded."""
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


def find_links(members: Sequence[Member]) -> dict[NodeId, list[NodeId]]:
    """Return the overlay links of every node."""
    overlays: dict[DomainName, Overlay] = {}
    for domain in {m.domain for m in members}:
        overlay = overlays[domain] = Overlay(domain=domain)
        for member in members:
            overlay.add(member)
    return {m.node_id: overlays[m.domain].links(m.node_id) for m in members}


def spread(links: dict[NodeId, list[NodeId]], seed: int) -> tuple[float, float]:
    """Flood one rumor over the links; return rounds and copies per node."""
    origin = random.Random(seed).choice(sorted(links))
    reached: dict[NodeId, NodeId] = {origin: origin}
    frontier = [origin]
    rounds = copies = 0
    while frontier:
        found: list[NodeId] = []
        for node_id in frontier:
            for peer in links[node_id]:
                if peer == reached[node_id]:
                    continue
                copies += 1
                if peer not in reached:
                    reached[peer] = node_id
                    found.append(peer)
        frontier = found
        rounds += bool(found)
    assert len(reached) == len(links)
    return float(rounds), copies / len(links)


def measure_all(seeds: Sequence[int]) -> list[Series]:
    """Run everything and return the series."""
    rest = {n: [run_fleet(n, seed) for seed in seeds] for n in FLEETS}
    fleets = {n: make_fleet(n) for n in TABLES}
    links = {n: find_links(m) for n, m in fleets.items()}
    flooded = {n: [spread(m, seed) for seed in seeds] for n, m in links.items()}
    counts = {n: [sum(map(len, m.values())) / n] for n, m in links.items()}

    def over(measure: Callable[[Sequence[Member]], float]) -> dict[int, list[float]]:
        return {n: [measure(m) for _ in seeds] for n, m in fleets.items()}

    return [
        fit("sent per link", "B/s", {n: [r[0] for r in v] for n, v in rest.items()}),
        fit("CPU per link", "ms/s", {n: [r[1] for r in v] for n, v in rest.items()}),
        fit("CPU of a heartbeat", "us", over(measure_echo)),
        fit("CPU of a rumor", "us", over(measure_rumor)),
        fit("CPU of a tick", "us", over(measure_tick)),
        fit("memory of the table", "KB", over(measure_memory)),
        fit(
            "rounds of a rumor", "", {n: [f[0] for f in v] for n, v in flooded.items()}
        ),
        fit(
            "copies of a rumor", "", {n: [f[1] for f in v] for n, v in flooded.items()}
        ),
        fit("links of a node", "", counts),
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
    for one in series:
        cells = "  ".join(
            f"{p.nodes}: {p.median:.4g} ({p.worst:.4g})" for p in one.points
        )
        print(f"{one.name:<20} {one.unit:<5} {cells}")
    print()
    print("figure               unit  base + slope x nodes; largest / smallest size")
    for one in series:
        line = f"{one.base:.4g} + {one.slope_per_node:.4g} x nodes"
        ratio = one.points[-1].median / one.points[0].median
        print(f"{one.name:<20} {one.unit:<5} {line}; {ratio:.2f}")
    RESULTS.parent.mkdir(parents=True, exist_ok=True)
    RESULTS.write_bytes(msgspec.json.format(msgspec.json.encode(series), indent=1))


if __name__ == "__main__":
    main()
