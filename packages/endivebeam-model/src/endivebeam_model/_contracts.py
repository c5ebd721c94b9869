"""Contracts of client accounts, routes of services and issued keys."""

import msgspec

from ._ids import AccountId, ConfigVersion, KeyDigest, ServiceName
from ._states import Criticality, Semantics

DEFAULT_TIMEOUT_S = 10.0
DEFAULT_RETRY_CREDITS = 2


class Objectives(msgspec.Struct, frozen=True, kw_only=True):
    """Service-level objectives of one client account.

    ``availability`` and ``latency_quantile`` are fractions below one.
    """

    availability: float = 0.999
    latency_ms: float = 250.0
    latency_quantile: float = 0.99


class Contract(msgspec.Struct, frozen=True, kw_only=True):
    """What one client account may use.

    ``rate_per_s`` and ``burst`` count calls that enter the fleet from outside,
    over all instances together. An empty ``services`` allows all services.
    """

    account: AccountId
    rate_per_s: float
    burst: float
    retry_credits: int = DEFAULT_RETRY_CREDITS
    objectives: Objectives = Objectives()
    services: tuple[ServiceName, ...] = ()


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """How calls to one path prefix of a service are treated.

    ``method`` is an upper-case HTTP method or ``*``. ``path`` matches whole
    segments: ``/deposits`` matches ``/deposits/7`` but not ``/depositsx``.
    """

    path: str = "/"
    method: str = "*"
    semantics: Semantics = Semantics.IDEMPOTENT
    criticality: Criticality = Criticality.NORMAL
    open: bool = False
    timeout_s: float = DEFAULT_TIMEOUT_S


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A service and its routes."""

    service: ServiceName
    routes: tuple[Route, ...]


class Key(msgspec.Struct, frozen=True, kw_only=True):
    """An issued client key, known by its digest only."""

    digest: KeyDigest
    account: AccountId
    label: str = ""
    withdrawn: bool = False


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The whole configuration at one version."""

    version: ConfigVersion = ConfigVersion(0)
    contracts: dict[AccountId, Contract] = {}
    services: dict[ServiceName, Service] = {}
    keys: dict[KeyDigest, Key] = {}
