"""Checks nodes, fleet and store for common problems and gives advice."""

import msgspec
import typer

from endivebeam_model import MemberState

from ._client import FleetClient, StatusReply
from ._exits import ExitCode, ToolError
from ._session import Session, exit_on_error


class Check(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one check, with advice when it failed."""

    check: str
    ok: bool
    advice: str = ""


class StoreReply(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a node reaches the store, a table of the platform."""

    reachable: bool
    message: str = ""


def doctor(ctx: typer.Context) -> None:
    """Check the named nodes, the fleet and the store; exit 1 on any problem."""
    session: Session = ctx.obj
    with exit_on_error():
        checks = run_checks(session.connect())
        session.print_table(
            ("ok", "check", "advice"), [(c.ok, c.check, c.advice) for c in checks]
        )
        if not all(check.ok for check in checks):
            raise typer.Exit(ExitCode.FINDINGS)


def run_checks(client: FleetClient) -> list[Check]:
    """Check every named node, and the fleet as these nodes see it."""
    checks: list[Check] = []
    statuses: dict[str, StatusReply] = {}
    for url in client.urls:
        try:
            statuses[url] = client.get_from(url, "/v1/status", StatusReply)
        except ToolError as error:
            advice = " ".join(error.message.split())
            checks.append(Check(check=f"{url} answers", ok=False, advice=advice))
            continue
        checks.append(Check(check=f"{url} answers", ok=True))
        checks.append(_check_ready(client, url))
        checks.append(_check_store(client, url))
    if statuses:
        checks += _check_fleet(list(statuses.values()))
    return checks


def _check_ready(client: FleetClient, url: str) -> Check:
    reasons = client.read_ready(url)
    advice = "; ".join(reasons)
    return Check(check=f"{url} takes calls", ok=not reasons, advice=advice)


def _check_store(client: FleetClient, url: str) -> Check:
    name = f"{url} reaches the store"
    probe = client.get_from(url, "/v1/store", StoreReply)
    advice = ""
    if not probe.reachable:
        advice = (
            "contracts cannot change and at-most-once calls are refused; check the "
            "platform and platform_url in the settings"
        )
    return Check(check=name, ok=probe.reachable, advice=advice)


def _check_fleet(statuses: list[StatusReply]) -> list[Check]:
    latest = max(statuses, key=lambda status: status.config_version)
    checks = []
    for status in statuses:
        behind = latest.config_version - status.config_version
        advice = f"{behind} versions behind; wait, then restart it if it stays behind"
        checks.append(
            Check(
                check=f"node {status.node_id} has version {latest.config_version}",
                ok=behind == 0,
                advice=advice if behind else "",
            )
        )
    for domain in latest.versions:
        advice = ""
        if domain.heard == 0:
            advice = "no recent contact with its nodes; check them and the network"
        elif not domain.complete:
            advice = f"behind: {', '.join(domain.lagging)}; wait or restart them"
        name = f"domain {domain.domain} has the version of its neighbors"
        checks.append(Check(check=name, ok=domain.complete, advice=advice))
    services = {m.service for m in latest.members if m.service}
    serving = {m.service for m in latest.members if m.state is MemberState.SERVING}
    for service in sorted(services):
        ok = service in serving
        advice = "" if ok else "no target serves it; start one"
        checks.append(
            Check(check=f"service {service} has targets", ok=ok, advice=advice)
        )
    pending = max(status.emergency_withdrawals for status in statuses)
    advice = "withdraw these keys again when the store is up" if pending else ""
    name = "no withdrawal waits for the store"
    checks.append(Check(check=name, ok=pending == 0, advice=advice))
    return checks
