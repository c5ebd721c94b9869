"""The member table, which stores the newest record of every node."""

from collections.abc import Iterable, Sequence

import msgspec

from endivebeam_model import (
    Address,
    AgedMember,
    Member,
    MemberState,
    NodeId,
    ServiceName,
)

from ._overlay import Overlay
from ._records import is_ended, supersedes
from ._tree import HashTree, leaf_of

REFRESH_PERIOD_S = 6 * 3600.0
RECORD_LIFETIME_S = 13 * 3600.0
EXPIRED_RECORD_LIFETIME_S = 3600.0
MAX_RECORDS = 65536


class MemberTable:
    """Records by node, with indexes for calls and the overlay.

    Changes go through ``_put`` and ``_remove``, which update the hash tree, the rings
    and the index by service together with the records.
    """

    def __init__(self, *, local: Member, now: float) -> None:
        self.local = local
        self.tree = HashTree()
        self.overlay = Overlay(domain=local.domain)
        self._records: dict[NodeId, Member] = {}
        self._changed_at: dict[NodeId, float] = {}
        self._by_service: dict[ServiceName, dict[NodeId, Member]] = {}
        self._by_leaf: dict[int, list[NodeId]] = {}
        self._expired: dict[NodeId, tuple[Member, float]] = {}
        self._put(local, now)

    def __len__(self) -> int:
        return len(self._records)

    def get(self, node_id: NodeId) -> Member | None:
        """Return the record of a node, or None."""
        return self._records.get(node_id)

    def all(self) -> list[Member]:
        """Return all records."""
        return list(self._records.values())

    def live(self) -> list[Member]:
        """Return the records of other nodes that have neither left nor died."""
        own = self.local.node_id
        return [
            m for m in self._records.values() if not is_ended(m) and m.node_id != own
        ]

    def serving(self, service: ServiceName) -> list[Member]:
        """Return the nodes whose target serves a service."""
        return list(self._by_service.get(service, {}).values())

    def merge(self, records: Iterable[AgedMember], now: float) -> list[Member]:
        """Merge records and return those that changed something.

        A record that wrongly describes this node is refuted by a newer record of
        this node, which is then among the returned ones.
        """
        changed = []
        for aged in records:
            merged = self._merge_one(aged, now)
            if merged is not None:
                changed.append(merged)
        return changed

    def update_local(
        self,
        *,
        now: float,
        state: MemberState | None = None,
        service: ServiceName | None = None,
        slots: int | None = None,
        address: Address | None = None,
    ) -> bool:
        """Change this node's own record; return whether it changed."""
        local = self.local
        new = msgspec.structs.replace(
            local,
            state=local.state if state is None else state,
            service=local.service if service is None else service,
            slots=local.slots if slots is None else slots,
            address=local.address if address is None else address,
        )
        if new == local:
            return False
        self._put_local(msgspec.structs.replace(new, sequence=new.sequence + 1), now)
        return True

    def refresh(self, now: float) -> bool:
        """Increment the own sequence if the record is old; return whether it was."""
        local = self.local
        if now - self._changed_at[local.node_id] < REFRESH_PERIOD_S:
            return False
        self._put_local(
            msgspec.structs.replace(local, sequence=local.sequence + 1), now
        )
        return True

    def drop_expired(self, now: float) -> list[NodeId]:
        """Remove records that were not refreshed in time; return their nodes."""
        cutoff = now - RECORD_LIFETIME_S
        own = self.local.node_id
        dropped = [n for n, at in self._changed_at.items() if at < cutoff and n != own]
        for node_id in dropped:
            self._expired[node_id] = (self._records[node_id], now)
            self._remove(node_id)
        self._expired = {
            node_id: (member, at)
            for node_id, (member, at) in self._expired.items()
            if now - at < EXPIRED_RECORD_LIFETIME_S
        }
        return dropped

    def in_leaves(self, leaves: Sequence[int], now: float) -> list[AgedMember]:
        """Return the records in leaves of the hash tree with their ages."""
        return [
            AgedMember(self._records[node_id], now - self._changed_at[node_id])
            for leaf in leaves
            for node_id in self._by_leaf.get(leaf, ())
        ]

    def _merge_one(self, aged: AgedMember, now: float) -> Member | None:
        record = aged.member
        if record.node_id == self.local.node_id:
            return self._refute(record, now)
        if aged.age_s >= RECORD_LIFETIME_S:
            return None
        old = self._records.get(record.node_id)
        if old is None:
            # A record that expired here is not accepted from a node where it expires
            # a little later. Otherwise the two would exchange it forever.
            expired = self._expired.get(record.node_id)
            if expired is not None and not supersedes(record, expired[0]):
                return None
            if len(self._records) >= MAX_RECORDS:
                return None
        elif not supersedes(record, old):
            return None
        self._put(record, now - max(0.0, aged.age_s))
        return record

    def _refute(self, record: Member, now: float) -> Member | None:
        # The record is from an earlier run of this node, or another node reported
        # this one dead. A higher incarnation supersedes both.
        local = self.local
        if record == local or not supersedes(record, local):
            return None
        if is_ended(local) and record.incarnation == local.incarnation:
            return None
        self._put_local(
            msgspec.structs.replace(
                local, incarnation=record.incarnation + 1, sequence=0
            ),
            now,
        )
        return self.local

    def _put_local(self, record: Member, now: float) -> None:
        self.local = record
        self._put(record, now)

    def _put(self, record: Member, changed_at: float) -> None:
        node_id = record.node_id
        old = self._records.get(node_id)
        if old is None:
            self._by_leaf.setdefault(leaf_of(node_id), []).append(node_id)
        else:
            self.tree.toggle(old)
            self._by_service.get(old.service, {}).pop(node_id, None)
        self._records[node_id] = record
        self._changed_at[node_id] = changed_at
        self._expired.pop(node_id, None)
        self.tree.toggle(record)
        if record.state is MemberState.SERVING:
            self._by_service.setdefault(record.service, {})[node_id] = record
        if is_ended(record):
            self.overlay.remove(node_id)
        else:
            self.overlay.add(record)

    def _remove(self, node_id: NodeId) -> None:
        record = self._records.pop(node_id)
        del self._changed_at[node_id]
        self.tree.toggle(record)
        self._by_service.get(record.service, {}).pop(node_id, None)
        leaf = leaf_of(node_id)
        self._by_leaf[leaf].remove(node_id)
        if not self._by_leaf[leaf]:
            del self._by_leaf[leaf]
        self.overlay.remove(node_id)
