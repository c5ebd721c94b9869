"""Tests in virtual time of when a node that stops accepts nothing more and ends."""

import anyio
from hypothesis import given
from hypothesis import strategies as st

from endivebeam_sidecar._planned_stop import (
    LAST_RESPONSES_S,
    POLL_S,
    finish_requests,
    start_planned_stop,
)

LIMIT_S = 5.0
# Of arrivals in seconds after the start of the stop, and how long each needs.
ARRIVALS = st.lists(
    st.tuples(st.floats(0, 1.2 * LIMIT_S), st.floats(0, LIMIT_S)), max_size=20
)


class VirtualNode:
    """A node whose requests arrive while it awaits, at given times."""

    def __init__(self, arrivals: list[tuple[float, float]]) -> None:
        self.now = 0.0
        self.intake_ended_at: float | None = None
        self.stop = start_planned_stop(limit_s=LIMIT_S, now=0.0)
        # Ends of the requests that were accepted.
        self.ends: list[float] = []
        self._arrivals = sorted(arrivals)

    async def sleep(self, seconds: float) -> None:
        self.now += seconds
        while self._arrivals and self._arrivals[0][0] <= self.now:
            arrived, needed_s = self._arrivals.pop(0)
            if self.intake_ended_at is None and self.stop.admits(needed_s, arrived):
                self.ends.append(arrived + needed_s)

    def is_idle(self) -> bool:
        return all(end <= self.now for end in self.ends)

    def end_intake(self) -> None:
        self.intake_ended_at = self.now

    async def run(self) -> None:
        await finish_requests(
            self.stop,
            is_idle=self.is_idle,
            end_intake=self.end_intake,
            is_finished=self.is_idle,
            clock=lambda: self.now,
            sleep=self.sleep,
        )


class TestFinishRequests:
    @given(ARRIVALS)
    def test_ends_in_time_and_cuts_only_what_came_early_and_takes_too_long(
        self, arrivals: list[tuple[float, float]]
    ):
        """Guards against a stop that accepts requests which it then cuts off."""
        node = VirtualNode(arrivals)
        anyio.run(node.run)
        latest = LIMIT_S + LAST_RESPONSES_S + 2 * POLL_S
        assert node.intake_ended_at is not None
        assert node.intake_ended_at <= LIMIT_S + POLL_S
        assert node.now <= latest
        assert all(end <= node.now or end > LIMIT_S for end in node.ends)

    def test_serves_while_something_is_in_progress(self):
        """Guards against callers that are turned away while the node waits anyway."""
        node = VirtualNode([(1.0, 3.0), (3.9, 0.5)])
        anyio.run(node.run)
        assert node.ends == [4.0, 4.4]
        assert node.now < 4.5 + POLL_S

    def test_ends_at_once_when_callers_have_gone_elsewhere(self):
        node = VirtualNode([])
        anyio.run(node.run)
        assert node.stop.drained_at < node.now <= node.stop.drained_at + 2 * POLL_S
