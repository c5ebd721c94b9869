"""Loops in which a node observes itself."""

import asyncio

import anyio
from loguru import logger

from ._links import Links
from ._metrics import SidecarMetrics

LAG_PERIOD_S = 1.0
# A delay of the event loop that callers notice.
LONG_LAG_S = 0.1
STREAM_BYTES_PERIOD_S = 0.25


async def measure_lag(metrics: SidecarMetrics) -> None:
    """Record how late the event loop runs a timer, until cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        due = loop.time() + LAG_PERIOD_S
        await anyio.sleep(LAG_PERIOD_S)
        lag_s = max(0.0, loop.time() - due)
        metrics.loop_lag.observe(lag_s)
        if lag_s > LONG_LAG_S:
            logger.bind(lag_ms=int(lag_s * 1000)).warning(
                "node: The event loop was blocked."
            )


async def count_stream_bytes(links: Links) -> None:
    """Count now and then what the streams hold, as the kernel takes it at any time."""
    while True:
        await anyio.sleep(STREAM_BYTES_PERIOD_S)
        links.update_held()
