"""An event loop in virtual time, which advances to the next timer at once."""

import asyncio
import selectors
from collections.abc import Mapping
from typing import Protocol


class _HasFileno(Protocol):
    def fileno(self) -> int: ...


FileObject = int | _HasFileno


class _VirtualTimeSelector(selectors.BaseSelector):
    """Polls without blocking and adds the timeout to the virtual time."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = self._selector.select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("deadlock: no task is ready and no timer is scheduled")
        self.now += max(0.0, timeout)
        return []

    def register(
        self, fileobj: FileObject, events: int, data: object = None
    ) -> selectors.SelectorKey:
        return self._selector.register(fileobj, events, data)

    def unregister(self, fileobj: FileObject) -> selectors.SelectorKey:
        return self._selector.unregister(fileobj)

    def get_map(self) -> Mapping[FileObject, selectors.SelectorKey]:
        return self._selector.get_map()

    def close(self) -> None:
        self._selector.close()


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks in virtual time, which starts at zero.

    Timers fire in order without waiting, so a virtual minute of an idle fleet
    takes milliseconds, and runs with the same inputs are identical.
    """

    def __init__(self) -> None:
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._time_selector.now
