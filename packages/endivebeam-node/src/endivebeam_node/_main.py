"""Command line of ``endivebeamd``."""

import sys
from pathlib import Path
from typing import Annotated

import typer
from loguru import logger
from pydantic import ValidationError

from ._daemon import run_daemon
from ._loop import run_loop
from ._settings import load_settings

app = typer.Typer(add_completion=False)

EXIT_BAD_SETTINGS = 2


@app.command()
def run(
    settings: Annotated[Path, typer.Argument(help="Settings of the node in YAML.")],
    check: Annotated[bool, typer.Option(help="Check the settings and exit.")] = False,
) -> None:
    """Run one endivebeam node until SIGTERM."""
    try:
        loaded = load_settings(settings)
    except (ValidationError, OSError) as error:
        typer.echo(f"{settings}: {error}", err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS) from error
    if check:
        typer.echo("settings are valid")
        return
    logger.remove()
    logger.add(sys.stderr, level=loaded.log_level)
    run_loop(run_daemon, loaded)


def main() -> None:
    """Run the command line."""
    app()
