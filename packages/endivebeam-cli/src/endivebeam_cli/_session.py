"""What all commands share: the client, the output and the end of a command."""

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
from ._exits import Exit, ToolError

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
        """Return a client of the named nodes."""
        if not self.urls:
            raise ToolError(
                Exit.USAGE,
                "no node is named; give --url before the command, or set "
                "ENDIVEBEAM_URL",
            )
        if not self.token:
            raise ToolError(
                Exit.USAGE,
                "no operator token; set ENDIVEBEAM_TOKEN or give --token-file",
            )
        return FleetClient(urls=self.urls, token=self.token)

    def show(self, value: Any) -> None:
        """Print a value as JSON, whatever the format."""
        text = json.dumps(msgspec.to_builtins(value), indent=2)
        sys.stdout.write(text + "\n")

    def show_table(
        self, columns: Sequence[str], rows: Iterable[Sequence[object]]
    ) -> None:
        """Print rows as a table, or as a list of objects in JSON."""
        listed = list(rows)
        if self.as_json:
            self.show([dict(zip(columns, row, strict=True)) for row in listed])
            return
        make_console().print(make_table(columns, listed))


def make_console() -> Console:
    """Return the console; pipes get lines wide enough for a table."""
    return Console() if sys.stdout.isatty() else Console(width=PIPE_COLUMNS)


def make_table(columns: Sequence[str], rows: Iterable[Sequence[object]]) -> Table:
    """Return a table of plain values."""
    table = Table(box=None, header_style="bold", pad_edge=False)
    for column in columns:
        table.add_column(column.replace("_", " "), overflow="fold")
    for row in rows:
        table.add_row(*(_format_cell(value) for value in row))
    return table


def say(message: str) -> None:
    """Print a note to people; never part of a result that scripts read."""
    typer.echo(message, err=True)


@contextmanager
def errors_end_command() -> Iterator[None]:
    """Turn a ``ToolError`` into its message and exit code."""
    try:
        yield
    except ToolError as error:
        say(f"error: {error.message}")
        raise typer.Exit(error.code) from error


def _format_cell(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list | tuple):
        return ", ".join(str(item) for item in value)
    if isinstance(value, float):
        return f"{value:g}"
    return str(value)
