"""Client, output and error handling that all commands share."""

import json
import sys
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from ._client import FleetClient
from ._exits import ExitCode, ToolError

PIPE_COLUMNS = 200


class Format(Enum):
    """How results are printed."""

    TABLE = "table"
    JSON = "json"


@dataclass(slots=True, kw_only=True)
class Session:
    """Options of the command line that all commands share."""

    urls: list[str]
    token: str
    format: Format

    @property
    def as_json(self) -> bool:
        """Whether results are printed as JSON."""
        return self.format is Format.JSON

    def connect(self) -> FleetClient:
        """Return a client of the named nodes.

        Raises ``ToolError`` when no node or no operator token is given.
        """
        if not self.urls:
            raise ToolError(
                ExitCode.USAGE,
                "no node is named; give --url before the command, or set "
                "ENDIVEBEAM_URL",
            )
        if not self.token:
            raise ToolError(
                ExitCode.USAGE,
                "no operator token; set ENDIVEBEAM_TOKEN or give --token-file",
            )
        return FleetClient(urls=self.urls, token=self.token)

    def print_json(self, value: Any) -> None:
        """Print a value as JSON, whatever the format."""
        text = json.dumps(msgspec.to_builtins(value), indent=2)
        sys.stdout.write(text + "\n")

    def print_table(
        self, columns: Sequence[str], rows: Iterable[Sequence[object]]
    ) -> None:
        """Print rows as a table, or as a list of objects in JSON."""
        listed = list(rows)
        if self.as_json:
            self.print_json([dict(zip(columns, row, strict=True)) for row in listed])
            return
        make_console().print(make_table(columns, listed))


def make_console() -> Console:
    """Return a console; when piped, its lines are wide enough for a table."""
    return Console() if sys.stdout.isatty() else Console(width=PIPE_COLUMNS)


def make_table(columns: Sequence[str], rows: Iterable[Sequence[object]]) -> Table:
    """Return a table without borders."""
    table = Table(box=None, header_style="bold", pad_edge=False)
    for column in columns:
        table.add_column(column.replace("_", " "), overflow="fold")
    for row in rows:
        table.add_row(*(_format_cell(value) for value in row))
    return table


def print_note(message: str) -> None:
    """Print a message on standard error, apart from results for scripts."""
    typer.echo(message, err=True)


@contextmanager
def exit_on_error() -> Iterator[None]:
    """Print the message of a ``ToolError`` and exit with its code."""
    try:
        yield
    except ToolError as error:
        print_note(f"error: {error.message}")
        raise typer.Exit(error.code) from error


def _format_cell(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list | tuple):
        return ", ".join(str(item) for item in value)
    if isinstance(value, float):
        return f"{value:g}"
    return str(value)
