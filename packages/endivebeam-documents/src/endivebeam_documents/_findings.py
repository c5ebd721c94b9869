"""Findings in operators' documents and their positions."""

from collections.abc import Mapping
from enum import Enum

import msgspec

Path = tuple[str | int, ...]
"""Field names and list indexes from the top of a document to a value."""


class Severity(Enum):
    """An error rejects the document; a warning does not."""

    ERROR = "error"
    WARNING = "warning"


class Position(msgspec.Struct, frozen=True):
    """Line and column of a value, both counted from 1."""

    line: int
    column: int


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """A problem in a document, its position and what to do about it."""

    file: str
    line: int
    column: int
    path: str
    severity: Severity
    message: str

    def __str__(self) -> str:
        """Format as ``file:line:column: ...``, which editors can jump to."""
        location = f"{self.file}:{self.line}:{self.column}"
        path = f"{self.path}: " if self.path else ""
        return f"{location}: {self.severity.value}: {path}{self.message}"


class Source(msgspec.Struct, frozen=True, kw_only=True):
    """The plain data of a YAML document with the position of each value."""

    file: str
    data: object
    positions: Mapping[Path, Position]

    def make_finding(
        self, path: Path, message: str, severity: Severity = Severity.ERROR
    ) -> Finding:
        """Return a finding at the value of a path or of its closest ancestor."""
        position = self.find_position(path)
        return Finding(
            file=self.file,
            line=position.line,
            column=position.column,
            path=format_path(path),
            severity=severity,
            message=message,
        )

    def find_position(self, path: Path) -> Position:
        """Return the position of a value or of its closest ancestor."""
        for length in range(len(path), -1, -1):
            position = self.positions.get(path[:length])
            if position is not None:
                return position
        return Position(1, 1)


def format_path(path: Path) -> str:
    """Format a path for messages.

    >>> format_path(("accounts", 0, "burst"))
    'accounts[0].burst'
    """
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text


def has_errors(findings: list[Finding]) -> bool:
    """Return whether any finding rejects the document."""
    return any(finding.severity is Severity.ERROR for finding in findings)
