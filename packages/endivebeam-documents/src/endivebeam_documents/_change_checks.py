"""Checks whether a change may be committed to the configuration in force."""

import re

from pydantic import ValidationError

from endivebeam_model import (
    Change,
    Contract,
    IssueKey,
    Key,
    KeyDigest,
    PutContract,
    PutService,
    RemoveService,
    ServiceName,
    Snapshot,
    WithdrawKey,
)

from ._conversion import from_snapshot
from ._findings import Path, format_path
from ._loading import suggest

_DIGEST = re.compile(r"[0-9a-f]{64}")


def check_change(change: Change, snapshot: Snapshot) -> list[str]:
    """Return why a change must not be committed; empty when it may be.

    The rules are those of the contract document, so that the administration
    API rejects every value that a document rejects.
    """
    match change:
        case PutContract(contract=contract):
            partial = Snapshot(contracts={contract.account: contract})
            return _check_fields(partial) + _check_services(contract, snapshot)
        case PutService(service=service):
            return _check_fields(Snapshot(services={service.service: service}))
        case RemoveService(service=name):
            return _check_unused(name, snapshot)
        case IssueKey(key=key):
            return _check_digest(key.digest) + _check_key(key, snapshot)
        case WithdrawKey(digest=digest):
            return _check_digest(digest)
    return []


def _check_fields(partial: Snapshot) -> list[str]:
    try:
        from_snapshot(partial)
    except ValidationError as error:
        return [
            f"{_format_loc(e['loc'])}: {e['msg']}; change the value"
            for e in error.errors(include_url=False)
        ]
    return []


def _format_loc(loc: Path) -> str:
    return format_path(loc) or "value"


def _check_services(contract: Contract, snapshot: Snapshot) -> list[str]:
    known = list(snapshot.services)
    return [
        f"service {name} is not defined; "
        + (suggest(name, known) if known else "add the service first")
        for name in contract.services
        if name not in snapshot.services
    ]


def _check_unused(name: ServiceName, snapshot: Snapshot) -> list[str]:
    accounts = sorted(
        c.account for c in snapshot.contracts.values() if name in c.services
    )
    if not accounts:
        return []
    shown = ", ".join(accounts[:5])
    return [f"service {name} is named in the contracts of {shown}; change these first"]


def _check_key(key: Key, snapshot: Snapshot) -> list[str]:
    if key.account not in snapshot.contracts:
        known = list(snapshot.contracts)
        advice = suggest(key.account, known) if known else "add its contract first"
        return [f"account {key.account} has no contract; {advice}"]
    if key.withdrawn:
        return ["a key is issued before it is withdrawn; leave out withdrawn"]
    old = snapshot.keys.get(key.digest)
    if old is None or old == key:
        return []
    if old.withdrawn:
        return ["this key was withdrawn for good; issue a new one"]
    return [f"this key belongs to account {old.account}; issue a new one"]


def _check_digest(digest: KeyDigest) -> list[str]:
    if _DIGEST.fullmatch(digest):
        return []
    return ["a key is named by its SHA-256 digest in 64 lower-case hex digits"]
