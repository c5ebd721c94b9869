"""Versions of member records: which of two records of a node is the newer."""

import msgspec

from endivebeam_model import Member, MemberState

ENDED = frozenset({MemberState.LEFT, MemberState.DEAD})

_encode = msgspec.msgpack.Encoder().encode


def is_ended(member: Member) -> bool:
    """Return whether a node has left or is dead according to its record."""
    return member.state in ENDED


def supersedes(new: Member, old: Member) -> bool:
    """Return whether a record replaces another one of the same node.

    The higher incarnation wins. Within an incarnation, a record that the node left or
    is dead wins over others, and otherwise the higher sequence wins. Equal versions
    with different content occur when a restarted node reuses its first incarnation;
    the encoded bytes are then compared, so that all nodes agree.
    """
    new_version = (new.incarnation, is_ended(new), new.sequence)
    old_version = (old.incarnation, is_ended(old), old.sequence)
    if new_version != old_version:
        return new_version > old_version
    return new != old and _encode(new) > _encode(old)
