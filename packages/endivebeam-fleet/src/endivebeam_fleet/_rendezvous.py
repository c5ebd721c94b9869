"""Rendezvous hashing: nodes with the same member list choose the same node."""

import zlib
from collections.abc import Iterable

from endivebeam_model import Member, NodeId


def rank_for_key(key: str, node_ids: Iterable[NodeId]) -> list[NodeId]:
    """Return the nodes in order of preference for a key.

    When a node leaves, only the keys for which it was the first choice move.

    >>> rank_for_key("rates", [NodeId("a"), NodeId("b")])[:1]
    ['a']
    """
    return sorted(node_ids, key=lambda n: (zlib.crc32(f"{key}/{n}".encode()), n))


def rank_by_incarnation(key: str, members: Iterable[Member]) -> list[NodeId]:
    """Return the nodes in order of preference for a stateful role.

    Nodes with a lower incarnation come first, so that a restarted node does not
    regain the role from the node that took it over.
    """
    incarnations = {member.node_id: member.incarnation for member in members}
    return sorted(rank_for_key(key, incarnations), key=incarnations.__getitem__)
