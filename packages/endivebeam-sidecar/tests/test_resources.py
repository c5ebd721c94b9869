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
    CONNECTION_BYTES,
    COPIES,
    FILE_DESCRIPTORS,
    OWN_BYTES,
    apply_resources,
    compute_budget_bytes,
    compute_max_connections,
)

MEGABYTE = 1_000_000


class TestBudget:
    @pytest.mark.parametrize("memory_mb", [64, 96, 128, 200, 300, 552, 4000])
    def test_leaves_room_for_the_node_itself(self, memory_mb: int):
        """Guards against limits that together are more than the machine has."""
        resources = Resources(memory_bytes=memory_mb * MEGABYTE, descriptors=8192)
        held_bytes = COPIES * compute_budget_bytes(resources)
        open_bytes = compute_max_connections(resources) * CONNECTION_BYTES
        assert held_bytes + open_bytes <= resources.memory_bytes - min(
            OWN_BYTES, resources.memory_bytes / 2
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

    def test_large_requests_and_unread_responses_leave_room_for_small_requests(self):
        """Guards against two crowds that together shut out ordinary requests."""
        limits = ServerLimits()
        budget = MemoryBudget()
        apply_resources(Resources(), budget=budget, limits=limits)
        large_bytes = int(budget.max_bytes * Purpose.LARGE_REQUEST.value)
        budget.used_bytes = large_bytes + limits.max_held_bytes
        assert budget.admits(budget.max_bytes // 10, Purpose.SMALL_REQUEST)


class TestConnections:
    @pytest.mark.parametrize("descriptors", [300, 600, 4100, 8192])
    @pytest.mark.parametrize("memory_mb", [64, 300, 552])
    def test_leave_descriptors_and_memory_for_the_rest(
        self, descriptors: int, memory_mb: int
    ):
        """Guards against callers that take what targets, nodes and the store need."""
        resources = Resources(
            memory_bytes=memory_mb * MEGABYTE, descriptors=descriptors
        )
        count = compute_max_connections(resources)
        assert count <= (descriptors - FILE_DESCRIPTORS) * 3 // 4
        assert count * CONNECTION_BYTES <= compute_budget_bytes(resources) / 2

    def test_are_many_on_a_usual_machine(self):
        assert compute_max_connections(Resources()) == 2925
