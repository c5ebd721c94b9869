"""Chooses the one node of a failure domain that writes for all of them."""

import hashlib
from collections.abc import Iterable

from endivebeam_model import Member, MemberState, NodeId

_GONE = frozenset({MemberState.LEFT, MemberState.DEAD})


def find_domain_writer(local: Member, members: Iterable[Member]) -> Member:
    """Return the first live node of ring 0 in the domain of a node.

    Nodes with the same members agree on it. While they disagree, two nodes
    may write, so that every such write must be safe to repeat.
    """
    candidates = [m for m in members if m.domain == local.domain]
    live = [m for m in candidates if m.state not in _GONE]
    return min([local, *live], key=lambda member: _ring_position(member.node_id))


def _ring_position(node_id: NodeId) -> bytes:
    return hashlib.sha256(f"0/{node_id}".encode()).digest()
