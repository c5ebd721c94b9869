"""Times and numbers of a report as text."""

import datetime


def format_minute(minute: int) -> str:
    """Write a minute as a time in UTC.

    >>> format_minute(29000000)
    '2025-02-19 21:20 UTC'
    """
    at = datetime.datetime.fromtimestamp(minute * 60, datetime.UTC)
    return at.strftime("%Y-%m-%d %H:%M UTC")


def format_number(value: float | None) -> str:
    """Write a burn with three digits, and an unknown one as a dash."""
    return "-" if value is None else f"{value:.3g}"


def format_share(value: float | None) -> str:
    """Write a share as a percentage."""
    return "-" if value is None else f"{value:.3%}"
