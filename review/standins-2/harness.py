"""Parts that the scripts of the second review share.

The scripts run the program of the deploy file on several machines, each with its own
loopback address, beside the project's stand-ins of the platform's store, targets and
callers. ``CaseRecord`` writes what was sent, answered and run to ``record.txt``.
"""

import os
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
from loguru import logger

from endivebeam_model import Address
from thistlegate_standin import NodeProcess, Records, _deployment

ROOT = Path(__file__).resolve().parents[2]
# The command of ``deploy/system.toml``.
COMMAND = ("python3", "platform/run.py")
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
# A case may run for 120 s.
LIMIT_S = 100.0
# On the platform too, traffic starts some time after the machines.
SETTLE_S = 4.0
# Without the disruption the rule must hold.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class DeployedNode(NodeProcess):
    """A node that is started as ``DEPLOY.md`` tells."""

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self._should_run = True
        self.starts += 1
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                COMMAND,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", ""),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "ENDIVEBEAM_SETTINGS": str(self._settings),
                },
            )

    async def wait_for_restart(self) -> None:
        """Wait until the process that was killed has been started again."""
        starts = self.starts
        while self.starts == starts:
            await anyio.sleep(0.01)


# ``run_deployment`` creates its nodes by this name.
_deployment.NodeProcess = DeployedNode


class CaseRecord:
    """Lines of ``record.txt``, with the seconds since the case began."""

    def __init__(self, directory: Path) -> None:
        self._path = directory / "record.txt"
        self._lines: list[str] = []
        self._began_at = time.monotonic()

    def seconds(self, at: float) -> float:
        """Return the seconds since the case began."""
        return at - self._began_at

    def add(self, text: str, *, at: float | None = None) -> None:
        """Add a line; ``at`` is a time of the monotonic clock."""
        at = time.monotonic() if at is None else at
        self._lines.append(f"{self.seconds(at):9.3f} s  {text}")

    def add_traffic(self, records: Records) -> None:
        """Add a line for each request that was sent and answered, and each run."""
        for a in records.attempts:
            answer = f"{a.status} {a.outcome.value}" if a.status else a.outcome.value
            detail = f" ({a.detail[:80]})" if a.detail and not a.status else ""
            account = a.account or "-"
            self.add(f"{a.call_id} sent at {a.machine} for {account}", at=a.sent_at)
            self.add(f"{a.call_id} answered: {answer}{detail}", at=a.ended_at)
        for r in records.runs:
            account = r.account or "-"
            text = f"{r.call_id} runs at {r.instance} ({r.service}) for {account}"
            self.add(text, at=r.started_at)

    def write(self, verdict: str) -> None:
        """Write the lines in the order of their times, and the verdict."""
        self._lines.sort(key=lambda line: float(line.split(" s  ", 1)[0]))
        self._path.write_text("\n".join([*self._lines, verdict, ""]))


def run_case(directory: Path, case: Callable[[CaseRecord], Awaitable[str]]) -> None:
    """Run a case and exit with the status that tells its result.

    ``case`` returns how the rule was broken, or an empty text if it held.
    """
    logger.remove()
    record = CaseRecord(directory)
    status = EXIT_NOT_RUN
    verdict = "the case could not run"

    async def run() -> str:
        with anyio.fail_after(LIMIT_S):
            return await case(record)

    try:
        broken = anyio.run(run, backend_options={"use_uvloop": True})
        status = EXIT_BROKEN if broken else EXIT_HELD
        verdict = f"BROKEN: {broken}" if broken else "HELD"
    except (Exception, KeyboardInterrupt) as error:
        verdict = f"the case could not run: {error!r}"
    record.write(f"{verdict} (TROUBLE={int(HAS_TROUBLE)})")
    print(verdict)
    sys.exit(status)


def format_address(address: Address) -> tuple[str, int]:
    """Return an address as sockets take it."""
    return address.host, address.port
