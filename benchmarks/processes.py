"""CPU time, memory and open files of the nodes of a fleet, from ``/proc``."""

import os
from pathlib import Path

from endivebeam_standins import FleetNode


def read_cpu_s(node: FleetNode) -> float:
    """Return the CPU time of a node's process in seconds."""
    fields = Path(f"/proc/{node.node.pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_memory_mb(node: FleetNode) -> float:
    """Return the resident memory of a node's process in MiB."""
    status = Path(f"/proc/{node.node.pid}/status").read_text()
    resident = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return int(resident.split()[1]) / 1024


def count_open_files(node: FleetNode) -> int:
    """Return the number of open files of a node's process."""
    return len(list(Path(f"/proc/{node.node.pid}/fd").iterdir()))
