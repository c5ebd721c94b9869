"""Tokens of one account that one node spent in the last window."""

from collections import deque
from collections.abc import Iterable


class SpentTokens:
    """Log of spent tokens with their times, and their sum."""

    __slots__ = ("_entries", "_total")

    def __init__(self, entries: Iterable[tuple[float, float]] = ()) -> None:
        self._entries = deque(entries)
        self._total = sum(tokens for _, tokens in self._entries)

    def add(self, at: float, tokens: float) -> None:
        """Add tokens that were spent by a time."""
        self._entries.append((at, tokens))
        self._total += tokens

    def refund(self, tokens: float) -> None:
        """Remove tokens from the newest entry, because they were not used."""
        if self._entries:
            at, newest = self._entries[-1]
            removed = min(newest, tokens)
            self._entries[-1] = (at, newest - removed)
            self._total -= removed

    def total(self, since: float) -> float:
        """Return the tokens spent since a time and drop older entries."""
        while self._entries and self._entries[0][0] < since:
            self._total -= self._entries.popleft()[1]
        return self._total if self._entries else 0.0

    def scale(self, ratio: float) -> None:
        """Multiply the tokens of all entries by a ratio."""
        self._entries = deque((at, tokens * ratio) for at, tokens in self._entries)
        self._total *= ratio

    def ages(self, now: float) -> list[tuple[float, float]]:
        """Return the age in seconds and the tokens of each entry."""
        return [(now - at, tokens) for at, tokens in self._entries]
