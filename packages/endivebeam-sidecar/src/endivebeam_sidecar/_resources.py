"""What a node may hold for others, by what its machine has."""

import msgspec

from endivebeam_http import MemoryBudget, ServerLimits

# Kept free for the node's own state.
OWN_BYTES = 64 << 20
# Held bytes stand in memory up to this often: as they were received, as they are sent
# on, and as a copy between the two.
COPIES = 3
# Open connections may take this part of the budget on top of it.
CONNECTION_FRACTION = 0.5
# A node with less memory than it needs for itself may hold this part of it.
MIN_BUDGET_FRACTION = 1 / 16
# Part of the budget for responses that callers don't take. Together with the part for
# large requests it leaves room for small ones.
RESPONSE_FRACTION = 0.3
# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
# The others serve targets, nodes, the store, readiness and control.
CALLER_DESCRIPTOR_FRACTION = 0.75
# Memory of the process and of the event loop for an open connection.
CONNECTION_BYTES = 8 << 10
MIN_CALLER_CONNECTIONS = 16


class Resources(msgspec.Struct, frozen=True, kw_only=True):
    """Memory in bytes and descriptors that a process of this machine may use."""

    memory_bytes: int = 300 << 20
    descriptors: int = 4100


def compute_budget_bytes(resources: Resources) -> int:
    """Return how many bytes a node may hold for callers, targets and other nodes.

    >>> compute_budget_bytes(Resources(memory_bytes=288 << 20)) >> 20
    64
    """
    left = (resources.memory_bytes - OWN_BYTES) / (COPIES + CONNECTION_FRACTION)
    return int(max(left, resources.memory_bytes * MIN_BUDGET_FRACTION))


def compute_max_connections(resources: Resources) -> int:
    """Return how many connections of callers may be open.

    >>> compute_max_connections(Resources(descriptors=600))
    300
    """
    descriptors = resources.descriptors - FILE_DESCRIPTORS
    by_descriptors = int(descriptors * CALLER_DESCRIPTOR_FRACTION)
    connection_bytes = compute_budget_bytes(resources) * CONNECTION_FRACTION
    by_memory = int(connection_bytes / CONNECTION_BYTES)
    return max(MIN_CALLER_CONNECTIONS, min(by_descriptors, by_memory))


def apply_resources(
    resources: Resources, *, budget: MemoryBudget, limits: ServerLimits
) -> None:
    """Set how much may be held, and how many connections and responses of it."""
    budget.max_bytes = compute_budget_bytes(resources)
    limits.max_connections = compute_max_connections(resources)
    limits.max_held_bytes = int(budget.max_bytes * RESPONSE_FRACTION)
