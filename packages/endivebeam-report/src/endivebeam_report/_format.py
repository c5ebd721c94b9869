"""Formats times and numbers of a report."""

import datetime


def format_minute(minute: int) -> str:
    """Format a minute since 1970 as a time in UTC.

    >>> format_minute(29000000)
    '2025-02-19 21:20 UTC'
    """
    at = datetime.datetime.fromtimestamp(minute * 60, datetime.UTC)
    return at.strftime("%Y-%m-%d %H:%M UTC")


def format_number(value: float | None) -> str:
    """Format a burn with three significant digits, None as a dash."""
    return "-" if value is None else f"{value:.3g}"


def format_share(value: float | None) -> str:
    """Format a fraction as a percentage, None as a dash."""
    return "-" if value is None else f"{value:.3%}"
