"""Looks for what commonly goes wrong and says what to do."""

import msgspec
import typer

from endivebeam_model import MemberState

from ._client import FleetClient, Status
from ._exits import Exit, ToolError
from ._session import Session, errors_end_command


class Check(msgspec.Struct, frozen=True, kw_only=True):
    """One thing that was looked at."""

    check: str
    ok: bool
    advice: str = ""


class StoreProbe(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a node reaches the platform's table."""

    reachable: bool
    message: str = ""


def doctor(ctx: typer.Context) -> None:
    """Check the named nodes, the fleet and the store; exit 1 on any problem."""
    session: Session = ctx.obj
    with errors_end_command():
        checks = examine(session.connect())
        session.show_table(
            ("ok", "check", "advice"), [(c.ok, c.check, c.advice) for c in checks]
        )
        if not all(check.ok for check in checks):
            raise typer.Exit(Exit.FINDINGS)


def examine(client: FleetClient) -> list[Check]:
    """Return the checks of every named node and of the fleet."""
    checks: list[Check] = []
    found: dict[str, Status] = {}
    for url in client.urls:
        try:
            found[url] = client.get_from(url, "/v1/status", Status)
        except ToolError as error:
            advice = " ".join(error.message.split())
            checks.append(Check(check=f"{url} answers", ok=False, advice=advice))
            continue
        checks.append(Check(check=f"{url} answers", ok=True))
        checks.append(_check_ready(client, url))
        checks.append(_check_store(client, url))
    if found:
        checks += _check_fleet(list(found.values()))
    return checks


def _check_ready(client: FleetClient, url: str) -> Check:
    ready = client.read_ready(url)
    advice = "; ".join(ready)
    return Check(check=f"{url} takes calls", ok=not ready, advice=advice)


def _check_store(client: FleetClient, url: str) -> Check:
    name = f"{url} reaches the store"
    probe = client.get_from(url, "/v1/store", StoreProbe)
    advice = ""
    if not probe.reachable:
        advice = (
            "contracts cannot change and at-most-once calls are refused; check the "
            "platform and platform_url in the settings"
        )
    return Check(check=name, ok=probe.reachable, advice=advice)


def _check_fleet(found: list[Status]) -> list[Check]:
    latest = max(found, key=lambda status: status.config_version)
    checks = []
    for status in found:
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
            advice = "no node was heard; check the network and the nodes there"
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
    pending = max(status.emergency_withdrawals for status in found)
    advice = "withdraw these keys again when the store is up" if pending else ""
    name = "no withdrawal waits for the store"
    checks.append(Check(check=name, ok=pending == 0, advice=advice))
    return checks
