"""A lifetime of the local target, from one start to the next, and its connections."""

from typing import NamedTuple

from endivebeam_fleet import Announcement
from endivebeam_http import Connect, TargetConnection, TargetPool, connect_stream
from endivebeam_model import Address


class TargetLifetime(NamedTuple):
    """The target's instance and the connections to it."""

    instance: str
    pool: TargetPool


class PooledConnection(NamedTuple):
    """A connection for one call, and the lifetime whose pool it returns to."""

    lifetime: TargetLifetime
    connection: TargetConnection


def start_lifetime(announcement: Announcement) -> TargetLifetime:
    """Return a new lifetime of the target, without connections yet."""
    pool = TargetPool(connect=_make_connect(announcement.address))
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
