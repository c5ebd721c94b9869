"""Ages of contact with each failure domain and of evidence that the store is up."""

from collections.abc import Mapping

from endivebeam_model import DomainName


class ContactTimes:
    """Latest times, on this node's monotonic clock, of contacts and evidence.

    Ages that a peer reports are counted from before the question was sent, so
    that delays make them older and never younger.
    """

    def __init__(self, *, domain: DomainName) -> None:
        self._domain = domain
        self._domains: dict[DomainName, float] = {}
        self._store_at: float | None = None
        self.peer_at: float | None = None
        self.own_store_at: float | None = None

    def record_contact(self, domain: DomainName, sent_at: float) -> None:
        """Note that a node of a domain answered what was sent at a time."""
        self._raise_domain(domain, sent_at)
        self.peer_at = max(sent_at, self.peer_at or sent_at)

    def record_store_answer(self, now: float) -> None:
        """Note an answer of the store to this node."""
        self.own_store_at = now
        self._raise_store(now)

    def merge_ages(
        self,
        domain: DomainName,
        domain_ages_s: Mapping[DomainName, float],
        store_age_s: float | None,
        sent_at: float,
    ) -> None:
        """Merge the ages that a node reported.

        Evidence of the store counts from anyone. Contacts count only from the
        own domain: a contact of another domain says nothing about what this
        domain can reach.
        """
        if store_age_s is not None:
            self._raise_store(sent_at - max(0.0, store_age_s))
        if domain != self._domain:
            return
        for name, age_s in domain_ages_s.items():
            self._raise_domain(name, sent_at - max(0.0, age_s))

    def domain_ages(self, now: float) -> dict[DomainName, float]:
        """Return the age of the latest contact with each domain, the own 0."""
        ages = {name: now - at for name, at in self._domains.items()}
        ages[self._domain] = 0.0
        return ages

    def store_age(self, now: float) -> float | None:
        """Return the age of the latest evidence that the store answered anyone."""
        return None if self._store_at is None else now - self._store_at

    def _raise_domain(self, name: DomainName, at: float) -> None:
        self._domains[name] = max(at, self._domains.get(name, at))

    def _raise_store(self, at: float) -> None:
        self._store_at = at if self._store_at is None else max(at, self._store_at)
