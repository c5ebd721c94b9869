"""Tests of which connections are closed for peers that take no bytes."""

from hypothesis import given
from hypothesis import strategies as st

from endivebeam_http._slow_readers import (
    SendProgress,
    SlowReader,
    choose_readers_to_drop,
)

READERS = st.lists(st.tuples(st.integers(0, 100), st.floats(0, 60)), max_size=8).map(
    lambda pairs: [SlowReader(number, *pair) for number, pair in enumerate(pairs)]
)


class TestChoice:
    @given(READERS, st.integers(0, 400))
    def test_drops_those_stalled_longest_and_no_more_than_needed(
        self, readers: list[SlowReader[int]], max_bytes: int
    ):
        dropped = choose_readers_to_drop(readers, max_bytes=max_bytes)
        kept = [r for r in readers if r.connection not in dropped]
        assert sum(r.held_bytes for r in kept) <= max_bytes
        if dropped:
            last = readers[dropped[-1]]
            assert sum(r.held_bytes for r in kept) + last.held_bytes > max_bytes
            assert all(r.stalled_s <= last.stalled_s for r in kept)


class TestSendProgress:
    def test_peer_that_takes_a_byte_makes_progress(self):
        progress = SendProgress()
        progress.record_sent(10, unsent_bytes=10, now=1.0)
        progress.update(unsent_bytes=9, now=8.0)
        assert progress.stalled_s(now=9.0) == 1.0

    def test_further_bytes_are_no_progress(self):
        """Guards against a peer that reads nothing and is kept by its own requests."""
        progress = SendProgress()
        progress.record_sent(10, unsent_bytes=10, now=1.0)
        progress.record_sent(10, unsent_bytes=20, now=8.0)
        assert progress.stalled_s(now=9.0) == 8.0

    def test_standstill_begins_with_the_first_byte_that_is_not_taken(self):
        progress = SendProgress()
        progress.record_sent(10, unsent_bytes=0, now=1.0)
        assert progress.stalled_s(now=50.0) == 0.0
        progress.record_sent(10, unsent_bytes=10, now=60.0)
        assert progress.stalled_s(now=61.0) == 1.0
