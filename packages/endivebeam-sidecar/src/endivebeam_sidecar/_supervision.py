"""Background tasks that survive their own unexpected errors."""

from collections.abc import Awaitable, Callable

import anyio
from loguru import logger

RESTART_DELAY_S = 0.5


async def supervise(loop: Callable[[], Awaitable[None]]) -> None:
    """Run a background task and restart it when it fails unexpectedly."""
    while True:
        await run_logged(loop)
        await anyio.sleep(RESTART_DELAY_S)


async def run_logged(task: Callable[[], Awaitable[None]]) -> None:
    """Run a background task and log its unexpected failure."""
    try:
        await task()
    except Exception:
        logger.exception("node: A background task failed.")
