"""Reads settings from YAML and the environment and reports every finding."""

from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import msgspec
import yaml

from endivebeam_documents import (
    Finding,
    Loaded,
    Severity,
    Source,
    has_errors,
    load_model,
    suggest,
)
from endivebeam_wire import check_tls_files

from ._settings import PortTlsSettings, Settings
from ._tls import make_tls_files

ENV_PREFIX = "ENDIVEBEAM_"

# Variables of the operator's tool, which may run in the environment of a node.
TOOL_VARIABLES = frozenset({"ENDIVEBEAM_URL", "ENDIVEBEAM_TOKEN"})
SECRET_WORDS = ("secret", "token", "password", "private")
REDACTED = "(hidden)"


class SettingsError(Exception):
    """The settings are invalid; ``findings`` holds every finding."""

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


def load_settings(path: Path, environment: Mapping[str, str] | None = None) -> Settings:
    """Read settings from a YAML file and the environment.

    Raises ``SettingsError`` with every finding.
    """
    loaded = read_settings(path, environment or {})
    if loaded.value is None:
        raise SettingsError(loaded.findings)
    return loaded.value


def read_settings(path: Path, environment: Mapping[str, str]) -> Loaded[Settings]:
    """Return the settings with all findings, warnings included.

    An environment variable overrides a field: ``ENDIVEBEAM_NODE_ID`` sets
    ``node_id``. Values of fields that are not strings are parsed as YAML.
    """
    file = str(path)
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        source = Source(file=file, data=None, positions={})
        message = f"cannot be read: {error}; check the path and encoding"
        return Loaded(
            value=None, source=source, findings=[_make_source_finding(source, message)]
        )
    overrides, findings = read_overrides(environment)
    loaded = load_model(Settings, text, file, overrides=overrides)
    findings += [_relocate_finding(f, overrides) for f in loaded.findings]
    if loaded.value is not None:
        findings += list(_check_settings(loaded.value, loaded.source))
    value = None if has_errors(findings) else loaded.value
    return Loaded(value=value, source=loaded.source, findings=findings)


def read_overrides(
    environment: Mapping[str, str],
) -> tuple[dict[str, object], list[Finding]]:
    """Return the fields that variables set, and findings about unusable ones."""
    overrides: dict[str, object] = {}
    findings = []
    known = {ENV_PREFIX + name.upper(): name for name in Settings.model_fields}
    for variable in sorted(environment):
        if not variable.startswith(ENV_PREFIX) or variable in TOOL_VARIABLES:
            continue
        name = known.get(variable)
        source = Source(file=f"environment {variable}", data=None, positions={})
        if name is None:
            message = f"unknown variable; {suggest(variable, known)}"
            findings.append(_make_source_finding(source, message))
            continue
        try:
            overrides[name] = _parse_value(name, environment[variable])
        except yaml.YAMLError:
            findings.append(
                _make_source_finding(source, "not valid YAML; put text in quotes")
            )
    return overrides, findings


def describe_settings(settings: Settings) -> list[str]:
    """Return one line for each effective setting, with secrets redacted."""
    values = settings.model_dump(mode="json")
    return [f"{name}={_redact(name, value)}" for name, value in values.items()]


def _redact(name: str, value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _redact(key, item) for key, item in value.items()}
    if isinstance(value, list):
        return [_redact(name, item) for item in value]
    # By mistake, the field may hold the key itself instead of its path.
    if value and (name == "key" or any(word in name for word in SECRET_WORDS)):
        return REDACTED
    if isinstance(value, str) and "://" in value:
        return _redact_url_user(value)
    return value


def _redact_url_user(url: str) -> str:
    # A URL may contain a password before the host.
    parts = urlsplit(url)
    _, at, host = parts.netloc.rpartition("@")
    if not at:
        return url
    return parts._replace(netloc=f"{REDACTED}@{host}").geturl()


def _parse_value(name: str, text: str) -> object:
    annotation = Settings.model_fields[name].annotation
    if annotation is str:
        return text
    value: object = yaml.safe_load(text)
    return value


def _relocate_finding(finding: Finding, overrides: Mapping[str, object]) -> Finding:
    field = finding.path.partition(".")[0].partition("[")[0]
    if field not in overrides:
        return finding
    file = f"environment {ENV_PREFIX}{field.upper()}"
    return msgspec.structs.replace(finding, file=file, line=1, column=1)


def _make_source_finding(source: Source, message: str) -> Finding:
    return source.make_finding((), message)


def _check_settings(settings: Settings, source: Source) -> Iterator[Finding]:
    """Yield findings about ports, TLS files, operators and seeds."""
    yield from _check_ports(settings, source)
    yield from _check_tls(settings, source)
    names: set[str] = set()
    for index, operator in enumerate(settings.operators):
        if operator.name in names:
            message = f"operator {operator.name} is defined twice; use another name"
            yield source.make_finding(("operators", index, "name"), message)
        names.add(operator.name)
    if not settings.operators:
        message = "no operator can use the administration API; add one"
        yield source.make_finding(("operators",), message, Severity.WARNING)
    if not settings.seeds:
        message = (
            "the node cannot find peers while the store is down; add peer addresses"
        )
        yield source.make_finding(("seeds",), message, Severity.WARNING)


def _check_tls(settings: Settings, source: Source) -> Iterator[Finding]:
    for port in ("peer", "caller", "admin"):
        files: PortTlsSettings | None = getattr(settings.tls, port)
        if files is None:
            continue
        unreadable = list(_check_files(port, files, source))
        yield from unreadable
        reason = None if unreadable else check_tls_files(make_tls_files(files))
        if reason is not None:
            message = (
                f"files cannot be used: {reason}; "
                "check that the key matches the certificate"
            )
            yield source.make_finding(("tls", port), message)


def _check_files(
    port: str, files: PortTlsSettings, source: Source
) -> Iterator[Finding]:
    for name in type(files).model_fields:
        try:
            getattr(files, name).read_bytes()
        except OSError as error:
            # The message omits the value, which may be a key instead of its path.
            message = f"file cannot be read: {error.strerror}; check the path"
            yield source.make_finding(("tls", port, name), message)


def _check_ports(settings: Settings, source: Source) -> Iterator[Finding]:
    used: dict[int, str] = {}
    for name in ("caller_port", "local_port", "peer_port", "admin_port"):
        port = getattr(settings, name)
        if port and port in used:
            message = f"port {port} is already used by {used[port]}; use another port"
            yield source.make_finding((name,), message)
        used[port] = name
