"""Ports files, through which a stand-in process reports its port to its parent."""

from pathlib import Path

import msgspec


class Port(msgspec.Struct, frozen=True):
    """The listening port of a stand-in."""

    port: int


def write_port(path: Path, port: int) -> None:
    """Write the port to a file atomically, so that no reader sees a part of it."""
    partial = path.with_suffix(".partial")
    partial.write_bytes(msgspec.json.encode(Port(port)))
    partial.rename(path)
