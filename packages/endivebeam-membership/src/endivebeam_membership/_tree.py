"""A 16-ary hash tree over member records, for anti-entropy."""

from array import array
from collections.abc import Generator, Sequence

import msgspec

from endivebeam_model import Member, NodeId, hash64

FANOUT = 16
DEPTH = 3
LEAVES: int = FANOUT**DEPTH
MAX_INDEXES = 256

_encode = msgspec.msgpack.Encoder().encode


class DigestQuery(msgspec.Struct, frozen=True):
    """Request for the digests of the children of tree nodes at one level."""

    level: int
    indexes: tuple[int, ...]


def leaf_of(node_id: NodeId) -> int:
    """Return the index of the leaf that contains the record of a node."""
    return hash64(node_id.encode()) % LEAVES


class HashTree:
    """Hash tree in which a digest is the exclusive or of the hashes of its records.

    A record changes one digest per level, so that the cost of an update does not
    depend on the size of the fleet. Level 0 is the root, level ``DEPTH`` has the
    leaves.
    """

    def __init__(self) -> None:
        self._levels = [array("Q", bytes(8 * FANOUT**n)) for n in range(DEPTH + 1)]

    @property
    def root(self) -> int:
        """Digest of all records."""
        return self._levels[0][0]

    def toggle(self, member: Member) -> None:
        """Add a record, or remove it if it is in the tree."""
        digest = hash64(_encode(member))
        index = leaf_of(member.node_id)
        for level in reversed(self._levels):
            level[index] ^= digest
            index //= FANOUT

    def children(self, level: int, indexes: Sequence[int]) -> list[int]:
        """Return the digests of the children, ``FANOUT`` for each index.

        The digests for an index outside the level are zeros.
        """
        child_digests = self._levels[level + 1] if 0 <= level < DEPTH else array("Q")
        found: list[int] = []
        for index in indexes[:MAX_INDEXES]:
            digests = child_digests[
                max(0, index) * FANOUT : (max(0, index) + 1) * FANOUT
            ]
            found.extend(digests or [0] * FANOUT)
        return found


def find_differences(
    tree: HashTree,
) -> Generator[DigestQuery, Sequence[int], list[int]]:
    """Compare with another tree; return the indexes of the leaves that differ.

    Yields queries for the other tree and receives its digests. Three queries suffice
    at any size, because a level above the leaves has at most ``MAX_INDEXES`` nodes.
    """
    indexes: list[int] = [0]
    for level in range(DEPTH):
        query = DigestQuery(level, tuple(indexes))
        remote = yield query
        local = tree.children(query.level, query.indexes)
        indexes = [
            query.indexes[position // FANOUT] * FANOUT + position % FANOUT
            for position, (a, b) in enumerate(zip(local, remote, strict=False))
            if a != b
        ]
        if not indexes:
            break
    return indexes
