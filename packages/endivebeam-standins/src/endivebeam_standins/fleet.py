"""Runs a small fleet until it is stopped: ``make fleet``.

The fleet has three nodes in three failure domains, a target beside each node,
and the platform stand-in. Their addresses and an operator token are written as
shell variables to ``env.sh`` in the given directory.
"""

import shlex
import signal
import threading
from pathlib import Path
from typing import Annotated

import typer

from ._fleet import Fleet, run_fleet

NODES = (
    ("catalogue", "domain-a"),
    ("catalogue", "domain-b"),
    ("bookings", "domain-c"),
)


def start_nodes(fleet: Fleet) -> None:
    """Start the nodes and wait until each of them knows all targets."""
    for service, domain in NODES:
        fleet.start_node(service=service, domain=domain)
    for node in fleet.nodes:
        fleet.wait_for_members("catalogue", 2, node)
        fleet.wait_for_members("bookings", 1, node)


def write_environment(fleet: Fleet) -> Path:
    """Write the variables of the operator's tool and of a caller to ``env.sh``."""
    values = {
        "ENDIVEBEAM_URL": " ".join(node.admin_url for node in fleet.nodes),
        "ENDIVEBEAM_TOKEN": fleet.operator_token,
        "CALLER": fleet.nodes[0].caller_url,
        "PLATFORM": fleet.platform_url,
    }
    path = fleet.directory / "env.sh"
    lines = [f"export {name}={shlex.quote(value)}\n" for name, value in values.items()]
    path.touch(mode=0o600)
    path.write_text("".join(lines))
    return path


def main(
    directory: Annotated[Path, typer.Argument(help="Directory of logs and env.sh.")],
) -> None:
    """Run the fleet until SIGINT or SIGTERM."""
    directory.mkdir(parents=True, exist_ok=True)
    for old in directory.glob("*.json"):
        old.unlink()
    stop = threading.Event()
    for name in (signal.SIGINT, signal.SIGTERM):
        signal.signal(name, lambda *_: stop.set())
    with run_fleet(directory) as fleet:
        start_nodes(fleet)
        typer.echo(f"the fleet runs; in another shell: . {write_environment(fleet)}")
        stop.wait()


if __name__ == "__main__":
    typer.run(main)
