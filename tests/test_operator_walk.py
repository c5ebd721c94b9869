"""Runs the commands of the README against a fleet."""

import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

from endivebeam_standins import run_fleet
from endivebeam_standins.fleet import start_nodes, write_environment

README = Path(__file__).parents[1] / "README.md"
WALK = "## From nothing to a withdrawn key"
TIMEOUT_S = 120


def read_walk() -> list[str]:
    """Return the shell blocks of the walk after the start of the fleet."""
    section = README.read_text().split(WALK)[1].split("\n## ")[0]
    blocks = re.findall(r"```sh\n(.*?)```", section, re.DOTALL)
    assert blocks[0] == "make fleet\n"
    return [block.replace(". .venv/bin/activate\n", "") for block in blocks[1:]]


def write_tool(directory: Path) -> None:
    """Put the tool of this checkout on the path, as an installation does."""
    directory.mkdir()
    tool = directory / "endivebeam"
    tool.write_text(f'#!/bin/sh\nexec {sys.executable} -m endivebeam_cli "$@"\n')
    tool.chmod(0o755)


@pytest.mark.process
class TestWalk:
    def test_readme_leads_from_nothing_to_a_withdrawn_key(self, tmp_path: Path):
        """Guards against a README whose commands fail for a new operator."""
        directory = tmp_path / "build" / "fleet"
        directory.mkdir(parents=True)
        write_tool(tmp_path / "bin")
        env = os.environ | {
            "PATH": f"{tmp_path / 'bin'}:{os.environ['PATH']}",
            "PYTHONPATH": os.pathsep.join(sys.path),
        }
        script = "".join(f"echo '== {n}'\n{b}" for n, b in enumerate(read_walk()))
        with run_fleet(directory) as fleet:
            start_nodes(fleet)
            write_environment(fleet)
            done = subprocess.run(
                ["bash", "-eu", "-c", script],
                cwd=tmp_path,
                env=env,
                capture_output=True,
                text=True,
                timeout=TIMEOUT_S,
                check=False,
            )
        assert done.returncode == 0, done.stdout + done.stderr
        _, _, contract, call, change, metrics, withdrawal, _ = done.stdout.split("== ")
        assert "add contract northfit-rentals" in contract
        assert '"path":"/treadmills?page=2"' in call
        assert "rate_per_s 120.0 -> 150.0" in change
        assert 'account="northfit-rentals",outcome="complete"} 1.0' in metrics
        assert "key_withdrawn" in withdrawal
        assert "node catalogue-2 has left" in done.stderr
        for log in directory.glob("*.log"):
            assert "eb_" not in log.read_text(), f"a key is in {log.name}"
