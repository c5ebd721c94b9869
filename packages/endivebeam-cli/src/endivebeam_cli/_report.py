"""Reports from the counters that nodes write to the object store."""

import datetime
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from returns.result import Failure

from endivebeam_report import (
    Minute,
    Report,
    Window,
    build_report,
    format_minute,
    format_number,
    format_share,
    parse_window,
    render_page,
)

from ._client import FleetClient
from ._exits import ExitCode, ToolError
from ._session import Session, exit_on_error, print_note

app = typer.Typer(help="Service-level reports per account.", no_args_is_help=True)

MINUTES_PER_REQUEST = 60
DEFAULT_WINDOWS = ("5m", "1h")

COLUMNS = (
    "account",
    "service",
    "window",
    "complete",
    "failed",
    "refused_within_rate",
    "refused_over_rate",
    "below_rate",
    "availability",
    "burn",
    "slow_burn",
)


class BurnReply(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of each minute."""

    minutes: list[Minute]


@app.callback()
def reports() -> None:
    """Keep ``burn`` a subcommand: Typer drops the name of an only command."""


@app.command("burn")
def report_burn(
    ctx: typer.Context,
    window: Annotated[
        list[str] | None,
        typer.Option(help="Window such as 5m, 1h or 1d; may be given several times."),
    ] = None,
    until: Annotated[
        datetime.datetime | None,
        typer.Option(help="End of the windows in UTC; default: the last minute."),
    ] = None,
    html: Annotated[
        Path | None, typer.Option(help="Also write an HTML page with plots.")
    ] = None,
) -> None:
    """Show the service-level burn per client account and service."""
    session: Session = ctx.obj
    with exit_on_error():
        windows = _read_windows(window or list(DEFAULT_WINDOWS))
        client = session.connect()
        contracts = client.read_config().contracts
        last = _read_last_minute(until)
        first = last - max(w.minutes for w in windows) + 1
        minutes = fetch_minutes(client, first, last)
        report = build_report(minutes, contracts, windows, last)
        if session.as_json:
            session.print_json(report)
        else:
            _print_report(session, report)
        if html is not None:
            _write_page(html, render_page(report, minutes, contracts))


def fetch_minutes(client: FleetClient, first: int, last: int) -> list[Minute]:
    """Return the counts of a range of minutes, both ends included."""
    minutes: list[Minute] = []
    for start in range(first, last + 1, MINUTES_PER_REQUEST):
        end = min(last, start + MINUTES_PER_REQUEST - 1)
        path = f"/v1/burn?first={start}&last={end}"
        minutes += client.get(path, BurnReply).minutes
    return minutes


def _read_windows(texts: list[str]) -> list[Window]:
    windows = []
    for text in texts:
        parsed = parse_window(text)
        match parsed:
            case Failure(message):
                raise ToolError(ExitCode.USAGE, message)
        windows.append(parsed.unwrap())
    return windows


def _read_last_minute(until: datetime.datetime | None) -> int:
    if until is None:
        # The current minute has no counts yet.
        now = datetime.datetime.now(datetime.UTC)
        return int(now.timestamp() // 60) - 1
    return int(until.replace(tzinfo=datetime.UTC).timestamp() // 60)


def _print_report(session: Session, report: Report) -> None:
    rows = [
        (
            row.account or "open routes",
            row.service,
            row.window,
            row.complete,
            row.failed,
            row.refused_within_rate,
            row.refused_over_rate,
            row.below_rate,
            format_share(row.availability),
            format_number(row.burn),
            format_number(row.slow_burn),
        )
        for row in report.rows
    ]
    session.print_table(COLUMNS, rows)
    print_note(f"windows end with {format_minute(report.last_minute)}")
    if not rows:
        print_note("no counts yet; nodes write them one to two minutes late")
    for domain, count in sorted(report.missing.items()):
        print_note(f"domain {domain} has no counts for {count} minutes")


def _write_page(path: Path, page: str) -> None:
    try:
        path.write_text(page)
    except OSError as error:
        message = f"{path} cannot be written: {error}; name another file with --html"
        raise ToolError(ExitCode.FINDINGS, message) from error
    print_note(f"wrote {path}")
