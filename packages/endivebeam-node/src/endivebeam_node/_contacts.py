"""Ages of contact with failure domains and of evidence that the store is up."""

from collections.abc import Callable

from endivebeam_model import DomainName
from endivebeam_wire import HeartbeatEcho

from ._peers import SILENCE_LIMIT_S


class Contacts:
    """What heartbeat echoes and the store's answers tell this node.

    Times are on this node's monotonic clock. An echo arrives at most
    ``SILENCE_LIMIT_S`` after its heartbeat was sent, so contact is dated back
    by that much. Evidence about the store is dated to its arrival, the latest
    time that it can be from, because an old holder must stop rather too early.
    """

    def __init__(self, *, own_domain: DomainName, clock: Callable[[], float]) -> None:
        self._own_domain = own_domain
        self._clock = clock
        self._domains: dict[DomainName, float] = {}
        self._store_at: float | None = None

    def note_store_answer(self) -> None:
        """Record that the store answered this node."""
        self._note_store(self._clock())

    def note_echo(self, domain: DomainName, echo: HeartbeatEcho) -> None:
        """Record an echo from a node of a domain and the ages it carries.

        Contact of others counts only inside the own domain.
        """
        now = self._clock()
        sent_at = now - SILENCE_LIMIT_S
        self._note_domain(domain, sent_at)
        if echo.store_age_ms >= 0:
            self._note_store(now - echo.store_age_ms / 1000)
        if domain == self._own_domain:
            for other, age_ms in echo.domain_ages_ms.items():
                self._note_domain(other, sent_at - age_ms / 1000)

    def domain_ages(self) -> dict[DomainName, float]:
        """Return the age in seconds of the latest contact with each domain."""
        now = self._clock()
        return {domain: now - at for domain, at in self._domains.items()}

    def store_age(self) -> float | None:
        """Return the age in seconds of the latest evidence about the store."""
        return None if self._store_at is None else self._clock() - self._store_at

    def domain_ages_ms(self) -> dict[DomainName, int]:
        """Return the ages that an echo carries, rounded up."""
        return {d: int(age * 1000) + 1 for d, age in self.domain_ages().items()}

    def store_age_ms(self) -> int:
        """Return the age that an echo carries, rounded down; -1 for none."""
        age = self.store_age()
        return -1 if age is None else int(age * 1000)

    def _note_domain(self, domain: DomainName, at: float) -> None:
        self._domains[domain] = max(at, self._domains.get(domain, at))

    def _note_store(self, at: float) -> None:
        self._store_at = at if self._store_at is None else max(at, self._store_at)
