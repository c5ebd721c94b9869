"""Time windows of a report."""

import re

import msgspec
from returns.result import Failure, Result, Success

MAX_MINUTES = 24 * 60

_MINUTES_PER_UNIT = {"m": 1, "h": 60, "d": 24 * 60}


class Window(msgspec.Struct, frozen=True):
    """A window of some minutes up to the end of a report, and its name."""

    name: str
    minutes: int


def parse_window(text: str) -> Result[Window, str]:
    """Parse a window such as ``5m``, ``6h`` or ``1d``; a failure holds advice.

    >>> parse_window("6h").unwrap().minutes
    360
    """
    match = re.fullmatch(r"([1-9][0-9]{0,4})([mhd])", text)
    if match is None:
        return Failure(f"{text!r} is not a window; write it as 5m, 6h or 1d")
    minutes = int(match[1]) * _MINUTES_PER_UNIT[match[2]]
    if minutes > MAX_MINUTES:
        return Failure(f"{text} is longer than 1d; use a shorter window")
    return Success(Window(text, minutes))
