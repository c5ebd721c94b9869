"""Signals that the platform sends to the process of a node."""

import asyncio
import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import FrameType

import anyio
from loguru import logger

SignalHandler = Callable[[int, FrameType | None], None]


@contextmanager
def receive_signals() -> Iterator[anyio.Event]:
    """Yield an event that SIGTERM sets; neither it nor SIGHUP ends the process.

    The handlers remain while the node stops. Both signals are ignored afterwards, so
    that their default action can't end the process before it exits by itself.

    >>> async def run():
    ...     with receive_signals() as stop:
    ...         signal.raise_signal(signal.SIGHUP)
    ...         signal.raise_signal(signal.SIGTERM)
    ...         await stop.wait()
    >>> anyio.run(run)
    """
    stop = anyio.Event()
    signal.signal(signal.SIGTERM, _call_in_loop(stop.set))
    signal.signal(signal.SIGHUP, _call_in_loop(_log_change))
    try:
        yield stop
    finally:
        ignore_signals()


def ignore_signals() -> None:
    """Ignore SIGTERM and SIGHUP from now on."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _call_in_loop(callback: Callable[[], None]) -> SignalHandler:
    """Return a handler that calls ``callback`` in the running event loop."""
    loop = asyncio.get_running_loop()

    def handle(number: int, frame: FrameType | None) -> None:
        # The handler may interrupt any code, so it does nothing else.
        loop.call_soon_threadsafe(callback)

    return handle


def _log_change() -> None:
    logger.info("node: The settings file changed; it is read only at the start.")
