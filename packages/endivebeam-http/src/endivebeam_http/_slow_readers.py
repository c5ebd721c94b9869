"""How long peers have taken no bytes, and whose connections to close for it."""

from collections.abc import Iterable
from typing import Generic, NamedTuple, TypeVar

T = TypeVar("T")


class SendProgress:
    """What a peer has taken of the bytes that were sent to it.

    A peer that takes a byte now and then makes progress, however slow it is.
    Times are seconds of a monotonic clock.

    >>> progress = SendProgress()
    >>> progress.record_sent(100, unsent_bytes=60, now=1.0)
    >>> progress.update(unsent_bytes=60, now=4.0)
    >>> progress.stalled_s(now=5.0)
    4.0
    >>> progress.update(unsent_bytes=59, now=6.0)
    >>> progress.stalled_s(now=7.0)
    1.0
    """

    def __init__(self) -> None:
        self._sent_bytes = 0
        self._taken_bytes = 0
        self._taken_at = 0.0

    def record_sent(self, size: int, *, unsent_bytes: int, now: float) -> None:
        """Record that bytes were sent; ``unsent_bytes`` are still buffered after it."""
        if unsent_bytes <= size:
            # Nothing was buffered before.
            self._taken_at = now
        self._sent_bytes += size
        self.update(unsent_bytes=unsent_bytes, now=now)

    def update(self, *, unsent_bytes: int, now: float) -> None:
        """Record how many bytes are buffered now."""
        taken_bytes = self._sent_bytes - unsent_bytes
        if taken_bytes > self._taken_bytes:
            self._taken_bytes = taken_bytes
            self._taken_at = now

    def stalled_s(self, *, now: float) -> float:
        """Return for how long the peer has taken none of the buffered bytes."""
        if self._taken_bytes == self._sent_bytes:
            return 0.0
        return now - self._taken_at


class SlowReader(NamedTuple, Generic[T]):
    """A connection with what is held for its peer, and its time without progress."""

    connection: T
    held_bytes: int
    stalled_s: float


def choose_readers_to_drop(
    readers: Iterable[SlowReader[T]], *, max_bytes: int
) -> list[T]:
    """Return the connections to close so that at most ``max_bytes`` are held.

    Peers that have taken nothing for the longest time come first.

    >>> readers = [SlowReader("a", 50, 1.0), SlowReader("b", 50, 9.0)]
    >>> choose_readers_to_drop(readers, max_bytes=60)
    ['b']
    """
    ordered = sorted(readers, key=lambda r: (r.stalled_s, r.held_bytes), reverse=True)
    excess = sum(reader.held_bytes for reader in ordered) - max_bytes
    chosen = []
    for reader in ordered:
        if excess <= 0:
            break
        excess -= reader.held_bytes
        chosen.append(reader.connection)
    return chosen
