"""A small fleet as separate processes, called with a plain HTTP client."""

from pathlib import Path

import pytest

from endivebeam_standins import run_fleet
from endivebeam_standins.demo import (
    Demo,
    show_calls,
    show_drain,
    show_kill,
    show_withdrawal,
    start_fleet,
    write_contracts,
)


@pytest.mark.process
class TestFleet:
    def test_calls_survive_withdrawal_drain_and_kill(self, tmp_path: Path):
        """Guards against cut or misrouted answers while the fleet changes."""
        with run_fleet(tmp_path) as fleet:
            demo = Demo(fleet=fleet)
            start_fleet(fleet)
            write_contracts(demo)
            for show in (show_calls, show_withdrawal, show_drain, show_kill):
                show(demo)
            assert demo.failures == []
