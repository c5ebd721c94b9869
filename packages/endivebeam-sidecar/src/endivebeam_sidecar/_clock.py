"""Clock for leases and deadlines."""

import time


def read_clock() -> float:
    """Return seconds of a monotonic clock that also runs during suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
