"""Commands on the running fleet."""

import time
from collections import Counter
from collections.abc import Iterator
from typing import Annotated

import msgspec
import typer
from rich.console import Group
from rich.live import Live

from endivebeam_model import Member, MemberState

from ._client import FleetClient, Status
from ._exits import Exit, ToolError
from ._session import Session, errors_end_command, make_console, make_table, say

POLL_PERIOD_S = 0.2
DRAIN_TIMEOUT_S = 40.0

NODE_COLUMNS = ("node", "domain", "service", "slots", "state", "address")
DOMAIN_COLUMNS = ("domain", "nodes", "heard", "in_force", "lagging")


class AuditItem(msgspec.Struct, frozen=True, kw_only=True):
    """One change of the audit record."""

    version: int
    at: str
    operator: str
    op_id: str
    description: str


class AuditPage(msgspec.Struct, frozen=True, kw_only=True):
    """A page of the audit record, the latest change first."""

    items: list[AuditItem]
    next: str | None = None


def status(ctx: typer.Context) -> None:
    """Show nodes, targets, drains and the version in force per failure domain."""
    session: Session = ctx.obj
    with errors_end_command():
        known = session.connect().get("/v1/status", Status)
        if session.as_json:
            session.show(describe_status(known))
        else:
            make_console().print(render_status(known))


def watch(
    ctx: typer.Context,
    interval: Annotated[
        float, typer.Option(min=0.1, help="Seconds between updates.")
    ] = 1.0,
    count: Annotated[
        int, typer.Option(min=0, help="Updates before the end; 0 is endless.")
    ] = 0,
) -> None:
    """Show the status again and again, as JSON one object a line."""
    session: Session = ctx.obj
    with errors_end_command():
        client = session.connect()
        if session.as_json:
            for _ in _count(count, interval):
                known = client.get("/v1/status", Status)
                typer.echo(msgspec.json.encode(describe_status(known)))
            return
        with Live(console=make_console(), auto_refresh=False) as live:
            for _ in _count(count, interval):
                known = client.get("/v1/status", Status)
                live.update(render_status(known), refresh=True)


def _count(count: int, interval: float) -> Iterator[int]:
    done = 0
    while True:
        yield done
        done += 1
        if count and done >= count:
            return
        time.sleep(interval)


def drain(
    ctx: typer.Context,
    node: Annotated[str, typer.Argument(help="Id of the node.")],
    wait: Annotated[bool, typer.Option(help="Wait until the node is gone.")] = True,
    timeout: Annotated[
        float, typer.Option(min=0.0, help="Seconds to wait with --wait.")
    ] = DRAIN_TIMEOUT_S,
) -> None:
    """Drain a node and stop it; its calls in flight finish first.

    The admin address of the node itself must be among the --url options.
    """
    session: Session = ctx.obj
    with errors_end_command():
        client = session.connect()
        url = _find_node(client, node)
        client.post_to(url, "/v1/drain", {"node_id": node})
        say(f"node {node} drains")
        others = [other for other in client.urls if other != url]
        if not wait:
            return
        if not others:
            say("no other node is named, so that the end of the drain is not seen")
            return
        _wait_gone(session, others, node, timeout)
        say(f"node {node} has left")


def _find_node(client: FleetClient, node: str) -> str:
    answered = []
    for url in client.urls:
        try:
            known = client.get_from(url, "/v1/status", Status)
        except ToolError as error:
            if error.code is not Exit.UNREACHABLE:
                raise
            continue
        if known.node_id == node:
            return url
        answered.append(known.node_id)
    listed = ", ".join(answered) or "none"
    raise ToolError(
        Exit.UNREACHABLE,
        f"node {node} did not answer at the named addresses (answered: {listed}); "
        "add its admin address with --url",
    )


def _wait_gone(session: Session, urls: list[str], node: str, timeout: float) -> None:
    client = FleetClient(urls=urls, token=session.token)
    limit = time.monotonic() + timeout
    while time.monotonic() < limit:
        members = client.get("/v1/status", Status).members
        states = [m.state for m in members if m.node_id == node]
        if all(state in (MemberState.LEFT, MemberState.DEAD) for state in states):
            return
        time.sleep(POLL_PERIOD_S)
    raise ToolError(
        Exit.NOT_IN_FORCE,
        f"node {node} has not left within {timeout:g} s; calls may still be in "
        "flight, see endivebeam status",
    )


def audit(
    ctx: typer.Context,
    limit: Annotated[int, typer.Option(min=1, max=100, help="Changes to show.")] = 20,
    before: Annotated[
        int | None, typer.Option(min=1, help="Only changes before this version.")
    ] = None,
) -> None:
    """List who changed what and when, the latest change first."""
    session: Session = ctx.obj
    with errors_end_command():
        query = f"/v1/audit?limit={limit}"
        if before is not None:
            query += f"&before={before}"
        page = session.connect().get(query, AuditPage)
        rows = [(i.version, i.at, i.operator, i.description) for i in page.items]
        session.show_table(("version", "at", "operator", "change"), rows)


def describe_status(known: Status) -> dict[str, object]:
    """Return the status with named fields, for scripts."""
    return {
        "answered_by": known.node_id,
        "config_version": known.config_version,
        "emergency_withdrawals": known.emergency_withdrawals,
        "nodes": [dict(zip(NODE_COLUMNS, _node_row(m), strict=True))
                  for m in sort_members(known.members)],
        "domains": known.versions,
        "services": count_targets(known.members),
    }  # fmt: skip


def render_status(known: Status) -> Group:
    """Return the status as tables."""
    head = f"node {known.node_id}, configuration version {known.config_version}"
    if known.draining:
        head += ", draining"
    if known.emergency_withdrawals:
        head += f", {known.emergency_withdrawals} keys withdrawn without the store"
    nodes = make_table(NODE_COLUMNS, map(_node_row, sort_members(known.members)))
    domains = make_table(
        DOMAIN_COLUMNS,
        [(d.domain, d.nodes, d.heard, d.in_force, d.lagging) for d in known.versions],
    )
    counts = count_targets(known.members)
    services = make_table(("service", "serving_targets"), counts.items())
    return Group(head, "", nodes, "", domains, "", services)


def count_targets(members: list[Member]) -> dict[str, int]:
    """Return the serving targets of each service."""
    serving = Counter(str(m.service) for m in members if m.service)
    for member in members:
        if member.service and member.state is not MemberState.SERVING:
            serving[str(member.service)] -= 1
    return dict(sorted(serving.items()))


def sort_members(members: list[Member]) -> list[Member]:
    """Return members by domain and name."""
    return sorted(members, key=lambda m: (m.domain, m.node_id))


def _node_row(member: Member) -> tuple[object, ...]:
    address = f"{member.address.host}:{member.address.port}"
    domain, service = member.domain, member.service
    state = member.state.value
    return (member.node_id, domain, service, member.slots, state, address)
