"""Commands for client keys."""

import secrets
import string
import sys
from typing import Annotated

import typer

from endivebeam_documents import KEY_ID_CHARS
from endivebeam_model import (
    AccountId,
    IssueKey,
    Key,
    KeyDigest,
    Snapshot,
    WithdrawKey,
    digest_key,
)

from ._contracts import DEFAULT_WAIT_S, Timeout, Wait
from ._exits import ExitCode, ToolError
from ._session import Session, exit_on_error, print_note
from ._wait import report_in_force, wait_until_in_force

app = typer.Typer(help="Issue, withdraw and list client keys.", no_args_is_help=True)

KEY_PREFIX = "eb_"
KEY_BYTES = 32
# 62 ** 43 is the smallest power of 62 that is at least 256 ** 32.
KEY_CHARS = 43
BASE62 = string.digits + string.ascii_uppercase + string.ascii_lowercase
DIGEST_CHARS = 64
MIN_ID_CHARS = 8


def encode_base62(value: bytes) -> str:
    """Encode 32 bytes in base62 with a fixed length.

    >>> encode_base62(bytes(31) + b"\\x3e")[-2:]
    '10'
    """
    number = int.from_bytes(value, "big")
    text = ""
    for _ in range(KEY_CHARS):
        number, digit = divmod(number, len(BASE62))
        text = BASE62[digit] + text
    return text


def make_key() -> str:
    """Return a new client key."""
    return KEY_PREFIX + encode_base62(secrets.token_bytes(KEY_BYTES))


@app.command("issue")
def issue_key(
    ctx: typer.Context,
    account: Annotated[str, typer.Argument(help="Client account.")],
    label: Annotated[str, typer.Option(help="A name to tell keys apart.")] = "",
    wait: Wait = True,
    timeout: Timeout = DEFAULT_WAIT_S,
) -> None:
    """Issue a key and print it once; only its digest is stored."""
    session: Session = ctx.obj
    with exit_on_error():
        client = session.connect()
        snapshot = client.read_config()
        secret = make_key()
        digest = digest_key(secret)
        key = Key(digest=digest, account=AccountId(account), label=label)
        reply = client.commit(IssueKey(key=key), snapshot, secrets.token_hex(16))
        # Printed before the wait, because a committed key cannot be shown again.
        if session.as_json:
            shown = {"key": secret, "id": digest[:KEY_ID_CHARS], "account": account}
            session.print_json({**shown, "version": reply.version})
        else:
            typer.echo(secret)
        print_note(f"key {digest[:KEY_ID_CHARS]} of {account}; it is not shown again")
        if wait:
            report_in_force(wait_until_in_force(client, reply.version, timeout))


@app.command("withdraw")
def withdraw_key(
    ctx: typer.Context,
    key_id: Annotated[
        str, typer.Argument(help="Id from key list, or - to read the key from stdin.")
    ],
    wait: Wait = True,
    timeout: Timeout = DEFAULT_WAIT_S,
) -> None:
    """Withdraw a key permanently, also while the store is down."""
    session: Session = ctx.obj
    with exit_on_error():
        client = session.connect()
        snapshot = client.read_config()
        digest = find_digest(snapshot, key_id)
        change = WithdrawKey(digest=digest)
        reply = client.withdraw(change, secrets.token_hex(16))
        if session.as_json:
            session.print_json(reply)
        if not reply.durable:
            print_note(
                f"key {digest[:KEY_ID_CHARS]} is withdrawn on the nodes that run now, "
                "but the store is down: withdraw it again when endivebeam doctor "
                "reports that the store is up"
            )
            return
        print_note(f"key {digest[:KEY_ID_CHARS]} is withdrawn")
        if wait:
            report_in_force(wait_until_in_force(client, reply.version, timeout))


def find_digest(snapshot: Snapshot, key_id: str) -> KeyDigest:
    """Return the digest for a key id, a whole digest, or ``-`` for a key on stdin."""
    if key_id == "-":
        return digest_key(sys.stdin.readline().strip())
    if key_id.startswith(KEY_PREFIX):
        raise ToolError(
            ExitCode.USAGE,
            "a key on the command line can be read by others; give its id, or - "
            "and the key on stdin",
        )
    matches = [digest for digest in snapshot.keys if digest.startswith(key_id)]
    if len(matches) == 1 and len(key_id) >= MIN_ID_CHARS:
        return matches[0]
    if not matches and len(key_id) == DIGEST_CHARS:
        return KeyDigest(key_id)
    if matches:
        message = f"{key_id} names {len(matches)} keys; give {KEY_ID_CHARS} characters"
    else:
        message = f"no key has the id {key_id}; see endivebeam key list"
    raise ToolError(ExitCode.REFUSED, message)


@app.command("list")
def list_keys(
    ctx: typer.Context,
    account: Annotated[str | None, typer.Option(help="Only this account.")] = None,
) -> None:
    """List keys by id; the keys themselves are not stored anywhere."""
    session: Session = ctx.obj
    with exit_on_error():
        snapshot = session.connect().read_config()
        rows = [
            (key.digest[:KEY_ID_CHARS], key.account, key.label, key.withdrawn)
            for key in sorted(
                snapshot.keys.values(), key=lambda k: (k.account, k.digest)
            )
            if account in (None, key.account)
        ]
        session.print_table(("id", "account", "label", "withdrawn"), rows)
