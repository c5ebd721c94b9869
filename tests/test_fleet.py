"""A small fleet as separate processes, called with a plain HTTP client."""

import contextlib
from collections.abc import Iterator
from pathlib import Path

import pytest

from endivebeam_standins import FleetNode, run_fleet
from endivebeam_standins.demo import (
    Demo,
    show_calls,
    show_drain,
    show_kill,
    show_withdrawal,
    start_fleet,
    write_contracts,
)


def opens_io_uring(node: FleetNode) -> bool:
    """Return whether a node's process has an io_uring among its open files."""
    return any("io_uring" in name for name in read_open_files(node))


def read_open_files(node: FleetNode) -> Iterator[str]:
    """Yield what the open files of a node's process are."""
    for file in Path(f"/proc/{node.node.pid}/fd").iterdir():
        # A connection may be closed between the listing and the reading.
        with contextlib.suppress(FileNotFoundError):
            yield str(file.readlink())


@pytest.mark.process
class TestFleet:
    def test_calls_survive_withdrawal_drain_and_kill(self, tmp_path: Path):
        """Guards against lost answers while the fleet changes, and against io_uring."""
        with run_fleet(tmp_path) as fleet:
            demo = Demo(fleet=fleet)
            start_fleet(fleet)
            write_contracts(demo)
            for show in (show_calls, show_withdrawal, show_drain, show_kill):
                show(demo)
            assert demo.failures == []
            assert [n.name for n in fleet.nodes if opens_io_uring(n)] == []
