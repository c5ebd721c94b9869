"""Loads, checks and converts the YAML documents that operators write."""

from ._change_checks import check_change
from ._conversion import (
    KEY_ID_CHARS,
    describe_change,
    diff_document,
    dump_document,
    from_snapshot,
    to_contract,
    to_service,
)
from ._document import MAX_TIMEOUT_MS, ContractDocument, check_document, load_document
from ._findings import Finding, Position, Severity, Source, format_path, has_errors
from ._loading import Loaded, check_data, load_model, suggest
from ._schema import build_schema, dump_schema

__all__ = [
    "KEY_ID_CHARS",
    "MAX_TIMEOUT_MS",
    "ContractDocument",
    "Finding",
    "Loaded",
    "Position",
    "Severity",
    "Source",
    "build_schema",
    "check_change",
    "check_data",
    "check_document",
    "describe_change",
    "diff_document",
    "dump_document",
    "dump_schema",
    "format_path",
    "from_snapshot",
    "has_errors",
    "load_document",
    "load_model",
    "suggest",
    "to_contract",
    "to_service",
]
