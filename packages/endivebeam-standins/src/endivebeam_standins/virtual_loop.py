"""An event loop whose time jumps to the next timer instead of waiting."""

import asyncio
import selectors
from collections.abc import Mapping
from typing import Protocol


class _HasFileno(Protocol):
    def fileno(self) -> int: ...


FileObject = int | _HasFileno


class _JumpSelector(selectors.BaseSelector):
    """Polls without waiting and adds the wait to the virtual time."""

    def __init__(self) -> None:
        self._real = selectors.DefaultSelector()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = self._real.select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set")
        self.now += max(0.0, timeout)
        return []

    def register(
        self, fileobj: FileObject, events: int, data: object = None
    ) -> selectors.SelectorKey:
        return self._real.register(fileobj, events, data)

    def unregister(self, fileobj: FileObject) -> selectors.SelectorKey:
        return self._real.unregister(fileobj)

    def get_map(self) -> Mapping[FileObject, selectors.SelectorKey]:
        return self._real.get_map()

    def close(self) -> None:
        self._real.close()


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks in virtual time, which starts at zero.

    Timers fire in order without waiting, so a minute of a quiet fleet takes
    milliseconds and every run with the same inputs is the same.
    """

    def __init__(self) -> None:
        self._jumps = _JumpSelector()
        super().__init__(self._jumps)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumps.now
