"""Which requests a node still takes while it stops as planned, and when it ends."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio

from ._clock import read_clock

# Callers use another node after two failed readiness checks, a second apart.
READINESS_DRAIN_S = 2.5
# Largest part of the time for a stop in which all requests are taken.
MAX_DRAIN_FRACTION = 0.5
POLL_S = 0.05
# For the last responses after the intake has ended at the end of the time.
LAST_RESPONSES_S = 0.5


class PlannedStop(NamedTuple):
    """A stop that is under way; times are seconds of the node's clock.

    Requests are accepted until ``ends_at`` at the latest, and only if they end by then.
    """

    drained_at: float
    ends_at: float

    def admits(self, needed_s: float, now: float) -> bool:
        """Return whether to take a request that may need a time in seconds.

        All requests are taken until ``drained_at``, when callers know of the stop.
        """
        return now < self.drained_at or now + needed_s <= self.ends_at

    def is_over(self, now: float, *, idle: bool) -> bool:
        """Return whether to accept no further request.

        ``idle`` tells whether nothing is in progress. A node that still has to finish
        something goes on serving meanwhile.
        """
        return now >= self.ends_at or (idle and now > self.drained_at)


def start_planned_stop(*, limit_s: float, now: float) -> PlannedStop:
    """Return a stop that starts now and takes at most ``limit_s`` seconds.

    >>> stop = start_planned_stop(limit_s=5.0, now=10.0)
    >>> stop.admits(3.0, 12.0), stop.admits(3.0, 13.0), stop.admits(1.0, 13.0)
    (True, False, True)
    """
    drain_s = min(READINESS_DRAIN_S, MAX_DRAIN_FRACTION * limit_s)
    return PlannedStop(drained_at=now + drain_s, ends_at=now + limit_s)


async def finish_requests(
    stop: PlannedStop,
    *,
    is_idle: Callable[[], bool],
    end_intake: Callable[[], None],
    is_finished: Callable[[], bool],
    clock: Callable[[], float] = read_clock,
    sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
) -> None:
    """Serve until nothing is in progress, then accept nothing and answer the rest.

    ``is_idle`` tells whether nothing is in progress, ``is_finished`` whether callers
    have all responses too. Nothing is awaited between the last look at ``is_idle`` and
    ``end_intake``, since a request that arrives in between would be cut off.
    """
    while not stop.is_over(clock(), idle=is_idle()):
        await sleep(POLL_S)
    end_intake()
    ends_at = clock() + LAST_RESPONSES_S
    while not is_finished() and clock() < ends_at:
        await sleep(POLL_S)
