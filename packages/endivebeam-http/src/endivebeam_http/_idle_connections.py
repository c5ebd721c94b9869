"""Which connections of callers make room for new ones."""

from collections.abc import Iterable
from enum import IntEnum
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")


class Standing(IntEnum):
    """What a connection is worth; those of the lowest standing are closed first.

    ``SILENT``: its caller never sent a byte. ``UNFINISHED``: it never sent a whole
    request. ``IDLE``: it sent some, all of them are answered. ``BUSY``: a request or
    an answer is in progress; such a connection is not closed for another one.
    """

    SILENT = 0
    UNFINISHED = 1
    IDLE = 2
    BUSY = 3


class Candidate(NamedTuple, Generic[T]):
    """A connection with its standing and how long that has lasted, in seconds."""

    connection: T
    standing: Standing
    waited_s: float


def choose_connections_to_close(
    candidates: Iterable[Candidate[T]], *, count: int
) -> list[T]:
    """Return up to ``count`` connections to close, the first one first.

    >>> candidates = [
    ...     Candidate("kept", Standing.IDLE, 9.0),
    ...     Candidate("new", Standing.SILENT, 0.1),
    ...     Candidate("old", Standing.SILENT, 5.0),
    ... ]
    >>> choose_connections_to_close(candidates, count=2)
    ['old', 'new']
    """
    closable = [c for c in candidates if c.standing is not Standing.BUSY]
    closable.sort(key=lambda c: (c.standing, -c.waited_s))
    return [c.connection for c in closable[:count]]
