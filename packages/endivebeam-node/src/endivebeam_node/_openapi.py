"""The OpenAPI description, made from the same table as the routes."""

import json
from collections.abc import Sequence
from typing import Any, NamedTuple

import msgspec

from ._admin_http import Access
from ._admin_types import AdminError


class Endpoint(NamedTuple):
    """One operation of the administration API.

    ``handler`` names the method that serves it. ``statuses`` are the errors
    besides 401, 403 and 413.
    """

    method: str
    path: str
    handler: str
    summary: str
    access: Access
    answer: type[msgspec.Struct] | None = None
    body: type[msgspec.Struct] | None = None
    query: tuple[str, ...] = ()
    headers: tuple[str, ...] = ()
    statuses: tuple[int, ...] = ()
    accepted: type[msgspec.Struct] | None = None


_MEANINGS = {
    400: "The request is malformed.",
    401: "The operator token is missing or unknown.",
    403: "The operator token may only read.",
    404: "No such object.",
    408: "The body did not arrive in time.",
    409: "Another node was meant.",
    412: "A condition does not hold; `current` is the object in force.",
    413: "The body is too large.",
    422: "The change breaks a rule.",
    428: "The request has no condition.",
    503: "The store or the node cannot serve the request at present.",
}

_REFERENCE = "#/components/schemas/{name}"


def build_openapi(endpoints: Sequence[Endpoint]) -> dict[str, Any]:
    """Return the OpenAPI 3.1 document of the endpoints."""
    kinds: list[type[msgspec.Struct]] = [AdminError]
    for endpoint in endpoints:
        for kind in (endpoint.answer, endpoint.body, endpoint.accepted):
            if kind is not None and kind not in kinds:
                kinds.append(kind)
    schemas, components = msgspec.json.schema_components(kinds, ref_template=_REFERENCE)
    references = dict(zip(kinds, schemas, strict=True))
    paths: dict[str, Any] = {}
    for endpoint in endpoints:
        operation = _describe(endpoint, references)
        paths.setdefault(endpoint.path, {})[endpoint.method.lower()] = operation
    return {
        "openapi": "3.1.0",
        "info": {"title": "endivebeam administration API", "version": "1"},
        "paths": paths,
        "components": {
            "schemas": components,
            "securitySchemes": {"operator": {"type": "http", "scheme": "bearer"}},
        },
    }


def dump_openapi(endpoints: Sequence[Endpoint]) -> str:
    """Return the document as text, the same for equal endpoints."""
    return json.dumps(build_openapi(endpoints), indent=2, sort_keys=True) + "\n"


def _describe(
    endpoint: Endpoint, references: dict[type[msgspec.Struct], dict[str, Any]]
) -> dict[str, Any]:
    operation: dict[str, Any] = {
        "operationId": endpoint.handler,
        "summary": endpoint.summary,
        "parameters": _describe_parameters(endpoint),
        "responses": {"200": _describe_answer(endpoint.answer, references)},
    }
    if endpoint.accepted is not None:
        accepted = _describe_answer(endpoint.accepted, references)
        operation["responses"]["202"] = accepted
    if endpoint.body is not None:
        content = {"application/json": {"schema": references[endpoint.body]}}
        operation["requestBody"] = {"required": True, "content": content}
    statuses = set(endpoint.statuses)
    if endpoint.access is not Access.PUBLIC:
        operation["security"] = [{"operator": []}]
        statuses |= {401}
    if endpoint.access is Access.CHANGE:
        statuses |= {403}
    if endpoint.body is not None:
        statuses |= {400, 408, 413}
    for status in sorted(statuses):
        answer = _describe_answer(AdminError, references)
        operation["responses"][str(status)] = {
            **answer,
            "description": _MEANINGS[status],
        }
    return operation


def _describe_answer(
    kind: type[msgspec.Struct] | None,
    references: dict[type[msgspec.Struct], dict[str, Any]],
) -> dict[str, Any]:
    if kind is None:
        return {"description": "Text."}
    content = {"application/json": {"schema": references[kind]}}
    return {"description": "The answer.", "content": content}


def _describe_parameters(endpoint: Endpoint) -> list[dict[str, Any]]:
    named = [part[1:-1] for part in endpoint.path.split("/") if part.startswith("{")]
    places = [
        ("path", named),
        ("query", endpoint.query),
        ("header", endpoint.headers),
    ]
    return [
        {
            "name": name,
            "in": place,
            "required": place == "path",
            "schema": {"type": "string"},
        }
        for place, names in places
        for name in names
    ]
