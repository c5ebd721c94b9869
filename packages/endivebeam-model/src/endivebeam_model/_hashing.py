"""Hash on which all nodes agree."""

import hashlib


def hash64(data: bytes) -> int:
    """Return a 64-bit hash that is equal on all nodes.

    Its values for like inputs are unrelated, so that exclusive or can combine them.
    With a cyclic redundancy check, like changes of two inputs would cancel out.
    """
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")
