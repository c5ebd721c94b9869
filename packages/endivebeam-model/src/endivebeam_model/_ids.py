"""Distinct types for identifiers, so that a type checker distinguishes them."""

from typing import NewType

NodeId = NewType("NodeId", str)
AccountId = NewType("AccountId", str)
ServiceName = NewType("ServiceName", str)
DomainName = NewType("DomainName", str)
RegionName = NewType("RegionName", str)
OperationId = NewType("OperationId", str)
ChainId = NewType("ChainId", str)

KeyDigest = NewType("KeyDigest", str)
"""Lower-case hexadecimal SHA-256 digest of a client key."""

ConfigVersion = NewType("ConfigVersion", int)
"""Version of the configuration; the empty configuration has version 0."""
