"""Reachability of failure domains from this node."""

from endivebeam_model import DomainName, NodeId

FAILED_TARGETS_LIMIT = 3
DOMAIN_PROBE_PERIOD_S = 0.5


class DomainHealth:
    """Marks a domain as unreachable after three different targets failed.

    A response from any of its targets resets the count. Calls go to other domains
    without trying each target of an unreachable one, which gets at most one probe
    per ``DOMAIN_PROBE_PERIOD_S``.
    """

    def __init__(self) -> None:
        self._failed_targets: dict[DomainName, set[NodeId]] = {}
        self._probed_at: dict[DomainName, float] = {}

    def record_failure(self, domain: DomainName, node_id: NodeId) -> None:
        """Record that a target of a domain could not be reached."""
        failed_targets = self._failed_targets.setdefault(domain, set())
        if len(failed_targets) < FAILED_TARGETS_LIMIT:
            failed_targets.add(node_id)

    def record_success(self, domain: DomainName) -> bool:
        """Record a response from a domain; return whether it was unreachable."""
        was_unreachable = self.is_unreachable(domain)
        self._failed_targets.pop(domain, None)
        self._probed_at.pop(domain, None)
        return was_unreachable

    def is_unreachable(self, domain: DomainName) -> bool:
        """Return whether the domain gets only probes and no calls."""
        return len(self._failed_targets.get(domain, ())) >= FAILED_TARGETS_LIMIT

    def may_probe(self, domain: DomainName, now: float) -> bool:
        """Return whether a domain may be probed now, and record the probe."""
        if not self.is_unreachable(domain):
            return True
        if now - self._probed_at.get(domain, -DOMAIN_PROBE_PERIOD_S) < (
            DOMAIN_PROBE_PERIOD_S
        ):
            return False
        self._probed_at[domain] = now
        return True
