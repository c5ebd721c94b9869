"""Generates the OpenAPI document from the endpoints that define the routes."""

import json
from collections.abc import Sequence
from typing import Any, NamedTuple

import msgspec

from ._admin_http import Access
from ._admin_types import AdminError


class Endpoint(NamedTuple):
    """An endpoint of the administration API.

    ``handler`` is the name of the method that serves it and the operation id.
    ``response`` is the body type of status 200, ``accepted_response`` that of
    202. ``error_statuses`` lists the errors besides those of authentication
    (401, 403) and of reading a body (400, 408, 413).
    """

    method: str
    path: str
    handler: str
    summary: str
    access: Access
    response: type[msgspec.Struct] | None = None
    body: type[msgspec.Struct] | None = None
    query: tuple[str, ...] = ()
    headers: tuple[str, ...] = ()
    error_statuses: tuple[int, ...] = ()
    accepted_response: type[msgspec.Struct] | None = None


_STATUS_DESCRIPTIONS = {
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

_REF_TEMPLATE = "#/components/schemas/{name}"


def build_openapi(endpoints: Sequence[Endpoint]) -> dict[str, Any]:
    """Return the OpenAPI 3.1 document of the endpoints."""
    body_types: list[type[msgspec.Struct]] = [AdminError]
    for endpoint in endpoints:
        for body_type in (endpoint.response, endpoint.body, endpoint.accepted_response):
            if body_type is not None and body_type not in body_types:
                body_types.append(body_type)
    schemas, components = msgspec.json.schema_components(
        body_types, ref_template=_REF_TEMPLATE
    )
    references = dict(zip(body_types, schemas, strict=True))
    paths: dict[str, Any] = {}
    for endpoint in endpoints:
        operation = _describe_operation(endpoint, references)
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


def _describe_operation(
    endpoint: Endpoint, references: dict[type[msgspec.Struct], dict[str, Any]]
) -> dict[str, Any]:
    operation: dict[str, Any] = {
        "operationId": endpoint.handler,
        "summary": endpoint.summary,
        "parameters": _describe_parameters(endpoint),
        "responses": {"200": _describe_response(endpoint.response, references)},
    }
    if endpoint.accepted_response is not None:
        accepted_response = _describe_response(endpoint.accepted_response, references)
        operation["responses"]["202"] = accepted_response
    if endpoint.body is not None:
        content = {"application/json": {"schema": references[endpoint.body]}}
        operation["requestBody"] = {"required": True, "content": content}
    error_statuses = set(endpoint.error_statuses)
    if endpoint.access is not Access.PUBLIC:
        operation["security"] = [{"operator": []}]
        error_statuses |= {401}
    if endpoint.access is Access.CHANGE:
        error_statuses |= {403}
    if endpoint.body is not None:
        error_statuses |= {400, 408, 413}
    for status in sorted(error_statuses):
        response = _describe_response(AdminError, references)
        operation["responses"][str(status)] = {
            **response,
            "description": _STATUS_DESCRIPTIONS[status],
        }
    return operation


def _describe_response(
    body_type: type[msgspec.Struct] | None,
    references: dict[type[msgspec.Struct], dict[str, Any]],
) -> dict[str, Any]:
    if body_type is None:
        return {"description": "Text."}
    content = {"application/json": {"schema": references[body_type]}}
    return {"description": "The answer.", "content": content}


def _describe_parameters(endpoint: Endpoint) -> list[dict[str, Any]]:
    path_names = [
        part[1:-1] for part in endpoint.path.split("/") if part.startswith("{")
    ]
    locations = [
        ("path", path_names),
        ("query", endpoint.query),
        ("header", endpoint.headers),
    ]
    return [
        {
            "name": name,
            "in": location,
            "required": location == "path",
            "schema": {"type": "string"},
        }
        for location, names in locations
        for name in names
    ]
