"""Runs the commands of the operator tutorial in the README against a fleet."""

import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

from endivebeam_standins import run_fleet
from endivebeam_standins.fleet import start_nodes, write_environment

README = Path(__file__).parents[1] / "README.md"
SECTION_TITLE = "## From nothing to a withdrawn key"
TIMEOUT_S = 120


def read_commands() -> list[str]:
    """Return the shell blocks of the tutorial that follow the start of the fleet."""
    section = README.read_text().split(SECTION_TITLE)[1].split("\n## ")[0]
    blocks = re.findall(r"```sh\n(.*?)```", section, re.DOTALL)
    assert blocks[0] == "make fleet\n"
    return [block.replace(". .venv/bin/activate\n", "") for block in blocks[1:]]


def write_command(directory: Path) -> None:
    """Write an ``endivebeam`` command that runs the operator's tool of this checkout.

    The README expects an installed command on the path.
    """
    directory.mkdir()
    tool = directory / "endivebeam"
    tool.write_text(f'#!/bin/sh\nexec {sys.executable} -m endivebeam_cli "$@"\n')
    tool.chmod(0o755)


@pytest.mark.process
class TestReadme:
    def test_readme_commands_work_on_a_fleet(self, tmp_path: Path):
        """Guards against README commands that fail and keys that appear in logs."""
        directory = tmp_path / "build" / "fleet"
        directory.mkdir(parents=True)
        write_command(tmp_path / "bin")
        env = os.environ | {
            "PATH": f"{tmp_path / 'bin'}:{os.environ['PATH']}",
            "PYTHONPATH": os.pathsep.join(sys.path),
        }
        script = "".join(f"echo '== {n}'\n{b}" for n, b in enumerate(read_commands()))
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
            assert "eb_" not in log.read_text(), f"{log.name} contains a key"
