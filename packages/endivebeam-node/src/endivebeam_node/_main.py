"""Command line of ``endivebeamd``."""

import os
from pathlib import Path
from typing import Annotated

import anyio
import typer
from loguru import logger

from endivebeam_http import receive_signals

from ._daemon import Node
from ._logs import configure_logging
from ._loop import run_loop
from ._settings import Settings
from ._settings_load import describe_settings, read_settings

app = typer.Typer(add_completion=False, pretty_exceptions_show_locals=False)

EXIT_BAD_SETTINGS = 2


@app.command()
def run(
    settings: Annotated[Path, typer.Argument(help="Settings of the node in YAML.")],
    check: Annotated[bool, typer.Option(help="Check the settings and exit.")] = False,
) -> None:
    """Run one endivebeam node until SIGTERM.

    Variables such as ENDIVEBEAM_NODE_ID override the fields of the file.
    """
    loaded = read_settings(settings, os.environ)
    for finding in loaded.findings:
        typer.echo(finding, err=True)
    if loaded.value is None:
        raise typer.Exit(EXIT_BAD_SETTINGS)
    if check:
        typer.echo("settings are valid; effective settings:")
        typer.echo("\n".join(describe_settings(loaded.value)))
        return
    configure_logging(
        level=loaded.value.log_level, as_json=loaded.value.log_format == "json"
    )
    for line in describe_settings(loaded.value):
        logger.info("node: setting {}", line)
    run_loop(run_daemon, loaded.value)


def main() -> None:
    """Run the command line."""
    app()


async def run_daemon(settings: Settings) -> None:
    """Run a node until a stop is requested."""
    async with anyio.create_task_group() as tasks:
        node = Node(settings=settings, tasks=tasks)
        with receive_signals(on_stop=node.request_stop, on_hangup=_log_hangup):
            await node.run()
            tasks.cancel_scope.cancel()


def _log_hangup() -> None:
    logger.info("node: SIGHUP changes nothing; settings are read at the start")
