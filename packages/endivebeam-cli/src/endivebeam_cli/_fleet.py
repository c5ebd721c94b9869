"""Commands for the running fleet."""

import time
from collections import Counter
from collections.abc import Iterator
from typing import Annotated

import msgspec
import typer
from rich.console import Group
from rich.live import Live

from endivebeam_model import Member, MemberState

from ._client import FleetClient, StatusReply
from ._exits import ExitCode, ToolError
from ._session import Session, exit_on_error, make_console, make_table, print_note

POLL_PERIOD_S = 0.2
DRAIN_TIMEOUT_S = 40.0

NODE_COLUMNS = ("node", "domain", "service", "slots", "state", "address")
DOMAIN_COLUMNS = ("domain", "nodes", "heard", "in_force", "lagging")


class AuditItem(msgspec.Struct, frozen=True, kw_only=True):
    """One change in the audit log."""

    version: int
    at: str
    operator: str
    op_id: str
    description: str


class AuditPage(msgspec.Struct, frozen=True, kw_only=True):
    """A page of the audit log, the latest change first."""

    items: list[AuditItem]
    next: str | None = None


def status(ctx: typer.Context) -> None:
    """Show nodes, targets, drains and the version in force per failure domain."""
    session: Session = ctx.obj
    with exit_on_error():
        reply = session.connect().get("/v1/status", StatusReply)
        if session.as_json:
            session.print_json(describe_status(reply))
        else:
            make_console().print(render_status(reply))


def watch(
    ctx: typer.Context,
    interval: Annotated[
        float, typer.Option(min=0.1, help="Seconds between updates.")
    ] = 1.0,
    count: Annotated[
        int, typer.Option(min=0, help="Number of updates; 0 for no limit.")
    ] = 0,
) -> None:
    """Show the status repeatedly; in JSON, one object per line."""
    session: Session = ctx.obj
    with exit_on_error():
        client = session.connect()
        if session.as_json:
            for _ in _repeat(count, interval):
                reply = client.get("/v1/status", StatusReply)
                typer.echo(msgspec.json.encode(describe_status(reply)))
            return
        with Live(console=make_console(), auto_refresh=False) as live:
            for _ in _repeat(count, interval):
                reply = client.get("/v1/status", StatusReply)
                live.update(render_status(reply), refresh=True)


def _repeat(count: int, interval: float) -> Iterator[int]:
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
    wait: Annotated[bool, typer.Option(help="Wait until the node has left.")] = True,
    timeout: Annotated[
        float, typer.Option(min=0.0, help="Seconds to wait with --wait.")
    ] = DRAIN_TIMEOUT_S,
) -> None:
    """Drain a node and stop it; its calls in flight finish first.

    The admin address of the node itself must be among the --url options.
    """
    session: Session = ctx.obj
    with exit_on_error():
        client = session.connect()
        url = _find_node(client, node)
        client.post_to(url, "/v1/drain", {"node_id": node})
        print_note(f"node {node} is draining")
        others = [other for other in client.urls if other != url]
        if not wait:
            return
        if not others:
            print_note(
                "no other node is named, so the end of the drain cannot be observed"
            )
            return
        _wait_until_left(session, others, node, timeout)
        print_note(f"node {node} has left")


def _find_node(client: FleetClient, node: str) -> str:
    answered = []
    for url in client.urls:
        try:
            reply = client.get_from(url, "/v1/status", StatusReply)
        except ToolError as error:
            if error.code is not ExitCode.UNREACHABLE:
                raise
            continue
        if reply.node_id == node:
            return url
        answered.append(reply.node_id)
    listed = ", ".join(answered) or "none"
    raise ToolError(
        ExitCode.UNREACHABLE,
        f"node {node} did not answer at the named addresses (answered: {listed}); "
        "add its admin address with --url",
    )


def _wait_until_left(
    session: Session, urls: list[str], node: str, timeout: float
) -> None:
    client = FleetClient(urls=urls, token=session.token)
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        members = client.get("/v1/status", StatusReply).members
        states = [m.state for m in members if m.node_id == node]
        if all(state in (MemberState.LEFT, MemberState.DEAD) for state in states):
            return
        time.sleep(POLL_PERIOD_S)
    raise ToolError(
        ExitCode.NOT_IN_FORCE,
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
    with exit_on_error():
        query = f"/v1/audit?limit={limit}"
        if before is not None:
            query += f"&before={before}"
        page = session.connect().get(query, AuditPage)
        rows = [(i.version, i.at, i.operator, i.description) for i in page.items]
        session.print_table(("version", "at", "operator", "change"), rows)


def describe_status(reply: StatusReply) -> dict[str, object]:
    """Return the status as it is printed in JSON."""
    return {
        "answered_by": reply.node_id,
        "config_version": reply.config_version,
        "emergency_withdrawals": reply.emergency_withdrawals,
        "nodes": [dict(zip(NODE_COLUMNS, _node_row(m), strict=True))
                  for m in sort_members(reply.members)],
        "domains": reply.versions,
        "services": count_targets(reply.members),
    }  # fmt: skip


def render_status(reply: StatusReply) -> Group:
    """Return the status as tables."""
    header = f"node {reply.node_id}, configuration version {reply.config_version}"
    if reply.draining:
        header += ", draining"
    if reply.emergency_withdrawals:
        header += f", {reply.emergency_withdrawals} keys withdrawn without the store"
    nodes = make_table(NODE_COLUMNS, map(_node_row, sort_members(reply.members)))
    domains = make_table(
        DOMAIN_COLUMNS,
        [(d.domain, d.nodes, d.heard, d.in_force, d.lagging) for d in reply.versions],
    )
    counts = count_targets(reply.members)
    services = make_table(("service", "serving_targets"), counts.items())
    return Group(header, "", nodes, "", domains, "", services)


def count_targets(members: list[Member]) -> dict[str, int]:
    """Return the number of serving targets of each service."""
    serving = Counter(str(m.service) for m in members if m.service)
    for member in members:
        if member.service and member.state is not MemberState.SERVING:
            serving[str(member.service)] -= 1
    return dict(sorted(serving.items()))


def sort_members(members: list[Member]) -> list[Member]:
    """Return members sorted by domain and id."""
    return sorted(members, key=lambda m: (m.domain, m.node_id))


def _node_row(member: Member) -> tuple[object, ...]:
    address = f"{member.address.host}:{member.address.port}"
    domain, service = member.domain, member.service
    state = member.state.value
    return (member.node_id, domain, service, member.slots, state, address)
