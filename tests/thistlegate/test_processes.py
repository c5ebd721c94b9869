"""The stand-in for the processes of nodes."""

import os
import signal
import subprocess
from pathlib import Path

import pytest

from thistlegate_standin import NodeProcess
from thistlegate_standin._machines import Machine

EXIT_AT_ONCE = ("-c", "")


@pytest.fixture
def node(tmp_path: Path) -> NodeProcess:
    """Return the process of a node, not started, which exits at once."""
    machine = Machine(
        name="catalogue-0",
        zone="eu-a-1",
        region="eu-a",
        service="catalogue",
        ip="127.0.0.1",
    )
    return NodeProcess(
        machine=machine, settings="", directory=tmp_path, program=EXIT_AT_ONCE
    )


class TestSignal:
    def test_reaches_no_other_process_when_it_ends_meanwhile(
        self, node: NodeProcess, monkeypatch: pytest.MonkeyPatch
    ):
        """Guards against a signal to the process group of the tests, by process id 0.

        The process exits right after the first look whether it runs.
        """
        signalled: list[int] = []
        node.start()
        first = iter((None,))

        def poll(process: subprocess.Popen[bytes]) -> int | None:
            return next(first, 0)

        monkeypatch.setattr(subprocess.Popen, "poll", poll)
        monkeypatch.setattr(os, "kill", lambda pid, _: signalled.append(pid))
        node.signal(signal.SIGHUP)
        monkeypatch.undo()
        pid = node.pid
        node.kill(permanently=True)
        assert 0 not in signalled, pid

    def test_is_dropped_without_a_process(
        self, node: NodeProcess, monkeypatch: pytest.MonkeyPatch
    ):
        signalled: list[int] = []
        monkeypatch.setattr(os, "kill", lambda pid, _: signalled.append(pid))
        node.signal(signal.SIGHUP)
        assert signalled == []
