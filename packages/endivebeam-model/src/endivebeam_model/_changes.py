"""Changes of the configuration, applied one version at a time."""

from collections.abc import Mapping
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from ._contracts import Contract, Key, Service, Snapshot
from ._ids import AccountId, ConfigVersion, KeyDigest, OperationId, ServiceName

K = TypeVar("K")
V = TypeVar("V")


class PutContract(msgspec.Struct, frozen=True, kw_only=True, tag="put_contract"):
    """Create or replace the contract of one client account."""

    contract: Contract


class RemoveContract(msgspec.Struct, frozen=True, kw_only=True, tag="remove_contract"):
    """Withdraw a contract; its keys stop working with it."""

    account: AccountId


class PutService(msgspec.Struct, frozen=True, kw_only=True, tag="put_service"):
    """Create or replace the routes of one service."""

    service: Service


class RemoveService(msgspec.Struct, frozen=True, kw_only=True, tag="remove_service"):
    """Remove a service and its routes."""

    service: ServiceName


class IssueKey(msgspec.Struct, frozen=True, kw_only=True, tag="issue_key"):
    """Add a key of a client account."""

    key: Key


class WithdrawKey(msgspec.Struct, frozen=True, kw_only=True, tag="withdraw_key"):
    """Withdraw a key for good; a withdrawn key is never issued again."""

    digest: KeyDigest


Change = (
    PutContract | RemoveContract | PutService | RemoveService | IssueKey | WithdrawKey
)


class LogEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One committed change with its version and author."""

    version: ConfigVersion
    op_id: OperationId
    operator: str
    at: str
    change: Change


class VersionGap(msgspec.Struct, frozen=True):
    """A log entry that does not follow the snapshot's version."""

    have: ConfigVersion
    got: ConfigVersion


def apply_entry(snapshot: Snapshot, entry: LogEntry) -> Result[Snapshot, VersionGap]:
    """Return the snapshot after a log entry.

    An entry is applied only if its version is exactly one higher than the
    snapshot's, so a replayed or stale entry can never revert a later one.
    Otherwise the result is a failure with both versions.
    """
    if entry.version != snapshot.version + 1:
        return Failure(VersionGap(snapshot.version, entry.version))
    changed = _apply_change(snapshot, entry.change)
    return Success(msgspec.structs.replace(changed, version=entry.version))


def _apply_change(snapshot: Snapshot, change: Change) -> Snapshot:
    replace = msgspec.structs.replace
    match change:
        case PutContract(contract=contract):
            contracts = {**snapshot.contracts, contract.account: contract}
            return replace(snapshot, contracts=contracts)
        case RemoveContract(account=account):
            return replace(snapshot, contracts=_without(snapshot.contracts, account))
        case PutService(service=service):
            services = {**snapshot.services, service.service: service}
            return replace(snapshot, services=services)
        case RemoveService(service=name):
            return replace(snapshot, services=_without(snapshot.services, name))
        case IssueKey(key=key):
            if key.digest in snapshot.keys:
                return snapshot
            return replace(snapshot, keys={**snapshot.keys, key.digest: key})
        case WithdrawKey(digest=digest):
            return _withdraw_key(snapshot, digest)


def _withdraw_key(snapshot: Snapshot, digest: KeyDigest) -> Snapshot:
    # An unknown digest is stored as withdrawn, so that issuing it later has no effect.
    existing = snapshot.keys.get(digest, Key(digest=digest, account=AccountId("")))
    withdrawn = msgspec.structs.replace(existing, withdrawn=True)
    return msgspec.structs.replace(snapshot, keys={**snapshot.keys, digest: withdrawn})


def _without(mapping: Mapping[K, V], key: K) -> dict[K, V]:
    return {k: v for k, v in mapping.items() if k != key}
