"""Signals to the process of a server, from its start to its end."""

import asyncio
import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import FrameType

SignalHandler = Callable[[int, FrameType | None], None]
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@contextmanager
def receive_signals(
    *, on_stop: Callable[[], None], on_hangup: Callable[[], None]
) -> Iterator[None]:
    """Call ``on_stop`` at SIGTERM or SIGINT and ``on_hangup`` at SIGHUP.

    The context must enclose the planned stop too, which a further signal would
    otherwise cut short. The signals are ignored afterwards, so that their default
    action can't end the process before it exits by itself. Both functions are called
    in the running event loop.

    >>> async def run():
    ...     stop = anyio.Event()
    ...     with receive_signals(on_stop=stop.set, on_hangup=reload_settings):
    ...         await stop.wait()
    ...         await finish_requests()
    """
    handle_stop = _call_in_loop(on_stop)
    handlers = dict.fromkeys(STOP_SIGNALS, handle_stop)
    handlers[signal.SIGHUP] = _call_in_loop(on_hangup)
    for number, handler in handlers.items():
        signal.signal(number, handler)
    try:
        yield
    finally:
        for number in handlers:
            signal.signal(number, signal.SIG_IGN)


def _call_in_loop(callback: Callable[[], None]) -> SignalHandler:
    """Return a handler that calls ``callback`` in the running event loop."""
    loop = asyncio.get_running_loop()

    def handle(number: int, frame: FrameType | None) -> None:
        # The handler may interrupt any code, so it does nothing else.
        loop.call_soon_threadsafe(callback)

    return handle
