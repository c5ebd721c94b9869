"""One life of the target beside a node, and connections to it."""

from typing import NamedTuple

from endivebeam_fleet import Announcement
from endivebeam_http import Connect, TargetConnection, TargetPool, connect_stream
from endivebeam_model import Address


class TargetLifetime(NamedTuple):
    """The instance and the connections that belong to it."""

    instance: str
    pool: TargetPool


class PooledConnection(NamedTuple):
    """A connection for one call, and the life of the target that it leads to."""

    lifetime: TargetLifetime
    connection: TargetConnection


def start_lifetime(announcement: Announcement) -> TargetLifetime:
    """Return a life of the target without connections."""
    pool = TargetPool(connect=_make_connect(announcement.address))
    return TargetLifetime(announcement.instance, pool)


def shared_fields(announcement: Announcement) -> tuple[object, ...]:
    """Return what other nodes have to know about a target."""
    return (
        announcement.instance,
        announcement.born_ms,
        announcement.phase,
        announcement.slots,
        announcement.service,
    )


def _make_connect(address: Address) -> Connect:
    return lambda: connect_stream(address.host, address.port)
