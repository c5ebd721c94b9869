"""Validates the data of a document against a pydantic model."""

import difflib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from pydantic import BaseModel, ValidationError

from ._findings import Finding, Path, Source, has_errors
from ._yaml import read_yaml

M = TypeVar("M", bound=BaseModel)

MAX_SHOWN_CHARS = 60
MAX_SHOWN_NAMES = 20


@dataclass(frozen=True, slots=True, kw_only=True)
class Loaded(Generic[M]):
    """Result of loading; ``value`` is None when any finding is an error."""

    value: M | None
    source: Source
    findings: list[Finding]


def load_model(
    model_type: type[M],
    text: str,
    file: str,
    *,
    overrides: Mapping[str, object] | None = None,
) -> Loaded[M]:
    """Validate a YAML text against a model and return all findings together.

    ``overrides`` replace top-level fields of the document.
    """
    source, findings = read_yaml(text, file)
    if has_errors(findings) and source.data is None:
        return Loaded(value=None, source=source, findings=findings)
    data = source.data
    if isinstance(data, dict) and overrides:
        data = {**data, **overrides}
    value, model_findings = check_data(model_type, data, source)
    findings = _sort_unique([*findings, *model_findings])
    if has_errors(findings):
        value = None
    return Loaded(value=value, source=source, findings=findings)


def check_data(
    model_type: type[M], data: object, source: Source
) -> tuple[M | None, list[Finding]]:
    """Return plain data as a model without findings, or None and all findings."""
    try:
        return model_type.model_validate(data), []
    except ValidationError as error:
        schema = model_type.model_json_schema()
        errors = error.errors(include_url=False)
        return None, [_describe_error(e, schema, source) for e in errors]


def suggest(name: str, known: Iterable[str]) -> str:
    """Return advice for an unknown name: the closest known name or a list.

    >>> suggest("bursts", ["burst", "account"])
    'did you mean burst?'
    """
    names = sorted(known)
    matches = difflib.get_close_matches(name, names, n=1, cutoff=0.5)
    if matches:
        return f"did you mean {matches[0]}?"
    if not names:
        return "remove it"
    return f"use one of {', '.join(names[:MAX_SHOWN_NAMES])}"


def _describe_error(
    error: Mapping[str, Any], schema: dict[str, Any], source: Source
) -> Finding:
    path: Path = tuple(part for part in error["loc"] if part != "[key]")
    field = _find_schema(schema, path)
    if error["type"] == "extra_forbidden":
        parent = _find_schema(schema, path[:-1])
        known = list(parent.get("properties", {}))
        message = f"unknown field; {suggest(str(path[-1]), known)}"
    elif error["type"] == "missing":
        message = _with_hint("required field is missing; add it", field)
    else:
        shown = _shorten(error.get("input"))
        reason = str(error["msg"]).removeprefix("Value error, ")
        reason = reason[:1].lower() + reason[1:]
        message = _with_hint(f"{reason}, got {shown}", field)
    return source.make_finding(path, message)


def _with_hint(message: str, field: Mapping[str, Any]) -> str:
    hint = field.get("description")
    return f"{message}; {hint}" if hint else message


def _shorten(value: object) -> str:
    text = repr(value)
    if len(text) <= MAX_SHOWN_CHARS:
        return text
    return text[:MAX_SHOWN_CHARS] + "..."


def _find_schema(schema: dict[str, Any], path: Path) -> dict[str, Any]:
    """Return the subschema at a path, or {} if the schema has none there."""
    current = schema
    for part in path:
        current = _resolve(schema, current)
        if isinstance(part, int):
            current = current.get("items", {})
        else:
            current = current.get("properties", {}).get(part, {})
    described = current.get("description")
    resolved = dict(_resolve(schema, current))
    if described:
        resolved["description"] = described
    return resolved


def _resolve(schema: dict[str, Any], subschema: dict[str, Any]) -> dict[str, Any]:
    for option in subschema.get("anyOf", []):
        if option.get("type") != "null":
            subschema = option
            break
    reference = subschema.get("$ref")
    if reference is None:
        return subschema
    found: dict[str, Any] = schema["$defs"][reference.rpartition("/")[2]]
    return found


def _sort_unique(findings: list[Finding]) -> list[Finding]:
    return sorted(
        dict.fromkeys(findings), key=lambda f: (f.file, f.line, f.column, f.path)
    )
