"""Explains the outcome of one request from the logs of many nodes."""

import json
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Annotated

import typer

from ._exits import ExitCode, ToolError
from ._session import exit_on_error

# Lines of these parts report state changes of a node and are shown as context.
CONTEXT_PARTS = frozenset({"config", "target", "store", "peers", "members", "limits"})
MAX_CONTEXT_LINES = 8
_HEADER_FIELDS = frozenset({"at", "level", "node", "part", "message", "id"})

LogLine = dict[str, object]


def explain(
    request_id: Annotated[str, typer.Argument(help="Id of the request.")],
    logs: Annotated[
        list[Path] | None,
        typer.Argument(help="Log files of nodes; standard input when none is named."),
    ] = None,
) -> None:
    """Print all log lines about a request in order, and its outcome.

    Example: ``endivebeam explain 9c41d07be2a35f68 logs/*.log``
    """
    with exit_on_error():
        lines = list(read_lines(logs or []))
        request_lines = find_request_lines(lines, request_id)
        if not request_lines:
            message = (
                f"no log line has the id {request_id}; lines of served requests are "
                "sampled, those of failed ones are dropped above the log rate limit"
            )
            raise ToolError(ExitCode.FINDINGS, message)
        typer.echo(
            "\n".join(
                format_explanation(request_lines, find_context(lines, request_lines))
            )
        )


def read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the JSON log lines of files; other text is skipped.

    Raises ``ToolError`` for a file that cannot be read.
    """
    if not paths:
        yield from _parse(sys.stdin)
    for path in paths:
        try:
            with path.open(errors="replace") as stream:
                yield from _parse(stream)
        except OSError as error:
            raise ToolError(
                ExitCode.USAGE, f"{path} cannot be read: {error}"
            ) from error


def find_request_lines(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Return the lines of a request and of its nested calls, by time."""
    request_lines = [line for line in lines if _concerns(line, request_id)]
    return sorted(request_lines, key=lambda line: str(line.get("at")))


def find_context(
    lines: Iterable[LogLine], request_lines: list[LogLine]
) -> list[LogLine]:
    """Return the last state changes that nodes of a request logged before its end."""
    nodes = {line.get("node") for line in request_lines} | {
        line.get("peer") for line in request_lines
    }
    end = str(request_lines[-1].get("at"))
    state_lines = [
        line
        for line in lines
        if line.get("part") in CONTEXT_PARTS
        and line.get("node") in nodes
        and "id" not in line
        and str(line.get("at")) <= end
    ]
    return sorted(state_lines, key=lambda line: str(line.get("at")))[
        -MAX_CONTEXT_LINES:
    ]


def format_explanation(
    request_lines: list[LogLine], context: list[LogLine]
) -> Iterator[str]:
    """Yield the lines of the output: context, request and outcome."""
    if context:
        yield "Earlier state changes of these nodes:"
        for line in context:
            yield f"  {_format_line(line)}"
    yield "The request:"
    for line in request_lines:
        yield f"  {_format_line(line)}"
    last = request_lines[-1]
    verdict = last.get("reason") or last.get("outcome") or last.get("message")
    ran = {"not-run": "nothing ran", "unknown": "it may have run"}.get(
        str(last.get("run")), "a target answered"
    )
    yield f"Verdict: {verdict}; {ran}."


def _concerns(line: LogLine, request_id: str) -> bool:
    # The id of a nested call is that of its request, a dot and a suffix.
    line_id = str(line.get("id", ""))
    return line_id == request_id or line_id.startswith(f"{request_id}.")


def _parse(stream: Iterable[str]) -> Iterator[LogLine]:
    for text in stream:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # Other programs may write to the same file.
            continue
        if isinstance(line, dict) and "message" in line:
            yield line


def _format_line(line: LogLine) -> str:
    values = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in _HEADER_FIELDS
    )
    head = f"{line.get('at')} {line.get('node')} {line.get('part')}:"
    return f"{head} {line.get('message')} {values}".rstrip()
