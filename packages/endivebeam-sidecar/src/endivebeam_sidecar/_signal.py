"""An event whose waits have a timeout."""

import asyncio


class Signal:
    """An event that tasks wait for up to a timeout; it is replaced to reset it.

    A timed scope of ``anyio`` starts its timer again until the clock of the event
    loop has passed the deadline. That of ``uvloop`` counts milliseconds and is often
    behind, so each expiry costs dozens of iterations of the loop. This class starts
    one timer.
    """

    def __init__(self) -> None:
        self._is_set = False
        self._waiters: set[asyncio.Future[bool]] = set()

    def set(self) -> None:
        """Wake all waiting tasks."""
        self._is_set = True
        for waiter in self._waiters:
            _resolve(waiter, True)

    async def wait(self, timeout_s: float) -> bool:
        """Wait until the signal is set; return whether it was within the timeout."""
        if self._is_set:
            return True
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[bool] = loop.create_future()
        self._waiters.add(waiter)
        timer = loop.call_later(timeout_s, _resolve, waiter, False)
        try:
            return await waiter
        finally:
            timer.cancel()
            self._waiters.discard(waiter)


def _resolve(waiter: "asyncio.Future[bool]", value: bool) -> None:
    if not waiter.done():
        waiter.set_result(value)
