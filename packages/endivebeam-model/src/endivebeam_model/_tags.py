"""Entity tags of configuration objects, for conditional changes."""

import hashlib

import msgspec

from ._changes import (
    Change,
    IssueKey,
    PutContract,
    PutService,
    RemoveContract,
    RemoveService,
    WithdrawKey,
)
from ._contracts import Contract, Key, Service, Snapshot

TAG_LENGTH = 16

ABSENT_TAG = "absent"
"""Tag of an object that does not exist."""


def make_tag(value: Contract | Service | Key | None) -> str:
    """Return the tag of an object; equal objects have equal tags.

    >>> make_tag(None)
    'absent'
    """
    if value is None:
        return ABSENT_TAG
    encoded = msgspec.json.encode(value, order="deterministic")
    return hashlib.sha256(encoded).hexdigest()[:TAG_LENGTH]


def find_object(snapshot: Snapshot, change: Change) -> Contract | Service | Key | None:
    """Return the object that a change would replace or remove."""
    match change:
        case PutContract(contract=contract):
            return snapshot.contracts.get(contract.account)
        case RemoveContract(account=account):
            return snapshot.contracts.get(account)
        case PutService(service=service):
            return snapshot.services.get(service.service)
        case RemoveService(service=name):
            return snapshot.services.get(name)
        case IssueKey(key=key):
            return snapshot.keys.get(key.digest)
        case WithdrawKey(digest=digest):
            return snapshot.keys.get(digest)
