"""Commands of ``endivebeam``."""

import secrets
from typing import Annotated

import httpx
import typer

app = typer.Typer(help="Operate an endivebeam fleet.")

EXIT_UNREACHABLE = 3
TIMEOUT_S = 10.0

Url = Annotated[str, typer.Option(envvar="ENDIVEBEAM_URL", help="Admin API of a node.")]
Token = Annotated[
    str, typer.Option(envvar="ENDIVEBEAM_TOKEN", help="Token of the operator.")
]


@app.command()
def status(url: Url, token: Token) -> None:
    """Print the members and the configuration version that a node knows."""
    headers = {"authorization": f"Bearer {token}"}
    try:
        answer = httpx.get(f"{url}/v1/status", headers=headers, timeout=TIMEOUT_S)
    except httpx.HTTPError as error:
        typer.echo(f"no answer from {url}: {error}; check the URL", err=True)
        raise typer.Exit(EXIT_UNREACHABLE) from error
    typer.echo(answer.text)


@app.command()
def new_key() -> None:
    """Print a new client key."""
    typer.echo("eb_" + secrets.token_urlsafe(32))


def main() -> None:
    """Run the command line."""
    app()
