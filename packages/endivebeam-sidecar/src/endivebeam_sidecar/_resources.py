"""What a node may hold for others, by what its machine has."""

import msgspec

from endivebeam_http import MemoryBudget, ServerLimits

# Kept free for the node's own state.
OWN_BYTES = 64 << 20
# Held bytes stand in memory up to this often: as they were received, as they are sent
# on, and as a copy between the two.
COPIES = 3
# A node with less memory than it needs for itself may hold this part of it.
MIN_BUDGET_FRACTION = 1 / 8
# Part of the budget for responses that callers don't take.
RESPONSE_FRACTION = 0.5


class Resources(msgspec.Struct, frozen=True, kw_only=True):
    """Memory in bytes that a process of this machine may use."""

    memory_bytes: int = 300 << 20


def compute_budget_bytes(resources: Resources) -> int:
    """Return how many bytes a node may hold for callers, targets and other nodes.

    >>> compute_budget_bytes(Resources(memory_bytes=256 << 20)) >> 20
    64
    """
    left = (resources.memory_bytes - OWN_BYTES) // COPIES
    return max(left, int(resources.memory_bytes * MIN_BUDGET_FRACTION))


def apply_resources(
    resources: Resources, *, budget: MemoryBudget, limits: ServerLimits
) -> None:
    """Set how much may be held, and how many bytes of responses of it."""
    budget.max_bytes = compute_budget_bytes(resources)
    limits.max_held_bytes = int(budget.max_bytes * RESPONSE_FRACTION)
