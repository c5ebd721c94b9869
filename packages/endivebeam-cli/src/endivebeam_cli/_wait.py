"""Waits until a configuration version is in force in every failure domain."""

import time

from endivebeam_model import ConfigVersion

from ._client import DomainVersions, FleetClient, VersionsReply
from ._exits import ExitCode, ToolError
from ._session import print_note

POLL_PERIOD_S = 0.2


def wait_until_in_force(
    client: FleetClient, version: ConfigVersion, timeout_s: float
) -> VersionsReply:
    """Poll until a version is in force in every failure domain.

    The replying node reports only on nodes that it had recent contact with.
    Raises ``ToolError`` with ``NOT_IN_FORCE`` after ``timeout_s`` seconds.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        versions = client.get(f"/v1/versions?at_least={version}", VersionsReply)
        behind = [domain for domain in versions.domains if not domain.complete]
        if not behind and versions.domains:
            return versions
        if time.monotonic() >= deadline:
            break
        time.sleep(POLL_PERIOD_S)
    listed = "".join(f"\n  {_describe(domain)}" for domain in behind)
    raise ToolError(
        ExitCode.NOT_IN_FORCE,
        f"version {version} is committed, but not confirmed in force within "
        f"{timeout_s:g} s:{listed}\nrun endivebeam status to see these nodes, and "
        "endivebeam doctor for the cause",
    )


def report_in_force(versions: VersionsReply) -> None:
    """Print on how many nodes of each failure domain a version is in force."""
    counts = ", ".join(
        f"{domain.domain} {domain.in_force} of {domain.nodes}"
        for domain in versions.domains
    )
    print_note(
        f"version {versions.version} is in force (nodes that confirmed it: {counts})"
    )


def _describe(domain: DomainVersions) -> str:
    if domain.heard == 0:
        return f"{domain.domain}: no recent contact with its nodes"
    shown = ", ".join(domain.lagging)
    return f"{domain.domain}: behind: {shown}"
