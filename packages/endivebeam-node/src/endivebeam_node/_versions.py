"""Configuration versions that other nodes reported to this node."""

from collections.abc import Iterable

import msgspec

from endivebeam_model import ConfigVersion, DomainName, Member, MemberState, NodeId

MAX_NODES = 32_768
MAX_LISTED = 20
RECENT_S = 5.0

_ENDED_STATES = frozenset({MemberState.LEFT, MemberState.DEAD})


class DomainVersions(msgspec.Struct, frozen=True, kw_only=True):
    """How far a failure domain is, as far as this node knows.

    ``nodes`` counts live members, ``heard`` those heard of in the last
    seconds, ``in_force`` those of them that have the version. ``lagging``
    lists at most 20 nodes that were heard with a lower version.
    """

    domain: DomainName
    nodes: int
    heard: int
    in_force: int
    lagging: list[NodeId]

    @property
    def complete(self) -> bool:
        """Whether a node reported recently and all that did have the version."""
        return self.heard > 0 and self.in_force == self.heard


class _ReportedVersion(msgspec.Struct, frozen=True):
    version: ConfigVersion
    at: float


class ReportedVersions:
    """Latest configuration version reported by each node.

    Only peers with a stream to this node report to it: all nodes in a small
    fleet, a few neighbors in a large one.
    """

    def __init__(self) -> None:
        self._reported: dict[NodeId, _ReportedVersion] = {}

    def record(self, node_id: NodeId, version: ConfigVersion, now: float) -> None:
        """Record the version in a heartbeat; ``now`` is monotonic."""
        if node_id not in self._reported and len(self._reported) >= MAX_NODES:
            oldest = min(self._reported, key=lambda name: self._reported[name].at)
            del self._reported[oldest]
        self._reported[node_id] = _ReportedVersion(version, now)

    def find(self, node_id: NodeId) -> ConfigVersion | None:
        """Return the latest version that a node reported."""
        reported = self._reported.get(node_id)
        return None if reported is None else reported.version

    def summarize(
        self, members: Iterable[Member], version: ConfigVersion, now: float
    ) -> list[DomainVersions]:
        """Return for each failure domain how many nodes have a version in force."""
        by_domain: dict[DomainName, list[NodeId]] = {}
        for member in members:
            if member.state not in _ENDED_STATES:
                by_domain.setdefault(member.domain, []).append(member.node_id)
        return [
            self._summarize_domain(domain, by_domain[domain], version, now)
            for domain in sorted(by_domain)
        ]

    def _summarize_domain(
        self,
        domain: DomainName,
        nodes: list[NodeId],
        version: ConfigVersion,
        now: float,
    ) -> DomainVersions:
        recent = {
            name: reported.version
            for name in nodes
            if (reported := self._reported.get(name)) is not None
            and now - reported.at <= RECENT_S
        }
        lagging = sorted(name for name, known in recent.items() if known < version)
        return DomainVersions(
            domain=domain,
            nodes=len(nodes),
            heard=len(recent),
            in_force=len(recent) - len(lagging),
            lagging=lagging[:MAX_LISTED],
        )
