"""Request and response bodies of the administration API."""

from typing import Any

import msgspec

from endivebeam_model import (
    Change,
    ConfigVersion,
    Contract,
    Member,
    OperationId,
    Service,
)

from ._versions import DomainVersions


class ChangeRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A change that an operator asks for.

    ``expected_version`` is the configuration version that the operator saw;
    it may be left out when the request has an ``If-Match`` header.
    """

    op_id: OperationId
    change: Change
    expected_version: ConfigVersion | None = None


class ChangeReply(msgspec.Struct, frozen=True, kw_only=True):
    """The version at which a change is in force.

    ``durable`` is false for an emergency withdrawal, which is in force but
    not yet in the platform's table.
    """

    version: ConfigVersion
    durable: bool


class AdminError(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Why a request of an operator failed and what to do next.

    ``current`` is the object in force when a condition did not hold.
    """

    reason: str
    message: str
    version: ConfigVersion | None = None
    current: Any = None


class StatusReply(msgspec.Struct, frozen=True, kw_only=True):
    """What this node knows about itself and the fleet."""

    node_id: str
    config_version: ConfigVersion
    members: list[Member]
    region: str
    domain: str
    draining: bool
    emergency_withdrawals: int
    versions: list[DomainVersions]


class VersionsReply(msgspec.Struct, frozen=True, kw_only=True):
    """How far a configuration version has come in each failure domain."""

    version: ConfigVersion
    domains: list[DomainVersions]


class StoreReply(msgspec.Struct, frozen=True, kw_only=True):
    """Whether this node reaches the platform's table at present."""

    reachable: bool
    message: str = ""


class ReadyReply(msgspec.Struct, frozen=True, kw_only=True):
    """Whether the node takes calls, and why not."""

    ready: bool
    reasons: list[str]


class ContractItem(msgspec.Struct, frozen=True, kw_only=True):
    """A contract with its entity tag."""

    etag: str
    contract: Contract


class ServiceItem(msgspec.Struct, frozen=True, kw_only=True):
    """A service with its entity tag."""

    etag: str
    service: Service


class KeyItem(msgspec.Struct, frozen=True, kw_only=True):
    """An issued key, known by its digest only."""

    etag: str
    id: str
    digest: str
    account: str
    label: str
    withdrawn: bool


class ContractPage(msgspec.Struct, frozen=True, kw_only=True):
    """Some contracts in order of account; ``next`` is the ``after`` to go on."""

    items: list[ContractItem]
    next: str | None = None


class ServicePage(msgspec.Struct, frozen=True, kw_only=True):
    """Some services in order of name; ``next`` is the ``after`` to go on."""

    items: list[ServiceItem]
    next: str | None = None


class KeyPage(msgspec.Struct, frozen=True, kw_only=True):
    """Some keys in order of digest; ``next`` is the ``after`` to go on."""

    items: list[KeyItem]
    next: str | None = None


class AuditItem(msgspec.Struct, frozen=True, kw_only=True):
    """Who changed what and when."""

    version: ConfigVersion
    at: str
    operator: str
    op_id: OperationId
    description: str


class AuditPage(msgspec.Struct, frozen=True, kw_only=True):
    """Changes from the latest to the oldest; ``next`` is the ``before``."""

    items: list[AuditItem]
    next: str | None = None


class DrainRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks the node that receives it to drain and stop.

    ``node_id`` guards against draining another node by a wrong address.
    """

    node_id: str
