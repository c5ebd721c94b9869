"""Waits for a request to stop the daemon."""

import signal

import anyio


async def wait_for_stop(stop: anyio.Event) -> None:
    """Return on SIGTERM or SIGINT, or when an operator drains the node."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_set_on_signal, stop)
        await stop.wait()
        tasks.cancel_scope.cancel()


async def _set_on_signal(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stop.set()
