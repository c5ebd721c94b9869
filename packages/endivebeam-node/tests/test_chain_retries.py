"""Tests that retries of one request are bounded over its whole call chain."""

from collections.abc import Iterator

import pytest
from benchmarks.chain_model import Faults, run_chain
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

MAX_DEPTH = 23
MAX_REROUTES = 3


@pytest.fixture(autouse=True, scope="module")
def _disable_logging() -> Iterator[None]:
    logger.disable("endivebeam_node")
    yield
    logger.enable("endivebeam_node")


FAULTS = st.builds(
    Faults,
    fails=st.sampled_from([0.0, 0.5, 1.0]),
    errors=st.sampled_from([0.0, 0.3]),
    sheds=st.sampled_from([0.0, 0.2]),
    lost_streams=st.sampled_from([0.0, 0.1, 0.3]),
    drains=st.sampled_from([0.0, 0.3]),
    target_retries=st.sampled_from([0, 3]),
)


class TestCreditBound:
    @settings(max_examples=60)
    @given(
        depth=st.integers(1, MAX_DEPTH),
        faults=FAULTS,
        credits=st.integers(0, 4),
        seed=st.integers(0, 2**32),
    )
    def test_chain_spends_at_most_its_credits(
        self, depth: int, faults: Faults, credits: int, seed: int
    ):
        """Guards against retries that multiply with depth or after lost streams."""
        result = run_chain(depth=depth, faults=faults, credits=credits, seed=seed)
        tally = result.tally
        assert tally.retries <= credits
        assert max(tally.executions.values(), default=0) <= 1 + credits
        # Each execution of a call contacts at most 1 + MAX_REROUTES draining nodes,
        # and a chain executes each of its calls at most 1 + credits times.
        contacts = (1 + MAX_REROUTES) * (1 + credits)
        assert max(tally.declined.values(), default=0) <= contacts
        assert sum(tally.declined.values()) <= contacts * depth

    @settings(max_examples=40)
    @given(
        depth=st.integers(2, 5),
        faults=FAULTS,
        no_context=st.sampled_from([0.0, 0.5]),
        credits=st.integers(0, 4),
        seed=st.integers(0, 2**32),
    )
    def test_concurrent_nested_calls_share_the_credits(
        self, depth: int, faults: Faults, no_context: float, credits: int, seed: int
    ):
        """Guards against credits spent by two calls, or by one without context."""
        mixed = Faults(
            fails=faults.fails,
            errors=faults.errors,
            lost_streams=faults.lost_streams,
            # Without a context, a retry by the target cannot be distinguished from
            # a new call, so only retries by nodes are counted.
            target_retries=0 if no_context else faults.target_retries,
            no_context=no_context,
            fan_out=2,
        )
        result = run_chain(depth=depth, faults=mixed, credits=credits, seed=seed)
        assert result.tally.retries <= credits

    def test_refusal_after_a_lost_attempt_is_uncertain(self):
        """Guards against a refusal "not run" after an attempt that may have run."""
        faults = Faults(lost_streams=0.5, sheds=0.8)
        refused = 0
        for seed in range(60):
            result = run_chain(depth=1, faults=faults, credits=3, seed=seed)
            if result.tally.uncertain and result.refusal_run is not None:
                refused += 1
                assert result.refusal_run == "unknown"
        assert refused


class TestCancellation:
    @pytest.mark.parametrize("detached", [False, True])
    def test_work_stops_at_the_deadline(self, detached: bool):
        """Guards against work at any depth after the caller's deadline."""
        result = run_chain(
            depth=6,
            faults=Faults(leaf_hangs=True, detached=detached),
            credits=2,
            seed=1,
            timeout_s=1.0,
        )
        assert result.tally.executions[6] == 1
        assert result.still_running == 0

    @pytest.mark.parametrize("detached", [False, True])
    def test_work_stops_when_the_caller_disconnects(self, detached: bool):
        """Guards against nested calls that outlive their parent call."""
        result = run_chain(
            depth=6,
            faults=Faults(leaf_hangs=True, detached=detached),
            credits=2,
            seed=1,
            disconnect_after_s=1.0,
        )
        assert result.tally.executions[6] == 1
        assert result.still_running == 0
