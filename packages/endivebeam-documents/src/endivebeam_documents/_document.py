"""The contract document that operators write in YAML."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from endivebeam_model import (
    DEFAULT_RETRY_CREDITS,
    DEFAULT_TIMEOUT_S,
    Criticality,
    Semantics,
    ServiceName,
)

from ._findings import Finding, Path, Severity, Source, has_errors
from ._loading import Loaded, load_model, suggest

# A drain waits 30 s for calls in flight; a longer call would be cut off.
MAX_TIMEOUT_MS = 30_000
MAX_ROUTES = 256
MAX_ENTRIES = 10_000

NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,63}$"
NAME_HINT = "use up to 64 lower-case letters, digits, '.', '_' and '-'"

Name = Annotated[str, Field(pattern=NAME_PATTERN, description=NAME_HINT)]
Fraction = Annotated[
    float, Field(gt=0, lt=1, description="use a fraction between 0 and 1, as 0.999")
]


class _Entry(BaseModel):
    """Base of all parts: no unknown fields and no conversion of types."""

    model_config = ConfigDict(
        extra="forbid", frozen=True, strict=True, allow_inf_nan=False
    )


class ObjectivesEntry(_Entry):
    """Service-level objectives of a client account."""

    availability: Fraction = 0.999
    latency_ms: float = Field(
        default=250.0, gt=0, le=60_000, description="use milliseconds up to 60000"
    )
    latency_quantile: Fraction = 0.99


class AccountEntry(_Entry):
    """The contract of one client account."""

    account: Name
    rate_per_s: float = Field(
        gt=0, le=1e7, description="use calls per second above 0, up to 10000000"
    )
    burst: float = Field(
        ge=1, le=1e8, description="use at least 1, the calls allowed at one moment"
    )
    retry_credits: int = Field(
        default=DEFAULT_RETRY_CREDITS,
        ge=0,
        le=16,
        description="use 0 to 16, the retries allowed in a whole call chain",
    )
    objectives: ObjectivesEntry = ObjectivesEntry()
    services: list[Name] = Field(
        default=[],
        max_length=MAX_ENTRIES,
        description="list entry services; an empty list allows all services",
    )


class RouteEntry(_Entry):
    """How calls to one path prefix are treated."""

    path: str = Field(
        default="/",
        pattern=r"^/[^?#\s]*$",
        max_length=1024,
        description="use a path that starts with / and has no query",
    )
    method: str = Field(
        default="*",
        pattern=r"^(\*|[A-Z]{1,16})$",
        description='use an upper-case HTTP method or "*" in quotes',
    )
    semantics: Semantics = Field(
        default=Semantics.IDEMPOTENT,
        strict=False,
        description="use idempotent or at_most_once",
    )
    criticality: Criticality = Field(
        default=Criticality.NORMAL,
        strict=False,
        description="use critical, normal or sheddable",
    )
    open: bool = Field(
        default=False, description="use true or false; open routes need no key"
    )
    timeout_ms: int = Field(
        default=round(DEFAULT_TIMEOUT_S * 1000),
        ge=1,
        le=MAX_TIMEOUT_MS,
        description="use at most 30000, because a drain waits 30 s for calls",
    )


class ServiceEntry(_Entry):
    """A service and its routes."""

    service: Name
    routes: list[RouteEntry] = Field(
        min_length=1, max_length=MAX_ROUTES, description="list 1 to 256 routes"
    )


class ContractDocument(_Entry):
    """All contracts and services that an operator keeps in one file."""

    accounts: list[AccountEntry] = Field(default=[], max_length=MAX_ENTRIES)
    services: list[ServiceEntry] = Field(default=[], max_length=MAX_ENTRIES)


def load_document(
    text: str,
    file: str,
    *,
    known_services: frozenset[ServiceName] = frozenset(),
) -> Loaded[ContractDocument]:
    """Read a contract document and report all findings together.

    ``known_services`` are defined elsewhere, for instance in the
    configuration in force, and may be named without being in the document.
    """
    loaded = load_model(ContractDocument, text, file)
    if loaded.value is None:
        return loaded
    findings = check_document(loaded.value, loaded.source, known_services)
    value = None if has_errors(findings) else loaded.value
    return Loaded(value=value, source=loaded.source, findings=findings)


def check_document(
    document: ContractDocument,
    source: Source,
    known_services: frozenset[ServiceName] = frozenset(),
) -> list[Finding]:
    """Return the findings that concern several fields together."""
    accounts = [entry.account for entry in document.accounts]
    services = [entry.service for entry in document.services]
    findings = _find_duplicates(source, "accounts", "account", accounts)
    findings += _find_duplicates(source, "services", "service", services)
    defined = sorted({*services, *known_services})
    for index, entry in enumerate(document.accounts):
        path: Path = ("accounts", index, "services")
        findings += _check_names(source, path, entry.services, defined)
    for index, service in enumerate(document.services):
        findings += _check_routes(source, ("services", index, "routes"), service.routes)
    return sorted(findings, key=lambda f: (f.line, f.column))


def _find_duplicates(
    source: Source, section: str, field: str, names: list[str]
) -> list[Finding]:
    first: dict[str, int] = {}
    findings = []
    for index, name in enumerate(names):
        if name not in first:
            first[name] = index
            continue
        line = source.find_position((section, first[name], field)).line
        message = f"{name} is already defined in line {line}; keep one of them"
        findings.append(source.make_finding((section, index, field), message))
    return findings


def _check_names(
    source: Source, path: Path, names: list[str], defined: list[str]
) -> list[Finding]:
    findings = []
    for index, name in enumerate(names):
        if name in defined:
            continue
        advice = suggest(name, defined) if defined else "add it under services"
        message = f"service {name} is not defined; {advice}"
        findings.append(source.make_finding((*path, index), message))
    return findings


def _check_routes(
    source: Source, path: Path, routes: list[RouteEntry]
) -> list[Finding]:
    findings = []
    seen: set[tuple[str, str]] = set()
    for index, route in enumerate(routes):
        key = (route.method, route.path.rstrip("/"))
        if key in seen:
            message = f"{route.method} {route.path} is listed twice; remove one route"
            findings.append(source.make_finding((*path, index), message))
        seen.add(key)
        findings += _check_at_most_once(source, (*path, index), route)
    return findings


def _check_at_most_once(source: Source, path: Path, route: RouteEntry) -> list[Finding]:
    if route.semantics is not Semantics.AT_MOST_ONCE:
        return []
    findings = []
    if route.criticality is not Criticality.CRITICAL:
        message = "an at_most_once route is shed early; set criticality: critical"
        findings.append(source.make_finding(path, message, Severity.WARNING))
    if route.open:
        message = (
            "callers of an open route share one scope of idempotency keys, "
            "so one may receive the response of another; set open: false"
        )
        findings.append(source.make_finding((*path, "open"), message))
    return findings
