"""Seed rows: peer addresses through which a new node joins the fleet."""

import secrets
from collections.abc import Sequence

import msgspec
from returns.result import Result

from endivebeam_model import Address, DomainName, OperationId

from ._rows import (
    CommitError,
    Committed,
    Put,
    Row,
    Table,
    Transaction,
    Unavailable,
    decode_value,
)

SEEDS_PER_DOMAIN = 4
MAX_SEED_ROWS = 256


class Seed(msgspec.Struct, frozen=True, kw_only=True):
    """Peer address of a live node."""

    address: Address
    domain: DomainName


async def read_seeds(table: Table) -> Result[Sequence[Seed], Unavailable]:
    """Return the seeds of all failure domains."""
    result = await table.scan("seeds/", limit=MAX_SEED_ROWS)
    return result.map(_decode_seeds)


async def write_seed(
    table: Table, seed: Seed, *, slot: int
) -> Result[Committed, CommitError]:
    """Store a node's address in one of the slots of its failure domain."""
    key = f"seeds/{seed.domain}/{slot % SEEDS_PER_DOMAIN}"
    transaction = Transaction(
        op_id=OperationId(secrets.token_hex(16)),
        conditions=(),
        puts=(Put(key=key, value=msgspec.json.encode(seed).decode()),),
    )
    return await table.commit(transaction)


def _decode_seeds(rows: Sequence[Row]) -> Sequence[Seed]:
    # Skips malformed rows, so that a node can still use the seeds in the others.
    decoded = (decode_value(row, Seed).value_or(None) for row in rows)
    return [seed for seed in decoded if seed is not None]
