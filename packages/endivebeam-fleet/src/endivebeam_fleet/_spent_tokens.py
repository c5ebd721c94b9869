"""Tokens that one node spent of one account in the last window."""

from collections import deque
from collections.abc import Iterable


class SpentTokens:
    """Times and numbers of spent tokens, with their sum."""

    __slots__ = ("_entries", "_total")

    def __init__(self, entries: Iterable[tuple[float, float]] = ()) -> None:
        self._entries = deque(entries)
        self._total = sum(tokens for _, tokens in self._entries)

    def add(self, at: float, tokens: float) -> None:
        """Add tokens that were spent until a time."""
        self._entries.append((at, tokens))
        self._total += tokens

    def take_back(self, tokens: float) -> None:
        """Forget tokens of the newest entry, because they were not needed."""
        if self._entries:
            at, newest = self._entries[-1]
            removed = min(newest, tokens)
            self._entries[-1] = (at, newest - removed)
            self._total -= removed

    def total(self, since: float) -> float:
        """Return the tokens spent after a time; older entries are forgotten."""
        while self._entries and self._entries[0][0] < since:
            self._total -= self._entries.popleft()[1]
        return self._total if self._entries else 0.0

    def scale(self, ratio: float) -> None:
        """Multiply all numbers."""
        self._entries = deque((at, tokens * ratio) for at, tokens in self._entries)
        self._total *= ratio

    def ages(self, now: float) -> list[tuple[float, float]]:
        """Return the age in seconds and the number of each entry."""
        return [(now - at, tokens) for at, tokens in self._entries]
