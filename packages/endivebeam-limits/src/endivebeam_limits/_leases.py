"""Conditions for granting from a share and for taking it over from its holder."""

from collections.abc import Mapping

import msgspec

from endivebeam_model import DomainName

from ._bucket import CLOCK_MARGIN


class LeaseTimes(msgspec.Struct, frozen=True, kw_only=True):
    """Times of a share lease in seconds.

    The defaults suit a fleet in one region. ``grace_s`` plus the time that
    evidence of a store response needs to spread (5 s) must stay below
    ``settle_s``, so that the old holder stops before a candidate may take over.
    """

    ttl_s: float = 20.0
    renew_s: float = 10.0 / 3.0
    contact_s: float = 2.0
    grace_s: float = 4.0
    settle_s: float = 10.0

    @property
    def takeover_s(self) -> float:
        """Seconds that a share's row in the store must be unchanged for a takeover."""
        return self.ttl_s * (1 + CLOCK_MARGIN)


class Reachability(msgspec.Struct, frozen=True, kw_only=True):
    """Recent contact of a node with other domains, and how recently the store answered.

    ``contact_ages`` maps each other domain to the age in seconds of the latest
    contact, measured from before the heartbeat was sent; the node's own domain
    counts as contacted. ``store_age_s`` is the age of the latest evidence that
    the store answered any node, or None if there is no evidence.
    """

    own_domain: DomainName
    domains: tuple[DomainName, ...]
    contact_ages: Mapping[DomainName, float]
    store_age_s: float | None

    def has_majority(self, max_age_s: float) -> bool:
        """Return whether contact with a majority of all domains is recent enough."""
        fresh = 0
        for domain in self.domains:
            age = self.contact_ages.get(domain)
            if domain == self.own_domain or (age is not None and age <= max_age_s):
                fresh += 1
        return 2 * fresh > len(self.domains)


class HolderLease:
    """Lease of one share, on the side of its holder.

    ``sent_at`` is the time just before the latest successful renewal was sent.
    """

    __slots__ = (
        "_checked_at",
        "_evidence_at",
        "_last_allowed_at",
        "_stopped",
        "_times",
        "sent_at",
    )

    def __init__(self, *, times: LeaseTimes, sent_at: float) -> None:
        self._times = times
        self.sent_at = sent_at
        self._evidence_at: float | None = None
        self._checked_at = sent_at
        self._last_allowed_at = sent_at
        self._stopped = False

    def renew(self, sent_at: float) -> None:
        """Record a successful renewal that was sent at ``sent_at``."""
        self.sent_at = max(self.sent_at, sent_at)
        self._last_allowed_at = self.sent_at
        self._evidence_at = None
        self._stopped = False

    def stop(self) -> None:
        """Stop granting until the next renewal."""
        self._stopped = True

    def is_renewal_due(self, now: float) -> bool:
        """Return whether the holder should renew the lease now."""
        return self._stopped or now - self.sent_at >= self._times.renew_s

    def may_grant(self, now: float, reachability: Reachability) -> bool:
        """Return whether the holder may grant now.

        It may grant within the time to live of the lease. Afterwards it may
        continue only while the store appears to be down for all nodes: contact
        with a majority of domains is recent, and there is no evidence, or only
        evidence found less than ``grace_s`` ago, that the store answered any
        node since a renewal was due.

        Must also be called periodically: a gap longer than ``contact_s`` counts
        as lost contact, because a process that was paused cannot know what
        happened in the meantime.
        """
        self._record_evidence(now, reachability)
        if self._stopped:
            return False
        if now - self.sent_at < self._times.ttl_s:
            self._last_allowed_at = now
            return True
        gap_too_long = now - self._last_allowed_at > self._times.contact_s
        if (
            gap_too_long
            or not reachability.has_majority(self._times.contact_s)
            or self._is_grace_over(now)
        ):
            self._stopped = True
            return False
        self._last_allowed_at = now
        return True

    def _record_evidence(self, now: float, reachability: Reachability) -> None:
        paused = now - self._checked_at > self._times.contact_s
        # Evidence found after a pause may have existed since the pause began.
        found_at = self._checked_at if paused else now
        self._checked_at = now
        if self._evidence_at is not None or reachability.store_age_s is None:
            return
        if now - reachability.store_age_s > self.sent_at + self._times.renew_s:
            self._evidence_at = found_at

    def _is_grace_over(self, now: float) -> bool:
        evidence_at = self._evidence_at
        return evidence_at is not None and now - evidence_at >= self._times.grace_s


class TakeoverWatch:
    """State of one share, on the side of a candidate for a takeover.

    The store and a majority of domains must have been reachable for ``settle_s``
    before a takeover.
    """

    __slots__ = ("_changed_at", "_checked_at", "_reachable_since", "_times", "_version")

    def __init__(self, *, times: LeaseTimes) -> None:
        self._times = times
        self._version: int | None = None
        self._changed_at = 0.0
        self._reachable_since: float | None = None
        self._checked_at = 0.0

    def observe(
        self, now: float, version: int | None, reachability: Reachability
    ) -> None:
        """Record a read of the share's row that completed at ``now``.

        ``version`` is the version of the row, 0 if the row is absent, or None if
        the store did not answer.
        """
        reachable = version is not None and reachability.has_majority(
            self._times.contact_s
        )
        gap_too_long = now - self._checked_at > self._times.settle_s / 2
        if not reachable:
            self._reachable_since = None
        elif self._reachable_since is None or gap_too_long:
            self._reachable_since = now
        self._checked_at = now
        if version is not None and version != self._version:
            self._version = version
            self._changed_at = now

    def may_take_over(self, now: float) -> bool:
        """Return whether the share may be taken over from its holder."""
        if self._version is None or self._reachable_since is None:
            return False
        if now - self._checked_at > self._times.settle_s / 2:
            return False
        settled = now - self._reachable_since >= self._times.settle_s
        return settled and now - self._changed_at >= self._times.takeover_s

    def may_create(self, now: float, *, own_slot: bool) -> bool:
        """Return whether a row that is absent may be created.

        A node of another domain than the share's waits for half of ``settle_s``,
        so that the first nodes of a new fleet do not acquire the shares of
        domains that are about to start.
        """
        if self._version != 0:
            return False
        return own_slot or now - self._changed_at >= self._times.settle_s / 2
