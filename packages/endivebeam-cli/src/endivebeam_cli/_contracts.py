"""Commands for contract documents and contracts."""

import secrets
import sys
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from endivebeam_documents import (
    ContractDocument,
    describe_change,
    diff_document,
    dump_document,
    dump_schema,
    from_snapshot,
    has_errors,
    load_document,
)
from endivebeam_model import (
    AccountId,
    Change,
    ConfigVersion,
    Contract,
    RemoveContract,
    ServiceName,
    Snapshot,
)

from ._client import FleetClient
from ._exits import ExitCode, ToolError
from ._session import Session, exit_on_error, print_note
from ._wait import report_in_force, wait_until_in_force

app = typer.Typer(help="Show, list and remove contracts.", no_args_is_help=True)

Wait = Annotated[
    bool, typer.Option(help="Wait until the change is in force in every domain.")
]
Timeout = Annotated[float, typer.Option(min=0.0, help="Seconds to wait with --wait.")]
Yes = Annotated[bool, typer.Option("--yes", "-y", help="Do not ask before removing.")]
DEFAULT_WAIT_S = 30.0


def validate(
    ctx: typer.Context,
    files: Annotated[
        list[Path] | None, typer.Argument(help="Contract documents in YAML.")
    ] = None,
    schema: Annotated[
        bool, typer.Option(help="Print the JSON Schema and exit.")
    ] = False,
) -> None:
    """Check contract documents and print all findings."""
    session: Session = ctx.obj
    with exit_on_error():
        if schema:
            sys.stdout.write(dump_schema())
            return
        if not files:
            raise ToolError(ExitCode.USAGE, "name a document, or give --schema")
        findings = []
        for file in files:
            findings += load_document(_read_text(file), str(file)).findings
        if session.as_json:
            session.print_json(findings)
        else:
            for finding in findings:
                typer.echo(finding)
        if has_errors(findings):
            raise typer.Exit(ExitCode.FINDINGS)
        print_note(f"{len(files)} documents are valid" if len(files) > 1 else "valid")


def apply(
    ctx: typer.Context,
    file: Annotated[Path, typer.Argument(help="Contract document in YAML.")],
    dry_run: Annotated[
        bool, typer.Option("--dry-run", help="Show the changes and stop.")
    ] = False,
    prune: Annotated[
        bool, typer.Option("--prune", help="Remove what the document does not contain.")
    ] = False,
    yes: Yes = False,
    wait: Wait = True,
    timeout: Timeout = DEFAULT_WAIT_S,
) -> None:
    """Change the configuration to match a contract document.

    Nothing is removed without --prune.
    """
    session: Session = ctx.obj
    with exit_on_error():
        client = session.connect()
        snapshot = client.read_config()
        document = _load(file, snapshot, prune=prune)
        changes = diff_document(document, snapshot, prune=prune)
        described = [describe_change(change, snapshot) for change in changes]
        if not session.as_json:
            for line in described:
                typer.echo(line)
        if dry_run or not changes:
            if session.as_json:
                session.print_json({"changes": described, "version": snapshot.version})
            print_note(
                "nothing to change" if not changes else "dry run: nothing changed"
            )
            return
        removals = [line for line in described if line.startswith("remove")]
        if removals and not yes:
            typer.confirm(f"remove {len(removals)} objects?", abort=True, err=True)
        version = _commit_all(client, changes, snapshot)
        if session.as_json:
            session.print_json({"changes": described, "version": version})
        if wait:
            report_in_force(wait_until_in_force(client, version, timeout))
        else:
            print_note(f"version {version} is committed")


def _load(file: Path, snapshot: Snapshot, *, prune: bool) -> ContractDocument:
    known: frozenset[ServiceName] = frozenset()
    if not prune:
        known = frozenset(snapshot.services)
    loaded = load_document(_read_text(file), str(file), known_services=known)
    for finding in loaded.findings:
        print_note(str(finding))
    if loaded.value is None:
        raise ToolError(ExitCode.FINDINGS, f"{file} has errors; correct them")
    return loaded.value


def _commit_all(
    client: FleetClient, changes: list[Change], snapshot: Snapshot
) -> ConfigVersion:
    version = snapshot.version
    for done, change in enumerate(changes):
        try:
            reply = client.commit(change, snapshot, secrets.token_hex(16))
        except ToolError as error:
            if done:
                print_note(
                    f"{done} of {len(changes)} changes are committed; apply again"
                )
            raise error
        version = reply.version
    return version


def _read_text(file: Path) -> str:
    try:
        return sys.stdin.read() if str(file) == "-" else file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        message = f"{file} cannot be read: {error}; check the path and encoding"
        raise ToolError(ExitCode.FINDINGS, message) from error


@app.command("list")
def list_contracts(ctx: typer.Context) -> None:
    """List the contracts of all client accounts."""
    session: Session = ctx.obj
    with exit_on_error():
        snapshot = session.connect().read_config()
        columns = (
            "account",
            "rate_per_s",
            "burst",
            "retry_credits",
            "services",
            "keys",
        )
        rows: list[tuple[object, ...]] = []
        for account, contract in sorted(snapshot.contracts.items()):
            keys = [k for k in snapshot.keys.values() if k.account == account]
            active = sum(not key.withdrawn for key in keys)
            services = ", ".join(contract.services) or "all"
            credits = contract.retry_credits
            rate, burst = contract.rate_per_s, contract.burst
            rows.append((account, rate, burst, credits, services, active))
        session.print_table(columns, rows)


@app.command("show")
def show_contract(
    ctx: typer.Context,
    account: Annotated[
        str | None, typer.Argument(help="Client account; leave out for all.")
    ] = None,
) -> None:
    """Print contracts as a document that can be applied again."""
    session: Session = ctx.obj
    with exit_on_error():
        snapshot = session.connect().read_config()
        if account is not None:
            contract = _find_contract(snapshot, account)
            contracts = {contract.account: contract}
            snapshot = msgspec.structs.replace(
                snapshot, contracts=contracts, services={}
            )
        document = from_snapshot(snapshot)
        if session.as_json:
            session.print_json(document.model_dump(mode="json"))
        else:
            typer.echo(dump_document(document), nl=False)


@app.command("remove")
def remove_contract(
    ctx: typer.Context,
    account: Annotated[str, typer.Argument(help="Client account.")],
    yes: Yes = False,
    wait: Wait = True,
    timeout: Timeout = DEFAULT_WAIT_S,
) -> None:
    """Remove a contract; the keys of the account stop working."""
    session: Session = ctx.obj
    with exit_on_error():
        client = session.connect()
        snapshot = client.read_config()
        _find_contract(snapshot, account)
        if not yes:
            message = f"remove the contract of {account}? Its keys stop working."
            typer.confirm(message, abort=True, err=True)
        change = RemoveContract(account=AccountId(account))
        reply = client.commit(change, snapshot, secrets.token_hex(16))
        if session.as_json:
            session.print_json(reply)
        if wait:
            report_in_force(wait_until_in_force(client, reply.version, timeout))


def _find_contract(snapshot: Snapshot, account: str) -> Contract:
    contract = snapshot.contracts.get(AccountId(account))
    if contract is None:
        message = f"account {account} has no contract; see endivebeam contract list"
        raise ToolError(ExitCode.REFUSED, message)
    return contract
