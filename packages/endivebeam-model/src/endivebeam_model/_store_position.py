"""Positions in the change history of the platform's store."""

from typing import NewType

import msgspec

StoreEra = NewType("StoreEra", int)
"""Number that rises each time the store comes back from an older copy."""

StoreVersion = NewType("StoreVersion", int)
"""Version that the store gives to a transaction; unique only within an era."""

UNKNOWN_ERA = StoreEra(0)
"""Era of a response that doesn't tell one; lower than all others."""


class StorePosition(msgspec.Struct, frozen=True, order=True):
    """A version of the store and the era in which it was given out.

    A restored store gives out versions again, so a version alone may name two
    contents. Positions are ordered by era first.

    >>> old = StorePosition(StoreEra(1), StoreVersion(9))
    >>> new = StorePosition(StoreEra(2), StoreVersion(4))
    >>> old < new
    True
    """

    era: StoreEra
    version: StoreVersion
