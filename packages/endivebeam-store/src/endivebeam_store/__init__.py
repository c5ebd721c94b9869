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
from ._shares import (
    SHARE_PREFIX,
    ShareConflict,
    ShareRecord,
    ShareWrite,
    StoredShare,
    read_share,
    share_key,
    write_shares,
)
from ._table import HttpTable

__all__ = [
    "SEEDS_PER_DOMAIN",
    "SHARE_PREFIX",
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
    "ShareConflict",
    "ShareRecord",
    "ShareWrite",
    "StoredShare",
    "Table",
    "Transaction",
    "Unavailable",
    "read_seeds",
    "read_share",
    "share_key",
    "write_seed",
    "write_shares",
]
