"""Membership of the fleet as this node sees it."""

from collections.abc import Callable

import anyio

from endivebeam_membership import Agent, MemberTable, RumorBatch, is_ended
from endivebeam_model import (
    Address,
    DomainName,
    KeyDigest,
    LogEntry,
    Member,
    MemberState,
    NodeId,
    ServiceName,
)

from ._config import ConfigCopy

ISOLATION_LIMIT_S = 3.0

OnChange = Callable[[Member], None]


class Members:
    """Member records, contact ages and the updates that this node spreads.

    All times are on this node's monotonic clock.
    """

    def __init__(
        self,
        *,
        local: Member,
        config: ConfigCopy,
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        now = clock()
        self._clock = clock
        self._listeners: list[OnChange] = []
        self._config = config
        self.agent = Agent(
            table=MemberTable(local=local, now=now),
            config=config,
            now=now,
            changed=self._notify,
        )

    @property
    def local(self) -> Member:
        """Record of this node."""
        return self.agent.table.local

    def add_listener(self, listener: OnChange) -> None:
        """Call a function with each record that changes."""
        self._listeners.append(listener)

    def get(self, node_id: NodeId) -> Member | None:
        """Return the record of a node."""
        return self.agent.table.get(node_id)

    def find_address(self, node_id: NodeId) -> Address | None:
        """Return the peer address of a node that has not left and is not dead."""
        record = self.get(node_id)
        if record is None or is_ended(record):
            return None
        return record.address

    def all(self) -> list[Member]:
        """Return all records."""
        return self.agent.table.all()

    def live(self) -> list[Member]:
        """Return the records of other nodes that have not left and are not dead."""
        return self.agent.table.live()

    def serving(self, service: ServiceName) -> list[Member]:
        """Return the nodes whose target serves a service."""
        return self.agent.table.serving(service)

    def is_first(self, count: int) -> bool:
        """Return whether this node is among the first ``count`` of its domain.

        The order is that of ring 0 of the overlay.
        """
        local = self.local
        return local.node_id in self.agent.table.overlay.first(local.domain, count)

    def first_of_domain(self) -> NodeId | None:
        """Return the first node of this domain in ring 0 of the overlay.

        Returns None if it is this node.
        """
        first = self.agent.table.overlay.first(self.local.domain, 1)
        return None if not first or first[0] == self.local.node_id else first[0]

    def rank(self, count: int) -> int | None:
        """Return this node's position among the first of its domain, or None."""
        local = self.local
        first = self.agent.table.overlay.first(local.domain, count)
        return first.index(local.node_id) if local.node_id in first else None

    def domain_ages(self) -> dict[DomainName, float]:
        """Return the seconds since the latest contact with each domain.

        The time counts from before the heartbeat was sent. Contacts of other nodes
        of the local domain are included after a neighbor has reported them.
        """
        return self.agent.contacts.domain_ages(self._clock())

    def store_age(self) -> float | None:
        """Return the seconds since the latest known response of the store to a node."""
        return self.agent.contacts.store_age(self._clock())

    def record_store_response(self) -> None:
        """Record a response of the store to this node."""
        self.agent.contacts.record_store_response(self._clock())

    def has_peer(self) -> bool:
        """Return whether a neighbor answered a heartbeat recently."""
        return self._is_recent(self.agent.contacts.peer_at)

    def is_isolated(self) -> bool:
        """Return whether neither a neighbor nor the store answered recently.

        An isolated node does not receive withdrawals of keys. In a fleet of
        one node only the store can answer.
        """
        contacts = self.agent.contacts
        if self._is_recent(contacts.own_store_at):
            return False
        is_alone = len(self.agent.table.overlay) <= 1
        return is_alone or not self._is_recent(contacts.peer_at)

    def update_local(
        self,
        *,
        state: MemberState | None = None,
        service: ServiceName | None = None,
        slots: int | None = None,
        address: Address | None = None,
    ) -> bool:
        """Change this node's record and spread it; return whether it changed."""
        changed = self.agent.table.update_local(
            now=self._clock(),
            state=state,
            service=service,
            slots=slots,
            address=address,
        )
        if changed:
            self.agent.publish_local()
        return changed

    def spread_entry(self, entry: LogEntry) -> None:
        """Apply a committed change and spread it."""
        self.agent.receive(RumorBatch(entries=(entry,)), None, self._clock())

    def spread_withdrawal(self, digest: KeyDigest) -> None:
        """Withdraw a key ahead of the log and spread the withdrawal."""
        self.agent.receive(RumorBatch(withdrawn=(digest,)), None, self._clock())

    def _is_recent(self, at: float | None) -> bool:
        return at is not None and self._clock() - at <= ISOLATION_LIMIT_S

    def _notify(self, member: Member) -> None:
        for listener in self._listeners:
            listener(member)
