"""Waits until a configuration version is in force in every failure domain."""

import time

from endivebeam_model import ConfigVersion

from ._client import DomainVersions, FleetClient, Versions
from ._exits import Exit, ToolError
from ._session import say

POLL_PERIOD_S = 0.2


def wait_in_force(
    client: FleetClient, version: ConfigVersion, timeout_s: float
) -> Versions:
    """Return how far a version came; raise when a domain is not reached.

    The answering node speaks for the nodes that it hears from.
    """
    limit = time.monotonic() + timeout_s
    while True:
        versions = client.get(f"/v1/versions?at_least={version}", Versions)
        behind = [domain for domain in versions.domains if not domain.complete]
        if not behind and versions.domains:
            return versions
        if time.monotonic() >= limit:
            break
        time.sleep(POLL_PERIOD_S)
    listed = "".join(f"\n  {_describe(domain)}" for domain in behind)
    raise ToolError(
        Exit.NOT_IN_FORCE,
        f"version {version} is committed, but not confirmed in force within "
        f"{timeout_s:g} s:{listed}\nrun endivebeam status to see these nodes, and "
        "endivebeam doctor for the cause",
    )


def report_in_force(versions: Versions) -> None:
    """Tell people where a version is in force."""
    counts = ", ".join(
        f"{domain.domain} {domain.in_force} of {domain.nodes}"
        for domain in versions.domains
    )
    say(f"version {versions.version} is in force (nodes heard: {counts})")


def _describe(domain: DomainVersions) -> str:
    if domain.heard == 0:
        return f"{domain.domain}: no node was heard"
    shown = ", ".join(domain.lagging)
    return f"{domain.domain}: behind: {shown}"
