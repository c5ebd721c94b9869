"""Tests of the account of held bytes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from endivebeam_http import (
    REQUEST_OVERHEAD_BYTES,
    HeldBytes,
    MemoryBudget,
    Purpose,
    get_request_purpose,
)
from endivebeam_http._connection_memory import ConnectionMemory
from endivebeam_http._memory import SMALL_REQUEST_BYTES

BUDGET_BYTES = 1 << 20


class TestBudget:
    @pytest.mark.parametrize("purpose", Purpose)
    def test_room_ends_at_the_part_of_the_purpose(self, purpose: Purpose):
        budget = MemoryBudget(max_bytes=1000)
        size = int(1000 * purpose.value)
        assert budget.admits(size, purpose)
        assert not budget.admits(size + 1, purpose)

    def test_small_requests_and_answers_find_room_beside_large_requests(self):
        """Guards against bodies that leave no room for ordinary requests."""
        budget = MemoryBudget(max_bytes=BUDGET_BYTES)
        size = 4 * SMALL_REQUEST_BYTES
        while budget.admits(size, get_request_purpose(size)):
            HeldBytes(budget).resize(size)
        small = SMALL_REQUEST_BYTES
        assert budget.admits(small, get_request_purpose(small))
        assert budget.admits(size, Purpose.ANSWER)

    @given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 1000))))
    def test_use_is_the_sum_of_the_owners(self, changes: list[tuple[int, int]]):
        budget = MemoryBudget(max_bytes=1500)
        owners = [HeldBytes(budget) for _ in range(4)]
        for number, size in changes:
            before = owners[number].size
            if not owners[number].grow(size, Purpose.ANSWER):
                assert owners[number].size == before
                assert budget.used_bytes + size - before > 1500
            assert budget.used_bytes == sum(owner.size for owner in owners) <= 1500


class TestConnectionMemory:
    def make(self) -> tuple[MemoryBudget, ConnectionMemory]:
        budget = MemoryBudget(max_bytes=BUDGET_BYTES)
        return budget, ConnectionMemory(budget=budget, on_full=self.record_full)

    def setup_method(self) -> None:
        self.full = 0

    def record_full(self) -> None:
        self.full += 1

    def test_request_that_was_received_has_room(self):
        """Guards against a body that is refused after it came whole."""
        budget, memory = self.make()
        size = BUDGET_BYTES // 4
        assert memory.receive(size)
        HeldBytes(budget).resize(BUDGET_BYTES // 2)
        received = memory.drop_received()
        total = size + REQUEST_OVERHEAD_BYTES
        assert memory.accept(total, received_bytes=received)
        assert self.full == 0

    def test_request_without_room_is_not_held(self):
        budget, memory = self.make()
        HeldBytes(budget).resize(BUDGET_BYTES)
        assert not memory.receive(1)
        assert not memory.accept(REQUEST_OVERHEAD_BYTES + 1, received_bytes=0)
        assert budget.used_bytes == BUDGET_BYTES
        assert self.full == 2

    def test_room_that_is_made_is_used(self):
        budget = MemoryBudget(max_bytes=BUDGET_BYTES)
        other = HeldBytes(budget)
        other.resize(BUDGET_BYTES)
        memory = ConnectionMemory(budget=budget, on_full=lambda: other.resize(0))
        assert memory.receive(100)
        assert budget.used_bytes == 100
