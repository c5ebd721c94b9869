"""Exit codes and the error that ends a command."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of the tool, for scripts.

    Typer itself exits with 2 for a wrong option.
    """

    OK = 0
    FINDINGS = 1
    USAGE = 2
    UNREACHABLE = 3
    UNAUTHORIZED = 4
    CONFLICT = 5
    NOT_IN_FORCE = 6
    STORE_DOWN = 7
    REFUSED = 8


class ToolError(Exception):
    """Ends a command with an exit code; the message says what to do next."""

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
