"""Command line of ``endivebeamd``."""

import os
from pathlib import Path
from typing import Annotated

import typer
from loguru import logger

from ._daemon import run_daemon
from ._logs import configure_logging
from ._loop import run_loop
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
