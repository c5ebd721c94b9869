"""Order of member records: which of two records of one node is the newer."""

import msgspec

from endivebeam_model import Member, MemberState

ENDED = frozenset({MemberState.LEFT, MemberState.DEAD})

_encode = msgspec.msgpack.Encoder().encode


def is_ended(member: Member) -> bool:
    """Return whether a record says that its node is gone."""
    return member.state in ENDED


def supersedes(new: Member, old: Member) -> bool:
    """Return whether a record replaces another one of the same node.

    The incarnation decides first. Within an incarnation a node that ended
    never comes back, and otherwise the higher sequence wins. Equal pairs with
    different content occur when a restarted node repeats its first
    incarnation; the encoded bytes decide, so that all nodes agree.
    """
    new_order = (new.incarnation, is_ended(new), new.sequence)
    old_order = (old.incarnation, is_ended(old), old.sequence)
    if new_order != old_order:
        return new_order > old_order
    return new != old and _encode(new) > _encode(old)
