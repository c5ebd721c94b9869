"""Domains that this node cannot reach."""

from endivebeam_model import DomainName, NodeId

FAILED_TARGETS_LIMIT = 3
DOMAIN_PROBE_PERIOD_S = 0.5


class Domains:
    """Marks a domain unreachable after three different targets in a row failed.

    Calls then go to other domains without trying each target of the lost one,
    and the domain gets one probe at a time.
    """

    def __init__(self) -> None:
        self._failed: dict[DomainName, set[NodeId]] = {}
        self._probed_at: dict[DomainName, float] = {}

    def fail(self, domain: DomainName, node_id: NodeId) -> None:
        """Note that a target of a domain could not be reached."""
        failed = self._failed.setdefault(domain, set())
        if len(failed) < FAILED_TARGETS_LIMIT:
            failed.add(node_id)

    def succeed(self, domain: DomainName) -> bool:
        """Note an answer from a domain; return whether it was unreachable."""
        was = self.unreachable(domain)
        self._failed.pop(domain, None)
        self._probed_at.pop(domain, None)
        return was

    def unreachable(self, domain: DomainName) -> bool:
        """Return whether the domain gets only probes."""
        return len(self._failed.get(domain, ())) >= FAILED_TARGETS_LIMIT

    def may_probe(self, domain: DomainName, now: float) -> bool:
        """Return whether a probe may go to a domain, and note it."""
        if not self.unreachable(domain):
            return True
        if now - self._probed_at.get(domain, -DOMAIN_PROBE_PERIOD_S) < (
            DOMAIN_PROBE_PERIOD_S
        ):
            return False
        self._probed_at[domain] = now
        return True
