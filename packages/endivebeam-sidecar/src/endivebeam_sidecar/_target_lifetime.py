"""One life of the target beside a node, and connections to it."""

from typing import NamedTuple

from endivebeam_fleet import Announcement
from endivebeam_http import Connect, TargetConnection, TargetPool, connect_stream
from endivebeam_model import Address


class TargetLife(NamedTuple):
    """The instance and the connections that belong to it."""

    instance: str
    pool: TargetPool


class OpenedLine(NamedTuple):
    """A connection for one call, and the life of the target that it leads to."""

    life: TargetLife
    connection: TargetConnection


def begin_life(announcement: Announcement) -> TargetLife:
    """Return a life of the target without connections."""
    pool = TargetPool(connect=_connector(announcement.address))
    return TargetLife(announcement.instance, pool)


def identify(announcement: Announcement) -> tuple[object, ...]:
    """Return what other nodes have to know about a target."""
    return (
        announcement.instance,
        announcement.born_ms,
        announcement.phase,
        announcement.slots,
        announcement.service,
    )


def _connector(address: Address) -> Connect:
    return lambda: connect_stream(address.host, address.port)
