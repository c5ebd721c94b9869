"""Lookups for each call: its route and the contract of its client key."""

import hashlib

from returns.result import Failure, Result, Success

from ._contracts import Contract, Route, Service, Snapshot
from ._ids import KeyDigest
from ._states import RefusalReason


def digest_key(key: str) -> KeyDigest:
    """Return the SHA-256 digest under which a client key is stored.

    >>> digest_key("eb_example")[:8]
    '30482f25'
    """
    return KeyDigest(hashlib.sha256(key.encode()).hexdigest())


def find_route(service: Service, method: str, path: str) -> Route | None:
    """Return the route with the longest matching path.

    Among routes with equal paths, a specific method takes precedence over ``*``.
    """
    best: Route | None = None
    best_rank = (-1, False)
    for route in service.routes:
        if route.method not in (method, "*"):
            continue
        if not _is_path_prefix(route.path, path):
            continue
        rank = (len(route.path), route.method != "*")
        if rank > best_rank:
            best = route
            best_rank = rank
    return best


def _is_path_prefix(prefix: str, path: str) -> bool:
    trimmed = prefix.rstrip("/")
    return path == trimmed or path.startswith(trimmed + "/")


def authenticate(snapshot: Snapshot, key: str) -> Result[Contract, RefusalReason]:
    """Return the contract of the client account that a key belongs to.

    Keys are indexed by digest. The lookup leaks no prefix of a key through timing,
    because the caller cannot choose the bytes of the digest. A key without a
    contract counts as withdrawn.
    """
    record = snapshot.keys.get(digest_key(key))
    if record is None:
        return Failure(RefusalReason.KEY_UNKNOWN)
    if record.withdrawn:
        return Failure(RefusalReason.KEY_WITHDRAWN)
    contract = snapshot.contracts.get(record.account)
    if contract is None:
        return Failure(RefusalReason.KEY_WITHDRAWN)
    return Success(contract)
