"""A short soak; ``python -m thistlegate_standin soak`` runs many and longer ones."""

import pytest

from thistlegate_standin import Outcome, run_soak

SEED = 1
SECONDS = 12.0
ACTIONS = ("hang_up", "stop", "publish", "silence", "restore")


@pytest.mark.anyio
@pytest.mark.process
class TestSoak:
    async def test_overlapping_planned_work_cuts_no_request(self):
        """Guards against requests that stops, signals and restarts together cut."""
        result = await run_soak(seed=SEED, seconds=SECONDS)
        assert result.violations == []
        assert set(result.actions) == set(ACTIONS)
        assert result.outcomes[Outcome.ANSWERED] > 100, result
