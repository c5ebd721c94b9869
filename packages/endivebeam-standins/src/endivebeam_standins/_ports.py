"""Tells a parent which port a stand-in listens on."""

from pathlib import Path

import msgspec


class Port(msgspec.Struct, frozen=True):
    """The listening port of a stand-in."""

    port: int


def write_port(path: Path, port: int) -> None:
    """Write the port to a file that appears complete or not at all."""
    partial = path.with_suffix(".partial")
    partial.write_bytes(msgspec.json.encode(Port(port)))
    partial.rename(path)
