"""Command line of ``endivebeam``."""

from pathlib import Path
from typing import Annotated

import typer

from . import _contracts, _keys, _report
from ._contracts import apply, validate
from ._doctor import doctor
from ._exits import ExitCode, ToolError
from ._explain import explain
from ._fleet import audit, drain, status, watch
from ._session import Format, Session, exit_on_error

EXIT_CODES = """
Exit codes: 0 done; 1 findings or problems; 2 wrong options; 3 no node answered;
4 operator token refused; 5 another change came first; 6 committed but not
confirmed in force in time; 7 store down; 8 refused for another reason.
"""

app = typer.Typer(
    help="Operate an endivebeam fleet.",
    epilog=EXIT_CODES,
    no_args_is_help=True,
    pretty_exceptions_show_locals=False,
)


@app.callback()
def main_options(
    ctx: typer.Context,
    url: Annotated[
        list[str] | None,
        typer.Option(
            envvar="ENDIVEBEAM_URL",
            help="Admin address of a node; give several to try them in order.",
        ),
    ] = None,
    token: Annotated[
        str,
        typer.Option(
            envvar="ENDIVEBEAM_TOKEN",
            help="Operator token; better set in the environment or a file.",
            show_default=False,
        ),
    ] = "",
    token_file: Annotated[
        Path | None, typer.Option(help="File that holds the operator token.")
    ] = None,
    output: Annotated[Format, typer.Option(help="Output format.")] = Format.TABLE,
) -> None:
    """Set the options that all commands share."""
    with exit_on_error():
        if token_file is not None:
            token = _read_token(token_file)
        urls = [part for item in url or [] for part in item.replace(",", " ").split()]
        ctx.obj = Session(urls=urls, token=token, format=output)


def _read_token(path: Path) -> str:
    try:
        return path.read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        message = f"{path} cannot be read: {error}; check --token-file"
        raise ToolError(ExitCode.USAGE, message) from error


app.command()(validate)
app.command()(apply)
app.add_typer(_contracts.app, name="contract")
app.add_typer(_keys.app, name="key")
app.add_typer(_report.app, name="report")
app.command()(status)
app.command()(watch)
app.command()(drain)
app.command()(audit)
app.command()(doctor)
app.command()(explain)


def main() -> None:
    """Run the command line."""
    app()
