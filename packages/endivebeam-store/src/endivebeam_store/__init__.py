"""Clients of the platform's table and object store, and what is kept there."""

from ._config_log import ConfigLog
from ._objects import HttpObjects
from ._rows import (
    CommitError,
    Committed,
    Condition,
    Conflict,
    Put,
    Row,
    Table,
    Transaction,
    Unavailable,
)
from ._seeds import SEEDS_PER_DOMAIN, Seed, read_seeds, write_seed
from ._table import HttpTable

__all__ = [
    "SEEDS_PER_DOMAIN",
    "CommitError",
    "Committed",
    "Condition",
    "ConfigLog",
    "Conflict",
    "HttpObjects",
    "HttpTable",
    "Put",
    "Row",
    "Seed",
    "Table",
    "Transaction",
    "Unavailable",
    "read_seeds",
    "write_seed",
]
