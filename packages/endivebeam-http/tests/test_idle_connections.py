"""Tests of which connections make room for new ones."""

from hypothesis import given
from hypothesis import strategies as st

from endivebeam_http._idle_connections import (
    Candidate,
    Standing,
    choose_connections_to_close,
)

CANDIDATES = st.lists(
    st.tuples(st.sampled_from(Standing), st.floats(0, 60)), max_size=12
).map(lambda pairs: [Candidate(number, *pair) for number, pair in enumerate(pairs)])


class TestChoice:
    @given(CANDIDATES, st.integers(0, 12))
    def test_closes_no_busy_one_and_none_before_a_lesser_one(
        self, candidates: list[Candidate[int]], count: int
    ):
        closed = choose_connections_to_close(candidates, count=count)
        kept = [c for c in candidates if c.connection not in closed]
        closable = [c for c in candidates if c.standing is not Standing.BUSY]
        assert len(closed) == min(count, len(closable))
        for number in closed:
            chosen = candidates[number]
            assert chosen.standing is not Standing.BUSY
            for other in kept:
                assert other.standing >= chosen.standing
                same = other.standing is chosen.standing
                assert not same or other.waited_s <= chosen.waited_s
