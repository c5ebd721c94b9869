"""Directory of all nodes and the targets beside them."""

from collections.abc import Iterable

from endivebeam_model import Member, MemberState, NodeId, ServiceName, hash64

_DEPARTED = (MemberState.LEFT, MemberState.DEAD)


def record_version(member: Member) -> tuple[int, int]:
    """Return the version of a record; the greater one of a node is the newer."""
    return member.incarnation, member.sequence


def _record_checksum(member: Member) -> int:
    record = f"{member.node_id} {member.incarnation} {member.sequence}"
    return hash64(record.encode())


class Directory:
    """The newest record of each node.

    Records of nodes that left or died are kept as tombstones, so that an older
    record that arrives late does not restore them.
    """

    def __init__(self) -> None:
        # Incremented with each change.
        self.version = 0
        self._members: dict[NodeId, Member] = {}
        self._by_service: dict[ServiceName, list[Member]] = {}
        self._live: list[Member] | None = None
        # Checksums of the records are combined by exclusive or, so that a change
        # replaces that of one record.
        self._digest = 0

    def __len__(self) -> int:
        """Return the number of live nodes."""
        return len(self.live())

    def find(self, node_id: NodeId) -> Member | None:
        """Return the record of a node, which may be a tombstone, or None."""
        return self._members.get(node_id)

    def members(self) -> Iterable[Member]:
        """Return all records, including tombstones."""
        return self._members.values()

    def live(self) -> list[Member]:
        """Return the records of the live nodes; the list may not be changed."""
        if self._live is None:
            members = self._members.values()
            self._live = [m for m in members if m.state not in _DEPARTED]
        return self._live

    def serving(self, service: ServiceName) -> list[Member]:
        """Return the nodes whose target accepts new calls to a service."""
        return self._by_service.get(service, [])

    def apply(self, member: Member) -> bool:
        """Store a record if it is newer; return whether it was."""
        previous = self._members.get(member.node_id)
        if previous is not None and record_version(member) <= record_version(previous):
            return False
        self.version += 1
        self._members[member.node_id] = member
        self._live = None
        self._digest ^= _record_checksum(member)
        if previous is not None:
            self._digest ^= _record_checksum(previous)
            self._rebuild(previous.service)
        self._rebuild(member.service)
        return True

    def digest(self) -> int:
        """Return a checksum over all records, to detect differing directories."""
        return self._digest

    def versions(self) -> dict[NodeId, tuple[int, int]]:
        """Return the version of each record."""
        return {node_id: record_version(m) for node_id, m in self._members.items()}

    def newer_than(self, versions: dict[NodeId, tuple[int, int]]) -> list[Member]:
        """Return the records that are newer than those of another directory.

        ``versions`` are the versions of the records there.
        """
        return [
            member
            for node_id, member in self._members.items()
            if record_version(member) > versions.get(node_id, (-1, -1))
        ]

    def _rebuild(self, service: ServiceName) -> None:
        self._by_service[service] = [
            m
            for m in self._members.values()
            if m.service == service and m.state is MemberState.SERVING
        ]
