"""Event loop in virtual time."""

import asyncio
import selectors


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that advances its clock to the next timer instead of waiting."""

    def __init__(self) -> None:
        self._now = 1000.0
        super().__init__(_VirtualTimeSelector(self))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the virtual time."""
        self._now += seconds


class _VirtualTimeSelector(selectors.DefaultSelector):
    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout:
            self._loop.advance(timeout)
        return super().select(0)
