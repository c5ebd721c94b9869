"""Findings in operators' documents and the places they point to."""

from collections.abc import Mapping
from enum import Enum

import msgspec

Path = tuple[str | int, ...]
"""Keys and list indexes that lead from the top of a document to a value."""


class Severity(Enum):
    """An error refuses a document; a warning does not."""

    ERROR = "error"
    WARNING = "warning"


class Place(msgspec.Struct, frozen=True):
    """Line and column of a value, both counted from 1."""

    line: int
    column: int


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """One thing that is wrong, where it is and what to do about it."""

    file: str
    line: int
    column: int
    path: str
    severity: Severity
    message: str

    def __str__(self) -> str:
        """Format the finding so that editors can jump to it."""
        where = f"{self.file}:{self.line}:{self.column}"
        path = f"{self.path}: " if self.path else ""
        return f"{where}: {self.severity.value}: {path}{self.message}"


class Source(msgspec.Struct, frozen=True, kw_only=True):
    """The plain data of a YAML document with the place of each value."""

    file: str
    data: object
    places: Mapping[Path, Place]

    def make_finding(
        self, path: Path, message: str, severity: Severity = Severity.ERROR
    ) -> Finding:
        """Return a finding at the value of a path or its closest ancestor."""
        place = self.find_place(path)
        return Finding(
            file=self.file,
            line=place.line,
            column=place.column,
            path=format_path(path),
            severity=severity,
            message=message,
        )

    def find_place(self, path: Path) -> Place:
        """Return the place of a value or of its closest ancestor."""
        for length in range(len(path), -1, -1):
            place = self.places.get(path[:length])
            if place is not None:
                return place
        return Place(1, 1)


def format_path(path: Path) -> str:
    """Write a path the way operators read it.

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
    """Return whether any finding refuses the document."""
    return any(finding.severity is Severity.ERROR for finding in findings)
