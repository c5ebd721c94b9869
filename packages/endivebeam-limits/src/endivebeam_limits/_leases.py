"""When a holder may grant from a share and when a candidate may take it over."""

from collections.abc import Mapping

import msgspec

from endivebeam_model import DomainName

from ._bucket import CLOCK_MARGIN


class LeaseTimes(msgspec.Struct, frozen=True, kw_only=True):
    """Times of a share lease in seconds.

    The defaults are those of a fleet in one region. ``grace_s`` plus the time
    that evidence needs to spread (5 s) stays below ``settle_s``, so that an old
    holder stops before a candidate may take over.
    """

    ttl_s: float = 20.0
    renew_s: float = 10.0 / 3.0
    contact_s: float = 2.0
    grace_s: float = 4.0
    settle_s: float = 10.0

    @property
    def takeover_s(self) -> float:
        """How long a row must have been unchanged before a takeover."""
        return self.ttl_s * (1 + CLOCK_MARGIN)


class Reachability(msgspec.Struct, frozen=True, kw_only=True):
    """What a node knows of the fleet and the store at one moment.

    ``contact_ages`` has the age of the latest contact with each other domain,
    counted from before the heartbeat was sent; the own domain counts as
    contacted. ``store_age_s`` is the age of the latest evidence that the store
    answered anyone, or None.
    """

    own_domain: DomainName
    domains: tuple[DomainName, ...]
    contact_ages: Mapping[DomainName, float]
    store_age_s: float | None

    def has_majority(self, max_age_s: float) -> bool:
        """Return whether a majority of all failure domains had fresh contact."""
        fresh = 0
        for domain in self.domains:
            age = self.contact_ages.get(domain)
            if domain == self.own_domain or (age is not None and age <= max_age_s):
                fresh += 1
        return 2 * fresh > len(self.domains)


class HolderLease:
    """The lease of one share as its holder sees it.

    ``sent_at`` is the time from before the latest successful renewal was sent.
    """

    __slots__ = (
        "_checked_at",
        "_evidence_at",
        "_held_at",
        "_stopped",
        "_times",
        "sent_at",
    )

    def __init__(self, *, times: LeaseTimes, sent_at: float) -> None:
        self._times = times
        self.sent_at = sent_at
        self._evidence_at: float | None = None
        self._checked_at = sent_at
        self._held_at = sent_at
        self._stopped = False

    def renew(self, sent_at: float) -> None:
        """Record a successful renewal that was sent at a time."""
        self.sent_at = max(self.sent_at, sent_at)
        self._held_at = self.sent_at
        self._evidence_at = None
        self._stopped = False

    def stop(self) -> None:
        """Stop granting until the next renewal."""
        self._stopped = True

    def is_renewal_due(self, now: float) -> bool:
        """Return whether the holder should renew."""
        return self._stopped or now - self.sent_at >= self._times.renew_s

    def may_grant(self, now: float, reachability: Reachability) -> bool:
        """Return whether the holder may grant now.

        Within the time to live it may. Afterwards it may continue only while
        the store seems to be down for everyone: with fresh majority contact,
        and with no evidence, or only very recent evidence, that the store
        answered anyone since a renewal was due. Must also be called
        periodically: a gap longer than the contact limit counts as lost
        contact, because a holder that was paused cannot know what it missed.
        """
        self._note_evidence(now, reachability)
        if self._stopped:
            return False
        if now - self.sent_at < self._times.ttl_s:
            self._held_at = now
            return True
        gap = now - self._held_at > self._times.contact_s
        if (
            gap
            or not reachability.has_majority(self._times.contact_s)
            or self._must_stop(now)
        ):
            self._stopped = True
            return False
        self._held_at = now
        return True

    def _note_evidence(self, now: float, reachability: Reachability) -> None:
        paused = now - self._checked_at > self._times.contact_s
        # Evidence found after a pause may have been there since it began.
        reached_at = self._checked_at if paused else now
        self._checked_at = now
        if self._evidence_at is not None or reachability.store_age_s is None:
            return
        if now - reachability.store_age_s > self.sent_at + self._times.renew_s:
            self._evidence_at = reached_at

    def _must_stop(self, now: float) -> bool:
        seen = self._evidence_at
        return seen is not None and now - seen >= self._times.grace_s


class TakeoverWatch:
    """One share as a candidate sees it."""

    __slots__ = ("_checked_at", "_ready_since", "_seen_at", "_times", "_version")

    def __init__(self, *, times: LeaseTimes) -> None:
        self._times = times
        self._version: int | None = None
        self._seen_at = 0.0
        self._ready_since: float | None = None
        self._checked_at = 0.0

    def observe(
        self, now: float, version: int | None, reachability: Reachability
    ) -> None:
        """Record a read of the row that returned at ``now``.

        ``version`` is the row's version, 0 when the row is absent, None when
        the store did not answer.
        """
        up = version is not None and reachability.has_majority(self._times.contact_s)
        late = now - self._checked_at > self._times.settle_s / 2
        if not up:
            self._ready_since = None
        elif self._ready_since is None or late:
            self._ready_since = now
        self._checked_at = now
        if version is not None and version != self._version:
            self._version = version
            self._seen_at = now

    def may_take(self, now: float) -> bool:
        """Return whether the row may be taken over from its holder."""
        if self._version is None or self._ready_since is None:
            return False
        if now - self._checked_at > self._times.settle_s / 2:
            return False
        settled = now - self._ready_since >= self._times.settle_s
        return settled and now - self._seen_at >= self._times.takeover_s

    def may_create(self, now: float, *, own_slot: bool) -> bool:
        """Return whether an absent row may be created.

        A node of another domain waits, so that the first nodes of a new fleet
        do not take the shares of domains that are about to start.
        """
        if self._version != 0:
            return False
        return own_slot or now - self._seen_at >= self._times.settle_s / 2
