"""Service-level burn reports."""

from collections.abc import Mapping, Sequence

from endivebeam_model import AccountId, Contract

from ._burn import Minute, Report, Row, build_report, count_below_rate
from ._format import format_minute, format_number, format_share
from ._windows import MAX_MINUTES, Window, parse_window

__all__ = [
    "MAX_MINUTES",
    "Minute",
    "Report",
    "Row",
    "Window",
    "build_report",
    "count_below_rate",
    "format_minute",
    "format_number",
    "format_share",
    "parse_window",
    "render_page",
]


def render_page(
    report: Report, minutes: Sequence[Minute], contracts: Mapping[AccountId, Contract]
) -> str:
    """Return an HTML page with plots that loads no external resources.

    Importing matplotlib takes a second, so it is imported on the first call.
    """
    from ._html import render_page as render

    return render(report, minutes, contracts)
