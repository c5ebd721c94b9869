"""Generates the JSON Schema of the contract document, for editors and other tools."""

import json
from typing import Any

from ._document import ContractDocument


def build_schema() -> dict[str, Any]:
    """Return the JSON Schema of the contract document."""
    schema = ContractDocument.model_json_schema()
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", **schema}


def dump_schema() -> str:
    """Return the JSON Schema as text; equal schemas give equal text."""
    return json.dumps(build_schema(), indent=2, sort_keys=True) + "\n"
