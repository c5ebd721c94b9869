"""Membership agent of one node, without I/O."""

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import msgspec

from endivebeam_model import (
    AgedMember,
    ConfigVersion,
    DomainName,
    KeyDigest,
    LogEntry,
    Member,
    MemberState,
    NodeId,
    hash64,
)

from ._contacts import ContactTimes
from ._detector import Detector
from ._records import is_ended
from ._rumors import MAX_BATCH, RumorBatch, RumorQueues
from ._table import MemberTable

ANTI_ENTROPY_DELAY_S = 5.0
EXPIRY_CHECK_PERIOD_S = 60.0


class ConfigState(Protocol):
    """Interface of a node's configuration copy that the agent needs."""

    @property
    def version(self) -> ConfigVersion:
        """Version of the configuration in force."""

    @property
    def withdrawn(self) -> frozenset[KeyDigest]:
        """Keys whose withdrawal is not in the change log yet."""

    def apply(self, entries: Sequence[LogEntry]) -> int:
        """Apply the entries that follow the version in force; return their number."""

    def withdraw(self, digest: KeyDigest) -> bool:
        """Withdraw a key ahead of the change log; return whether it is new."""


class StateSummary(msgspec.Struct, frozen=True, array_like=True):
    """Configuration version and digest of a node, compared between neighbors."""

    version: ConfigVersion
    digest: int


class ContactAges(msgspec.Struct, frozen=True):
    """Ages in seconds reported by an echo, which is the reply to a heartbeat.

    ``domains`` has the age of the latest contact with each domain, ``store`` the age
    of the latest evidence that the store answers.
    """

    domains: Mapping[DomainName, float] = {}
    store: float | None = None


class SyncActions(msgspec.Struct, frozen=True):
    """Actions after a comparison with a neighbor.

    ``pull`` requests configuration changes, ``anti_entropy`` compares the digests.
    """

    pull: bool = False
    anti_entropy: bool = False


class Agent:
    """Member table, failure detector, rumor queues and contact ages of one node.

    Methods take the current time as an argument. ``changed`` is called with each
    record that changed.
    """

    def __init__(
        self,
        *,
        table: MemberTable,
        config: ConfigState,
        now: float,
        changed: Callable[[Member], None] = lambda member: None,
    ) -> None:
        self.table = table
        self.config = config
        self.rumors = RumorQueues()
        self.detector = Detector(now=now)
        self.contacts = ContactTimes(domain=table.local.domain)
        self.neighbors: tuple[NodeId, ...] = ()
        self._changed = changed
        self._differs_since: dict[NodeId, float] = {}
        self._expiry_checked_at = now
        self._links_stale = True
        self._withdrawn: frozenset[KeyDigest] = frozenset()
        self._withdrawn_digest = 0

    def summary(self) -> StateSummary:
        """Return the summary that a heartbeat carries."""
        if self.config.withdrawn is not self._withdrawn:
            self._withdrawn = self.config.withdrawn
            self._withdrawn_digest = 0
            for key in self._withdrawn:
                self._withdrawn_digest ^= hash64(key.encode())
        digest = self.table.tree.root ^ self._withdrawn_digest
        return StateSummary(self.config.version, digest)

    def ages(self, domain: DomainName, now: float) -> ContactAges:
        """Return the ages for an echo to a node of a domain.

        Contacts are reported inside the domain only: other domains do not use them,
        and they are the largest part of an echo.
        """
        store = self.contacts.store_age(now)
        if domain != self.table.local.domain:
            return ContactAges(store=store)
        return ContactAges(self.contacts.domain_ages(now), store)

    def handle_echo(
        self,
        peer: Member,
        summary: StateSummary,
        ages: ContactAges,
        *,
        sent_at: float,
        now: float,
    ) -> SyncActions:
        """Process the echo of a heartbeat that was sent at ``sent_at``."""
        self.detector.record_reply(peer.node_id, now)
        self.contacts.record_contact(peer.domain, sent_at)
        self.contacts.merge_ages(peer.domain, ages.domains, ages.store, sent_at)
        return self.compare(peer.node_id, summary, now)

    def compare(self, peer: NodeId, summary: StateSummary, now: float) -> SyncActions:
        """Compare with a neighbor's summary and return the actions to take.

        Anti-entropy is due once the digests have differed for ``ANTI_ENTROPY_DELAY_S``.
        """
        own = self.summary()
        pull = summary.version > own.version
        if summary.digest == own.digest:
            self._differs_since.pop(peer, None)
            return SyncActions(pull=pull)
        since = self._differs_since.setdefault(peer, now)
        anti_entropy = now - since >= ANTI_ENTROPY_DELAY_S
        if anti_entropy:
            self._differs_since[peer] = now
        return SyncActions(pull=pull, anti_entropy=anti_entropy)

    def receive(self, batch: RumorBatch, sender: NodeId | None, now: float) -> None:
        """Apply rumors and queue those that are new for the other neighbors."""
        previous_version = self.config.version
        aged = [AgedMember(member, 0.0) for member in batch.members]
        members = self._merge(aged, now)
        withdrawn = tuple(d for d in batch.withdrawn if self.config.withdraw(d))
        self.config.apply(batch.entries)
        entries = tuple(
            entry
            for entry in batch.entries
            if entry.version > previous_version and self.rumors.is_new(entry.version)
        )
        self.rumors.publish(RumorBatch(members, entries, withdrawn), sender)

    def merge_records(self, records: Sequence[AgedMember], now: float) -> int:
        """Merge records from a digest comparison; return how many were new."""
        members = self._merge(records, now)
        # A joining node receives all records this way and forwards none of them.
        if len(members) <= MAX_BATCH:
            self.rumors.publish(RumorBatch(members))
        return len(members)

    def publish_local(self) -> None:
        """Queue this node's record for all neighbors."""
        self._notify([self.table.local])
        self.rumors.publish(RumorBatch(members=(self.table.local,)))

    def tick(self, now: float) -> tuple[NodeId, ...]:
        """Run due periodic work; return the nodes to probe over a new connection."""
        if self.table.refresh(now):
            self.publish_local()
        if now - self._expiry_checked_at >= EXPIRY_CHECK_PERIOD_S:
            self._expiry_checked_at = now
            if self.table.drop_expired(now):
                self._links_stale = True
        detected = self.detector.tick(now)
        for node_id in detected.dead:
            self._report_dead(node_id, now)
        if self._links_stale:
            self._update_links(now)
        return detected.probe

    def _report_dead(self, node_id: NodeId, now: float) -> None:
        record = self.table.get(node_id)
        if record is None or is_ended(record):
            return
        dead = msgspec.structs.replace(record, state=MemberState.DEAD)
        self.receive(RumorBatch(members=(dead,)), None, now)

    def _merge(self, records: Sequence[AgedMember], now: float) -> tuple[Member, ...]:
        members = self.table.merge(records, now)
        self._notify(members)
        return tuple(members)

    def _notify(self, members: Sequence[Member]) -> None:
        if members:
            self._links_stale = True
        for member in members:
            self._changed(member)

    def _update_links(self, now: float) -> None:
        self._links_stale = False
        overlay = self.table.overlay
        local = self.table.local.node_id
        previous_neighbors = self.neighbors
        self.neighbors = tuple(overlay.links(local))
        self.rumors.set_neighbors(self.neighbors)
        # Changes made before a link existed were sent to the other neighbors only.
        initial = RumorBatch(
            (self.table.local,), withdrawn=tuple(self.config.withdrawn)
        )
        for node_id in self.neighbors:
            if node_id not in previous_neighbors:
                self.rumors.requeue(node_id, initial)
        self.detector.watch(overlay.monitored(local), now)
        linked = set(self.neighbors)
        self._differs_since = {
            node_id: at
            for node_id, at in self._differs_since.items()
            if node_id in linked
        }
