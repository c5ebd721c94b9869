"""Ages of contacts with failure domains and of evidence that the store answers."""

from collections.abc import Mapping

from endivebeam_model import DomainName


class ContactTimes:
    """Times of the latest contacts and evidence, on this node's monotonic clock.

    Ages reported by a peer count from when the request was sent, so that delays make
    them older and never younger.
    """

    def __init__(self, *, domain: DomainName) -> None:
        self._domain = domain
        self._domains: dict[DomainName, float] = {}
        self._store_at: float | None = None
        self.peer_at: float | None = None
        self.own_store_at: float | None = None

    def record_contact(self, domain: DomainName, sent_at: float) -> None:
        """Record that a node of a domain answered a message sent at ``sent_at``."""
        self._advance_domain(domain, sent_at)
        self.peer_at = max(sent_at, self.peer_at or sent_at)

    def record_store_response(self, now: float) -> None:
        """Record a response of the store to this node."""
        self.own_store_at = now
        self._advance_store(now)

    def merge_ages(
        self,
        domain: DomainName,
        domain_ages_s: Mapping[DomainName, float],
        store_age_s: float | None,
        sent_at: float,
    ) -> None:
        """Merge the ages that a node reported.

        Evidence that the store answers is accepted from any node. Contacts are
        accepted only from the own domain, because the contacts of another domain do
        not show what this domain can reach.
        """
        if store_age_s is not None:
            self._advance_store(sent_at - max(0.0, store_age_s))
        if domain != self._domain:
            return
        for name, age_s in domain_ages_s.items():
            self._advance_domain(name, sent_at - max(0.0, age_s))

    def domain_ages(self, now: float) -> dict[DomainName, float]:
        """Return the age in seconds of the latest contact with each domain.

        The age of the own domain is 0.
        """
        ages = {name: now - at for name, at in self._domains.items()}
        ages[self._domain] = 0.0
        return ages

    def store_age(self, now: float) -> float | None:
        """Return the age in seconds of the latest evidence that the store answers.

        The evidence may come from any node; None without any.
        """
        return None if self._store_at is None else now - self._store_at

    def _advance_domain(self, name: DomainName, at: float) -> None:
        self._domains[name] = max(at, self._domains.get(name, at))

    def _advance_store(self, at: float) -> None:
        self._store_at = at if self._store_at is None else max(at, self._store_at)
