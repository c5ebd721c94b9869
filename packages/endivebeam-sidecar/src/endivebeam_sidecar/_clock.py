"""Clock for leases and deadlines."""

import time
from functools import partial

# Returns seconds of a monotonic clock that also runs during suspension. Each call is
# stamped many times, so it is read without a Python function around it.
read_clock = partial(time.clock_gettime, time.CLOCK_BOOTTIME)
