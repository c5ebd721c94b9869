"""Clock of the running event loop."""

import asyncio


def read_clock() -> float:
    """Return the monotonic time of the running loop in seconds.

    Reads the loop directly, because looking up the backend in
    ``anyio.current_time`` takes several times as long and a call reads the clock
    about ten times.
    """
    return asyncio.get_running_loop().time()
