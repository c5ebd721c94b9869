"""The program for the platform imports only libraries that its build installs."""

import re
import subprocess
import sys
from importlib import metadata
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"

# Imports the program after blocking all third-party modules that the build doesn't
# install.
PROGRAM = """
import importlib.abc, sys

allowed, known = set(sys.argv[1].split(",")), set(sys.argv[2].split(","))


class MissingModules(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path=None, target=None):
        root = name.partition(".")[0]
        if root in known and root not in allowed:
            raise ModuleNotFoundError(f"{name} is not installed by the build")


sys.meta_path.insert(0, MissingModules())
sys.argv = ["platform/run.py"]
sys.path.insert(0, "platform")
import runpy

runpy.run_path("platform/run.py", run_name="imported")
"""


def read_requirements() -> set[str]:
    """Return the distributions that the build of the platform installs."""
    names = re.findall(r"^([A-Za-z0-9_.-]+)==", REQUIREMENTS.read_text(), re.MULTILINE)
    return {normalize(name) for name in names}


def normalize(name: str) -> str:
    return re.sub(r"[-_.]+", "-", name).lower()


class TestBuild:
    def test_installs_every_library_that_the_program_imports(self):
        # Guards against an import of a library that is installed only on developers'
        # machines, with which the program doesn't start on a clean machine.
        requirements = read_requirements()
        modules = metadata.packages_distributions()
        third_party = {
            module: {normalize(name) for name in names}
            for module, names in modules.items()
            if not module.startswith("endivebeam")
        }
        allowed = {m for m, names in third_party.items() if names & requirements}
        result = subprocess.run(
            [sys.executable, "-c", PROGRAM, ",".join(allowed), ",".join(third_party)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        assert result.returncode == 0, result.stderr
