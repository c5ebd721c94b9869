"""A lifetime of the local target, from one start to the next, and its connections."""

from typing import NamedTuple

from loguru import logger

from endivebeam_fleet import Announcement
from endivebeam_http import (
    Connect,
    MemoryBudget,
    TargetConnection,
    TargetPool,
    connect_stream,
)
from endivebeam_model import Address

from ._clock import read_clock

# Consecutive connection failures after which the target counts as unreachable.
MAX_CONNECT_FAILURES = 2
UNREACHABLE_PAUSE_S = 0.5


class TargetLifetime(NamedTuple):
    """The target's instance and the connections to it."""

    instance: str
    pool: TargetPool


class PooledConnection(NamedTuple):
    """A connection for one call, and the lifetime whose pool it returns to."""

    lifetime: TargetLifetime
    connection: TargetConnection


class TargetReachability:
    """Whether connections to the target fail, so that calls are rejected at once."""

    def __init__(self) -> None:
        self._failures = 0
        self._paused_until = 0.0

    def is_paused(self) -> bool:
        """Return whether the target gets no calls for now."""
        return read_clock() < self._paused_until

    def end_pause(self) -> None:
        """Send calls again, because the target announced itself."""
        self._paused_until = 0.0

    def record_connection(self) -> None:
        """Record a connection that could be used."""
        self._failures = 0

    def record_failure(self, reason: str) -> None:
        """Record that the target could not be connected to."""
        self._failures += 1
        if self._failures >= MAX_CONNECT_FAILURES:
            self._paused_until = read_clock() + UNREACHABLE_PAUSE_S
            logger.bind(failures=self._failures, reason=reason).warning(
                "target: The target is unreachable."
            )


def start_lifetime(
    announcement: Announcement, *, budget: MemoryBudget | None = None
) -> TargetLifetime:
    """Return a new lifetime of the target, without connections yet."""
    pool = TargetPool(connect=_make_connect(announcement.address), budget=budget)
    return TargetLifetime(announcement.instance, pool)


def shared_fields(announcement: Announcement) -> tuple[object, ...]:
    """Return the fields of an announcement that other nodes need to know."""
    return (
        announcement.instance,
        announcement.born_ms,
        announcement.phase,
        announcement.slots,
        announcement.service,
    )


def _make_connect(address: Address) -> Connect:
    return lambda: connect_stream(address.host, address.port)
