"""Tests of what a node may hold, by what its machine has."""

import pytest

from endivebeam_http import (
    MAX_BODY_BYTES,
    REQUEST_OVERHEAD_BYTES,
    MemoryBudget,
    Purpose,
    ServerLimits,
)
from endivebeam_sidecar import Resources
from endivebeam_sidecar._resources import (
    COPIES,
    OWN_BYTES,
    apply_resources,
    compute_budget_bytes,
)

MEGABYTE = 1_000_000


class TestBudget:
    @pytest.mark.parametrize("memory_mb", [96, 128, 200, 300, 552, 4000])
    def test_leaves_room_for_the_node_itself(self, memory_mb: int):
        """Guards against limits that together are more than the machine has."""
        memory_bytes = memory_mb * MEGABYTE
        budget_bytes = compute_budget_bytes(Resources(memory_bytes=memory_bytes))
        assert COPIES * budget_bytes <= memory_bytes - min(
            OWN_BYTES, memory_bytes * 5 // 8
        )

    @pytest.mark.parametrize("memory_mb", [64, 96, 300])
    def test_admits_the_largest_body_on_every_machine(self, memory_mb: int):
        budget = MemoryBudget()
        limits = ServerLimits()
        resources = Resources(memory_bytes=memory_mb * MEGABYTE)
        apply_resources(resources, budget=budget, limits=limits)
        assert budget.admits(
            MAX_BODY_BYTES + REQUEST_OVERHEAD_BYTES, Purpose.LARGE_REQUEST
        )
        assert limits.max_held_bytes <= budget.max_bytes
