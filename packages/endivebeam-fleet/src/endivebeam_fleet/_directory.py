"""Directory of all nodes and the targets beside them."""

import zlib
from collections.abc import Iterable, Sequence

from endivebeam_model import Member, MemberState, NodeId, ServiceName

_DEPARTED = (MemberState.LEFT, MemberState.DEAD)
# Buckets of records that are compared separately.
BUCKETS = 64


def record_version(member: Member) -> tuple[int, int]:
    """Return the version of a record; the greater one of a node is the newer."""
    return member.incarnation, member.sequence


def _find_bucket(node_id: NodeId) -> int:
    return zlib.crc32(node_id.encode()) % BUCKETS


def _record_checksum(member: Member) -> int:
    record = f"{member.node_id} {member.incarnation} {member.sequence}"
    return zlib.crc32(record.encode())


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
        self._bucket_digests = [0] * BUCKETS
        self._bucket_nodes: list[set[NodeId]] = [set() for _ in range(BUCKETS)]

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
        change = _record_checksum(member)
        if previous is not None:
            change ^= _record_checksum(previous)
            self._rebuild(previous.service)
        self._rebuild(member.service)
        bucket = _find_bucket(member.node_id)
        self._bucket_nodes[bucket].add(member.node_id)
        self._bucket_digests[bucket] ^= change
        self._digest ^= change
        return True

    def digest(self) -> int:
        """Return a checksum over all records, to detect differing directories."""
        return self._digest

    def bucket_digests(self) -> tuple[int, ...]:
        """Return a checksum over the records of each bucket."""
        return tuple(self._bucket_digests)

    def find_differing(self, bucket_digests: Sequence[int]) -> list[Member]:
        """Return the records of the buckets that differ from another directory's.

        ``bucket_digests`` are the checksums there. Records that are the same or older
        here are among those returned; only a newer one replaces the one there.
        """
        return [
            self._members[node_id]
            for nodes, own, other in zip(
                self._bucket_nodes, self._bucket_digests, bucket_digests, strict=False
            )
            if own != other
            for node_id in nodes
        ]

    def _rebuild(self, service: ServiceName) -> None:
        self._by_service[service] = [
            m
            for m in self._members.values()
            if m.service == service and m.state is MemberState.SERVING
        ]
