"""Rendezvous hashing: the same choice on every node that knows the same nodes."""

import zlib
from collections.abc import Iterable

from endivebeam_model import Member, NodeId


def rank_for_key(key: str, node_ids: Iterable[NodeId]) -> list[NodeId]:
    """Return the nodes in the order of their preference for a key.

    When a node leaves, only the keys that it was first for change hands.

    >>> rank_for_key("rates", [NodeId("a"), NodeId("b")])[:1]
    ['b']
    """
    return sorted(node_ids, key=lambda n: (zlib.crc32(f"{key}/{n}".encode()), n))


def rank_steady_nodes(key: str, members: Iterable[Member]) -> list[NodeId]:
    """Return nodes in the order of their preference for a role that keeps state.

    Nodes that restarted come after those that did not, so that a node which returns
    does not take the role from the one that took it over.
    """
    incarnations = {member.node_id: member.incarnation for member in members}
    return sorted(rank_for_key(key, incarnations), key=incarnations.__getitem__)
