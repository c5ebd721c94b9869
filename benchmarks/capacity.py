"""Compute the tables of docs/CAPACITY.md from measured slopes.

python -m benchmarks.capacity           rewrites the tables of the page
python -m benchmarks.capacity --check   fails if the page differs
"""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from .capacity_slopes import RESULTS, Slopes

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
MEMBERSHIP = RESULTS.parent / "membership.json"

NODES = 27_000
DOMAINS = 14
CALLS_PER_S = 4_600_000
CHAIN_LENGTH = 23
CHANGES_PER_DAY = 13_000
RESTARTS_PER_DAY = 9_300
FAILURES_PER_DAY = 65
ACCOUNTS = 5_000
SHARE_GROUPS = 64
SHARES_PER_GROUP = DOMAINS
LEASE_RENEWAL_S = 20.0
RECORDS_PER_RESTART = 4
REFRESH_S = 6 * 3600
HEARTBEATS_PER_S = 2
# Only echoes on the rings inside a domain carry contact ages.
DOMAIN_RINGS = 4
DAY_S = 86_400
TOKEN_REQUESTS_PER_ENTRY_CALL = 1.05
GRANT_REPLY_US = 6.37
WRITE_BUDGET_PER_S = 300
READ_BUDGET_PER_S = 2_000

CORE_GOAL = 0.017
MEMORY_GOAL_MB = 128
SENT_BYTES_PER_S_GOAL = 6_000


class Line(msgspec.Struct, frozen=True):
    """One figure as a linear function of the number of nodes."""

    name: str
    unit: str
    base: float
    slope_per_node: float

    def at(self, nodes: int) -> float:
        """Return the figure at a number of nodes."""
        return self.base + self.slope_per_node * nodes


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """Cost of one control duty on a node that performs it."""

    duty: str
    sent_bytes_per_s: float
    core: float
    memory_mb: float
    mechanism: str


def read_lines() -> dict[str, Line]:
    """Return the measured lines of the membership benchmark by name."""
    lines = msgspec.json.decode(MEMBERSHIP.read_bytes(), type=list[Line])
    return {line.name: line for line in lines}


def member_rumors_per_s() -> float:
    """Return the changes of member records per second, including refreshes."""
    restarts = RESTARTS_PER_DAY * RECORDS_PER_RESTART / DAY_S
    failures = FAILURES_PER_DAY / DAY_S
    return restarts + failures + NODES / REFRESH_S


def entry_calls_per_s() -> float:
    """Return the external calls per second if every chain has the full length."""
    return CALLS_PER_S / CHAIN_LENGTH


def compute_rows(slopes: Slopes, lines: dict[str, Line]) -> list[Row]:
    """Return the cost of each control duty at the target size of the fleet."""
    links = lines["links of a node"].at(NODES)
    copies = lines["copies of a rumor"].at(NODES)
    rumor_core = lines["CPU of a rumor"].at(NODES) / 1e6
    member_rumors = member_rumors_per_s()
    changes = CHANGES_PER_DAY / DAY_S
    exchange_bytes = slopes.heartbeat_bytes + slopes.echo_base_bytes
    ages_bytes = slopes.echo_bytes_per_domain * DOMAINS
    overlay_bytes = HEARTBEATS_PER_S * (
        links * exchange_bytes + DOMAIN_RINGS * ages_bytes
    )
    apply_us = slopes.apply_us_base + slopes.apply_us_per_account * ACCOUNTS
    entry_calls = entry_calls_per_s()
    node_requests_per_s = entry_calls / NODES * TOKEN_REQUESTS_PER_ENTRY_CALL
    shares = SHARE_GROUPS * SHARES_PER_GROUP
    share_requests_per_s = entry_calls * TOKEN_REQUESTS_PER_ENTRY_CALL / shares
    return [
        Row(
            duty="heartbeats and echoes on the overlay",
            sent_bytes_per_s=overlay_bytes,
            core=2
            * links
            * HEARTBEATS_PER_S
            * lines["CPU of a heartbeat"].at(NODES)
            / 1e6,
            memory_mb=0.0,
            mechanism="rings; links do not grow with the fleet",
        ),
        Row(
            duty="member records",
            sent_bytes_per_s=member_rumors * copies * slopes.member_rumor_bytes,
            core=member_rumors * copies * rumor_core,
            memory_mb=lines["memory of the table"].at(NODES) / 1024,
            mechanism="rumors, each passed on once; digest comparison repairs",
        ),
        Row(
            duty="configuration and keys",
            sent_bytes_per_s=changes * copies * slopes.entry_rumor_bytes,
            core=changes * (copies * rumor_core + apply_us / 1e6),
            memory_mb=slopes.config_bytes_per_account * ACCOUNTS / 2**20,
            mechanism="rumors of committed entries; two head pollers per domain",
        ),
        Row(
            duty="rate tokens, asking",
            sent_bytes_per_s=node_requests_per_s * slopes.ask_bytes,
            core=node_requests_per_s * GRANT_REPLY_US / 1e6,
            memory_mb=0.515 * ACCOUNTS / 1024,
            mechanism="grants asked ahead, valid for 1 s",
        ),
        Row(
            duty="rate tokens, one held share (896 nodes)",
            sent_bytes_per_s=share_requests_per_s * slopes.grant_bytes,
            core=share_requests_per_s * GRANT_REPLY_US / 1e6,
            memory_mb=0.220 * ACCOUNTS / SHARE_GROUPS / 1024,
            mechanism="one bucket per account and share, under a lease",
        ),
    ]


def format_rows(rows: list[Row]) -> str:
    """Return the table of duties with sums for a node without and with a share."""
    head = "| duty | sent B/s | core | memory MB | carried by |\n"
    rule = "|---|---|---|---|---|\n"
    body = "".join(
        f"| {r.duty} | {r.sent_bytes_per_s:,.0f} | {r.core:.3%} | "
        f"{r.memory_mb:.1f} | {r.mechanism} |\n"
        for r in rows
    )
    total = format_sum("sum without a share", rows[:-1])
    total += format_sum("sum with a share", rows)
    goal = (
        f"| goal | {SENT_BYTES_PER_S_GOAL:,} | {CORE_GOAL:.1%} | {MEMORY_GOAL_MB} | |\n"
    )
    return head + rule + body + total + goal


def format_sum(name: str, rows: list[Row]) -> str:
    """Return the row with the sum of some duties."""
    sent = sum(row.sent_bytes_per_s for row in rows)
    core = sum(row.core for row in rows)
    memory = sum(row.memory_mb for row in rows)
    return f"| {name} | {sent:,.0f} | {core:.3%} | {memory:.1f} | |\n"


def format_daemon(slopes: Slopes, rows: list[Row]) -> str:
    """Return the table of the CPU time and memory of the whole daemon process."""
    state_mb = sum(row.memory_mb for row in rows)
    return (
        "| figure | value |\n|---|---|\n"
        f"| idle daemon in a fleet of 7, least and most | "
        f"{slopes.daemon_idle_core_least:.2%} and {slopes.daemon_idle_core_most:.2%}"
        " of a core |\n"
        f"| resident memory of that daemon | {slopes.daemon_memory_mb:.0f} MB |\n"
        f"| the same with the state of the target size | "
        f"{slopes.daemon_memory_mb + state_mb:.0f} MB of {MEMORY_GOAL_MB} MB |\n"
        f"| authenticating a key | {slopes.authenticate_us:.1f} us |\n"
    )


def format_platform() -> str:
    """Return the table of writes and reads at the platform per second."""
    shares = SHARE_GROUPS * SHARES_PER_GROUP
    uses = [
        ("share leases", shares / LEASE_RENEWAL_S, shares / LEASE_RENEWAL_S),
        ("configuration", 3 * CHANGES_PER_DAY / DAY_S, 2 * CHANGES_PER_DAY / DAY_S),
        ("head polls", 0.0, 2.0 * DOMAINS),
        ("seeds", 4 * DOMAINS / 60, DOMAINS * 4 / 60),
        ("joins", 0.0, RESTARTS_PER_DAY / DAY_S),
        ("restart of one domain within 60 s", 0.0, NODES / DOMAINS / 60),
        ("burn counters", DOMAINS / 60, DOMAINS / 60),
    ]
    head = "| use | writes/s | reads/s |\n|---|---|---|\n"
    body = "".join(f"| {name} | {w:.2f} | {r:.2f} |\n" for name, w, r in uses)
    writes = sum(w for _, w, _ in uses)
    reads = sum(r for _, _, r in uses)
    remaining_writes = WRITE_BUDGET_PER_S / 2 - writes
    return (
        head
        + body
        + f"| sum | {writes:.1f} | {reads:.1f} |\n"
        + f"| half of the platform's capacity | {WRITE_BUDGET_PER_S / 2:.0f} | "
        f"{READ_BUDGET_PER_S / 2:.0f} |\n"
        + f"\nThis leaves {remaining_writes:.0f} writes/s for call records: "
        f"{remaining_writes / 2:.0f} at-most-once calls/s with two writes per call, or "
        f"{remaining_writes * 100:,.0f} with one write per batch of 100.\n"
    )


def render(page: str) -> str:
    """Return the page with recomputed tables."""
    slopes = msgspec.json.decode(RESULTS.read_bytes(), type=Slopes)
    rows = compute_rows(slopes, read_lines())
    tables: dict[str, Callable[[], str]] = {
        "duties": lambda: format_rows(rows),
        "daemon": lambda: format_daemon(slopes, rows),
        "platform": format_platform,
    }
    for name, render_table in tables.items():
        start = page.index(f"<!-- {name} -->\n") + len(f"<!-- {name} -->\n")
        end = page.index("<!-- end -->", start)
        page = page[:start] + render_table() + page[end:]
    return page


def main(check: Annotated[bool, typer.Option()] = False) -> None:
    """Rewrite or check the tables of the page."""
    page = PAGE.read_text()
    computed = render(page)
    if not check:
        PAGE.write_text(computed)
    elif page != computed:
        print(f"{PAGE.name} differs from the slopes; run python -m benchmarks.capacity")
        sys.exit(1)


if __name__ == "__main__":
    typer.run(main)
