"""Sends responses on a connection whose caller may read slowly."""

import time
from collections.abc import Callable

import anyio

from ._slow_readers import SendProgress
from ._tasks import TaskSet
from ._transport import TcpStream


class ResponseSender:
    """Sends on one connection until its write buffer is full.

    ``is_blocked`` is set from then on until the buffer is low again, when
    ``on_writable`` is called. ``on_broken`` is called if the connection has ended.
    """

    def __init__(
        self,
        *,
        stream: TcpStream,
        tasks: TaskSet,
        on_writable: Callable[[], None],
        on_broken: Callable[[], None],
    ) -> None:
        self._stream = stream
        self._tasks = tasks
        self._on_writable = on_writable
        self._on_broken = on_broken
        self._progress = SendProgress()
        self.is_blocked = False

    def stalled_s(self, now: float) -> float:
        """Return for how long the caller has taken none of the sent bytes."""
        self._progress.update(unsent_bytes=self._stream.unsent_bytes, now=now)
        return self._progress.stalled_s(now=now)

    def send(self, data: bytes) -> bool:
        """Send bytes; return whether the connection is still usable."""
        try:
            is_writable = self._stream.send_now(data)
        except anyio.BrokenResourceError:
            self._on_broken()
            return False
        self._progress.record_sent(
            len(data), unsent_bytes=self._stream.unsent_bytes, now=time.monotonic()
        )
        if not is_writable and not self.is_blocked:
            self.is_blocked = True
            self._tasks.spawn(self._resume())
        return True

    async def _resume(self) -> None:
        """Wait until the write buffer is low."""
        try:
            await self._stream.drain()
        except anyio.BrokenResourceError:
            self._on_broken()
            return
        self.is_blocked = False
        self._on_writable()
