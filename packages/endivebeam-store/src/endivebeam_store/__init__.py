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
    LayoutRecord,
    ShareConflict,
    ShareRecord,
    ShareWrite,
    StoredShare,
    claim_layout,
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
    "LayoutRecord",
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
    "claim_layout",
    "read_seeds",
    "read_share",
    "share_key",
    "write_seed",
    "write_shares",
]
