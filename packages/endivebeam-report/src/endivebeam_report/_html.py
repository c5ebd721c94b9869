"""Renders a report as a self-contained HTML page with embedded plots."""

import base64
import html
import io
from collections.abc import Iterable, Mapping, Sequence

from matplotlib.axes import Axes
from matplotlib.dates import AutoDateLocator, ConciseDateFormatter
from matplotlib.figure import Figure

from endivebeam_model import AccountId, Contract, Counts, add_counts

from ._burn import Minute, Report, Row
from ._format import format_minute, format_number, format_share

MAX_ACCOUNTS = 12
# matplotlib dates are days since 1970.
MINUTES_PER_DAY = 24 * 60
PLOT_SIZE_IN = (9.0, 3.2)
DPI = 110

_STYLE = """
body {font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 68rem;
 padding: 0 1rem; color: #1c2430}
table {border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums}
th, td {padding: .3rem .6rem; border-bottom: 1px solid #d8dee6; text-align: right}
th:first-child, td:first-child, th:nth-child(2), td:nth-child(2) {text-align: left}
td.over {color: #a3161b; font-weight: 600}
img {max-width: 100%}
p.note {color: #56606e}
"""

COLUMNS = (
    "account",
    "service",
    "window",
    "complete",
    "failed",
    "refused within rate",
    "refused over rate",
    "below rate",
    "availability",
    "burn",
    "slow burn",
)


def render_page(
    report: Report, minutes: Sequence[Minute], contracts: Mapping[AccountId, Contract]
) -> str:
    """Return the page; it loads no external resources."""
    rows = "\n".join(_render_row(row) for row in report.rows)
    header = "".join(f"<th>{name}</th>" for name in COLUMNS)
    plots = "\n".join(
        f'<h2>{title}</h2>\n<img alt="{title}" src="data:image/png;base64,{data}">'
        for title, data in _draw_plots(minutes, contracts)
    )
    missing = ", ".join(
        f"{html.escape(domain)} {count}" for domain, count in report.missing.items()
    )
    note = f"Minutes without counts: {missing}." if missing else ""
    return (
        "<!doctype html>\n<html lang=en><meta charset=utf-8>"
        f"<title>Service-level burn</title><style>{_STYLE}</style>\n"
        f"<h1>Service-level burn</h1><p>Windows end with "
        f"{format_minute(report.last_minute)}. A burn of 1 spends the error budget "
        "exactly.</p>\n"
        f"<table><tr>{header}</tr>\n{rows}\n</table>\n<p class=note>{note}</p>\n"
        f"{plots}\n</html>\n"
    )


def _render_row(row: Row) -> str:
    cells = [
        html.escape(row.account or "open routes"),
        html.escape(row.service),
        row.window,
        *map(str, (row.complete, row.failed)),
        *map(str, (row.refused_within_rate, row.refused_over_rate, row.below_rate)),
        format_share(row.availability),
    ]
    text = "".join(f"<td>{cell}</td>" for cell in cells)
    for burn in (row.burn, row.slow_burn):
        over = " class=over" if burn is not None and burn > 1 else ""
        text += f"<td{over}>{format_number(burn)}</td>"
    return f"<tr>{text}</tr>"


def _draw_plots(
    minutes: Sequence[Minute], contracts: Mapping[AccountId, Contract]
) -> Iterable[tuple[str, str]]:
    series = _sum_accounts(minutes)
    # Accounts with the most bad requests and rejections over the rate come first.
    names = sorted(
        series, key=lambda name: -sum(c.bad + c.refused_over_rate for c in series[name])
    )[:MAX_ACCOUNTS]
    times = [m.minute / MINUTES_PER_DAY for m in minutes]
    yield "Burn per minute", _draw_burn(times, names, series, contracts)
    yield "Requests per minute by outcome", _draw_outcomes(times, series)


def _sum_accounts(minutes: Sequence[Minute]) -> dict[AccountId, list[Counts]]:
    names = sorted({entry.account for m in minutes for entry in m.counts})
    series = {name: [Counts()] * len(minutes) for name in names}
    for index, minute in enumerate(minutes):
        for account, _, counts in minute.counts:
            series[account][index] = add_counts(series[account][index], counts)
    return series


def _draw_burn(
    times: Sequence[float],
    names: Sequence[AccountId],
    series: Mapping[AccountId, Sequence[Counts]],
    contracts: Mapping[AccountId, Contract],
) -> str:
    figure = Figure(figsize=PLOT_SIZE_IN, dpi=DPI, layout="constrained")
    axes = figure.subplots()
    for name in names:
        contract = contracts.get(name)
        if contract is None:
            continue
        allowed = 1 - contract.objectives.availability
        burns = [c.bad / max(1, c.admitted) / allowed for c in series[name]]
        axes.plot(times, burns, label=name, linewidth=1.4)
    axes.axhline(1, color="#1c2430", linewidth=1, linestyle="--", label="budget")
    axes.set_ylabel("burn")
    axes.set_ylim(bottom=0)
    return _render_png(figure, axes)


def _draw_outcomes(
    times: Sequence[float], series: Mapping[AccountId, Sequence[Counts]]
) -> str:
    figure = Figure(figsize=PLOT_SIZE_IN, dpi=DPI, layout="constrained")
    axes = figure.subplots()
    fields = ("complete", "refused_over_rate", "refused_within_rate", "failed")
    colors = ("#5b8f6b", "#b9c0c9", "#e0a030", "#a3161b")
    totals = [
        [sum(getattr(c[index], field) for c in series.values()) for index in
         range(len(times))]
        for field in fields
    ]  # fmt: skip
    labels = [field.replace("_", " ") for field in fields]
    axes.stackplot(times, totals, labels=labels, colors=colors)
    axes.set_ylabel("requests per minute")
    return _render_png(figure, axes)


def _render_png(figure: Figure, axes: Axes) -> str:
    locator = AutoDateLocator(tz="UTC")  # type: ignore[no-untyped-call]
    axes.xaxis.set_major_locator(locator)
    formatter = ConciseDateFormatter(locator, tz="UTC")  # type: ignore[no-untyped-call]
    axes.xaxis_date("UTC")
    axes.xaxis.set_major_formatter(formatter)
    axes.spines[["top", "right"]].set_visible(False)
    axes.legend(loc="center left", bbox_to_anchor=(1.0, 0.5), frameon=False)
    content = io.BytesIO()
    figure.savefig(content, format="png")
    return base64.b64encode(content.getvalue()).decode()
