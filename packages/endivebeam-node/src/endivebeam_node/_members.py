"""Member records known to this node."""

from collections.abc import Iterable

import msgspec

from endivebeam_model import Address, Member, MemberState, NodeId, ServiceName

_ENDED = frozenset({MemberState.LEFT, MemberState.DEAD})


def supersedes(new: Member, old: Member) -> bool:
    """Return whether a record replaces an older one of the same node."""
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    if (new.state in _ENDED) != (old.state in _ENDED):
        return new.state in _ENDED
    return new.sequence > old.sequence


class Members:
    """Latest record of every node."""

    def __init__(self, *, local: Member) -> None:
        self.local = local
        self._records: dict[NodeId, Member] = {local.node_id: local}

    def merge(self, records: Iterable[Member]) -> list[Member]:
        """Take newer records and return those that changed something."""
        changed = []
        for record in records:
            if record.node_id == self.local.node_id:
                self._refute(record)
                continue
            old = self._records.get(record.node_id)
            if old is None or supersedes(record, old):
                self._records[record.node_id] = record
                changed.append(record)
        return changed

    def update_local(
        self,
        *,
        state: MemberState | None = None,
        service: ServiceName | None = None,
        slots: int | None = None,
    ) -> bool:
        """Change this node's own record; return whether it changed."""
        new = msgspec.structs.replace(
            self.local,
            state=self.local.state if state is None else state,
            service=self.local.service if service is None else service,
            slots=self.local.slots if slots is None else slots,
        )
        if new == self.local:
            return False
        self._set_local(msgspec.structs.replace(new, sequence=new.sequence + 1))
        return True

    def set_address(self, address: Address) -> None:
        """Set the peer address once the listening port is known."""
        self._set_local(msgspec.structs.replace(self.local, address=address))

    def mark_dead(self, member: Member) -> None:
        """Record that a node was found dead."""
        self.merge([msgspec.structs.replace(member, state=MemberState.DEAD)])

    def all(self) -> list[Member]:
        """Return all records."""
        return list(self._records.values())

    def live(self) -> list[Member]:
        """Return the records of other nodes that are neither gone nor dead."""
        return [
            m
            for m in self._records.values()
            if m.state not in _ENDED and m.node_id != self.local.node_id
        ]

    def serving(self, service: ServiceName) -> list[Member]:
        """Return the nodes whose target serves a service."""
        return [
            m
            for m in self._records.values()
            if m.service == service and m.state is MemberState.SERVING
        ]

    def find_address(self, node_id: NodeId) -> Address | None:
        """Return the peer address of a node that is neither gone nor dead."""
        record = self._records.get(node_id)
        if record is None or record.state in _ENDED:
            return None
        return record.address

    def _refute(self, record: Member) -> None:
        # The record is from an earlier life of this node, or another node
        # declared this one dead. A higher incarnation supersedes both.
        stale = record.incarnation > self.local.incarnation
        ended = record.state in _ENDED and self.local.state not in _ENDED
        same = record.incarnation == self.local.incarnation
        if stale or (same and (ended or record.sequence > self.local.sequence)):
            self._set_local(
                msgspec.structs.replace(
                    self.local, incarnation=record.incarnation + 1, sequence=0
                )
            )

    def _set_local(self, record: Member) -> None:
        self.local = record
        self._records[record.node_id] = record
