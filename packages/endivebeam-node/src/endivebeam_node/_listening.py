"""Listening ports of the daemon."""

import anyio
import anyio.abc
import msgspec

from endivebeam_http import SocketListener

from ._settings import Settings


class Ports(msgspec.Struct, frozen=True, kw_only=True):
    """Port numbers of the node's listeners."""

    caller: int
    local: int
    peer: int
    admin: int


async def listen(host: str, port: int) -> SocketListener:
    """Listen on a TCP port; 0 lets the kernel choose it."""
    multi = await anyio.create_tcp_listener(local_host=host, local_port=port)
    return multi.listeners[0]


def port_of(listener: SocketListener) -> int:
    """Return the port of a listener."""
    address = listener.extra(anyio.abc.SocketAttribute.local_address)
    return int(address[1])


def write_ports(settings: Settings, ports: Ports) -> None:
    """Write the ports as JSON to the ports file of the settings, if it is set."""
    path = settings.ports_file
    if path is None:
        return
    # Renamed into place, so that a reader never reads a partial file.
    partial = path.with_suffix(".partial")
    partial.write_bytes(msgspec.json.encode(ports))
    partial.rename(path)
