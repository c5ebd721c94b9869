"""Converts contract documents to the structs that nodes use, and back."""

from typing import Any

import msgspec
import yaml

from endivebeam_model import (
    AccountId,
    Change,
    Contract,
    IssueKey,
    Objectives,
    PutContract,
    PutService,
    RemoveContract,
    RemoveService,
    Route,
    Service,
    ServiceName,
    Snapshot,
    WithdrawKey,
)

from ._document import (
    AccountEntry,
    ContractDocument,
    ObjectivesEntry,
    RouteEntry,
    ServiceEntry,
)

# Length of the digest prefix that identifies a key in lists and logs.
KEY_ID_CHARS = 12


def to_contract(entry: AccountEntry) -> Contract:
    """Convert the entry of an account to its contract."""
    return Contract(
        account=AccountId(entry.account),
        rate_per_s=entry.rate_per_s,
        burst=entry.burst,
        retry_credits=entry.retry_credits,
        objectives=Objectives(**entry.objectives.model_dump()),
        services=tuple(ServiceName(name) for name in entry.services),
    )


def to_service(entry: ServiceEntry) -> Service:
    """Convert the entry of a service."""
    routes = tuple(_to_route(route) for route in entry.routes)
    return Service(service=ServiceName(entry.service), routes=routes)


def _to_route(entry: RouteEntry) -> Route:
    return Route(
        path=entry.path,
        method=entry.method,
        semantics=entry.semantics,
        criticality=entry.criticality,
        open=entry.open,
        timeout_s=entry.timeout_ms / 1000,
    )


def from_snapshot(snapshot: Snapshot) -> ContractDocument:
    """Convert a configuration to a document, without its keys.

    Raises ``pydantic.ValidationError`` when the configuration holds a value
    that documents do not allow.
    """
    contracts = sorted(snapshot.contracts.values(), key=lambda c: c.account)
    services = sorted(snapshot.services.values(), key=lambda s: s.service)
    return ContractDocument(
        accounts=[_from_contract(contract) for contract in contracts],
        services=[_from_service(service) for service in services],
    )


def _from_contract(contract: Contract) -> AccountEntry:
    values = msgspec.structs.asdict(contract)
    values["objectives"] = ObjectivesEntry(
        **msgspec.structs.asdict(values["objectives"])
    )
    values["services"] = list(contract.services)
    return AccountEntry(**values)


def _from_service(service: Service) -> ServiceEntry:
    routes = []
    for route in service.routes:
        values = msgspec.structs.asdict(route)
        values["timeout_ms"] = round(values.pop("timeout_s") * 1000)
        routes.append(RouteEntry(**values))
    return ServiceEntry(service=service.service, routes=routes)


def dump_document(document: ContractDocument) -> str:
    """Return a document as YAML; values equal to the defaults are left out."""
    data = document.model_dump(mode="json", exclude_defaults=True)
    return yaml.safe_dump(data, sort_keys=False, allow_unicode=True)


def diff_document(
    document: ContractDocument, snapshot: Snapshot, *, prune: bool = False
) -> list[Change]:
    """Return the changes that make a configuration match a document.

    Services come before the contracts that name them, and removals in the
    opposite order, so that no intermediate version names a missing service.
    Nothing is removed without ``prune``.
    """
    services = {s.service: s for s in map(to_service, document.services)}
    contracts = {c.account: c for c in map(to_contract, document.accounts)}
    changes: list[Change] = [
        PutService(service=service)
        for name, service in services.items()
        if snapshot.services.get(name) != service
    ]
    changes += [
        PutContract(contract=contract)
        for account, contract in contracts.items()
        if snapshot.contracts.get(account) != contract
    ]
    if not prune:
        return changes
    removed_accounts = sorted(snapshot.contracts.keys() - contracts.keys())
    changes += [RemoveContract(account=account) for account in removed_accounts]
    removed_services = sorted(snapshot.services.keys() - services.keys())
    changes += [RemoveService(service=name) for name in removed_services]
    return changes


def describe_change(change: Change, snapshot: Snapshot) -> str:
    """Describe in one line how a change alters a configuration.

    A key is shown by a prefix of its digest, never in full.

    >>> describe_change(RemoveService(service=ServiceName("a")), Snapshot())
    'remove service a'
    """
    match change:
        case PutContract(contract=contract):
            old_contract = snapshot.contracts.get(contract.account)
            return _describe_put(f"contract {contract.account}", old_contract, contract)
        case PutService(service=service):
            old_service = snapshot.services.get(service.service)
            return _describe_put(f"service {service.service}", old_service, service)
        case RemoveContract(account=account):
            return f"remove contract {account}"
        case RemoveService(service=name):
            return f"remove service {name}"
        case IssueKey(key=key):
            return f"issue key {key.digest[:KEY_ID_CHARS]} of account {key.account}"
        case WithdrawKey(digest=digest):
            return f"withdraw key {digest[:KEY_ID_CHARS]}"


def _describe_put(
    name: str, old: Contract | Service | None, new: Contract | Service
) -> str:
    if old is None:
        return f"add {name}"
    before, after = msgspec.to_builtins(old), msgspec.to_builtins(new)
    changed = [
        f"{field} {_format_value(before[field])} -> {_format_value(after[field])}"
        for field in after
        if before[field] != after[field]
    ]
    return f"change {name}: {', '.join(changed) or 'no difference'}"


def _format_value(value: Any) -> str:
    if isinstance(value, list) and value and isinstance(value[0], dict):
        return f"{len(value)} routes"
    return msgspec.json.encode(value).decode()
