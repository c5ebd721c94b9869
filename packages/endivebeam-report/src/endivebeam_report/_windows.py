"""Windows of a report."""

import re

import msgspec
from returns.result import Failure, Result, Success

MAX_MINUTES = 24 * 60

_UNITS = {"m": 1, "h": 60, "d": 24 * 60}


class Window(msgspec.Struct, frozen=True):
    """A number of minutes before the end of a report, with its name."""

    name: str
    minutes: int


def parse_window(text: str) -> Result[Window, str]:
    """Read a window such as ``5m``, ``6h`` or ``1d``.

    >>> parse_window("6h").unwrap().minutes
    360
    """
    found = re.fullmatch(r"([1-9][0-9]{0,4})([mhd])", text)
    if found is None:
        return Failure(f"{text!r} is not a window; write it as 5m, 6h or 1d")
    minutes = int(found[1]) * _UNITS[found[2]]
    if minutes > MAX_MINUTES:
        return Failure(f"{text} is longer than 1d; ask for a shorter window")
    return Success(Window(text, minutes))
