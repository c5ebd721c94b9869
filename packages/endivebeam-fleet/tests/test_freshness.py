"""Tests of the age of the evidence for a node's configuration."""

import math

from hypothesis import given
from hypothesis import strategies as st

from endivebeam_fleet import Freshness
from endivebeam_model import UNKNOWN_ERA, NodeId, StoreEra

OWN = NodeId("own")
PEER = NodeId("peer")
ERA = StoreEra(1)
DELAYS = st.floats(0, 3)


class TestFreshness:
    def test_is_infinitely_old_without_evidence(self):
        assert Freshness().age_s(100.0) == math.inf

    @given(
        st.floats(-1000, 1000),
        st.lists(st.tuples(DELAYS, DELAYS, DELAYS), min_size=1, max_size=8),
    )
    def test_is_never_younger_than_the_last_reply_of_the_store(
        self, offset: float, exchanges: list[tuple[float, float, float]]
    ):
        # Guards against an underestimated age, with which a node would accept a
        # withdrawn key for longer than allowed.
        freshness = Freshness()
        now = 2000.0
        newest_reply = -math.inf
        for request_s, wait_s, reply_s in exchanges:
            sent_at = now
            replied_at = sent_at + request_s + wait_s
            now = replied_at + reply_s
            freshness.record_store_response(
                sent_at=sent_at,
                received_at=now,
                store_now=replied_at - offset,
                own=OWN,
                era=ERA,
            )
            newest_reply = max(newest_reply, replied_at)
            assert freshness.age_s(now) >= now - newest_reply - 1e-6

    def test_dates_the_reply_to_a_long_poll_once_the_offset_is_known(self):
        freshness = Freshness()
        freshness.record_store_response(
            sent_at=10.0, received_at=10.01, store_now=510.004, own=OWN, era=ERA
        )
        freshness.record_store_response(
            sent_at=11.0, received_at=13.01, store_now=513.0, own=OWN, era=ERA
        )
        assert freshness.age_s(13.0) < 0.1

    def test_store_clock_that_jumps_ahead_does_not_reduce_the_age(self):
        freshness = Freshness()
        freshness.record_store_response(
            sent_at=10.0, received_at=10.01, store_now=510.0, own=OWN, era=ERA
        )
        freshness.record_store_response(
            sent_at=11.0, received_at=11.01, store_now=900.0, own=OWN, era=ERA
        )
        assert abs(freshness.age_s(14.01) - 3.0) < 1e-6

    @given(st.floats(-60, 60), DELAYS, DELAYS)
    def test_is_not_younger_after_the_store_came_back_with_another_clock(
        self, jump_s: float, wait_s: float, reply_s: float
    ):
        # Guards against an offset of the earlier clock, which dates a late response
        # to a long poll too recently if the clock jumped ahead.
        freshness = Freshness()
        freshness.record_store_response(
            sent_at=10.0, received_at=10.01, store_now=510.0, own=OWN, era=ERA
        )
        replied_at = 20.0 + wait_s
        now = replied_at + reply_s
        freshness.record_store_response(
            sent_at=20.0,
            received_at=now,
            store_now=replied_at + 500.0 + jump_s,
            own=OWN,
            era=StoreEra(2),
        )
        assert freshness.age_s(now) >= reply_s - 1e-6

    def test_age_from_a_peer_counts_from_the_request(self):
        # Guards against an underestimated age when the reply is delayed.
        freshness = Freshness()
        freshness.record_peer_age(requested_at=10.0, age_s=0.5, reader=PEER, era=ERA)
        assert freshness.age_s(14.0) == 4.5

    def test_older_evidence_does_not_replace_newer(self):
        freshness = Freshness()
        freshness.record_peer_age(requested_at=10.0, age_s=0.0, reader=PEER, era=ERA)
        freshness.record_peer_age(requested_at=11.0, age_s=3.0, reader=PEER, era=ERA)
        assert freshness.age_s(12.0) == 2.0

    def test_evidence_of_an_earlier_or_unknown_era_is_ignored(self):
        # Guards against a node of an earlier version, which goes on from a position
        # of an earlier era.
        freshness = Freshness()
        freshness.record_peer_age(
            requested_at=10.0, age_s=0.0, reader=PEER, era=StoreEra(2)
        )
        for era in (UNKNOWN_ERA, StoreEra(1)):
            freshness.record_peer_age(
                requested_at=12.0, age_s=0.0, reader=PEER, era=era
            )
        assert freshness.age_s(12.0) == 2.0

    def test_reader_is_the_node_of_the_newest_evidence(self):
        # Guards against logs that name another node than the one relied on.
        freshness = Freshness()
        assert freshness.reader is None
        freshness.record_peer_age(requested_at=10.0, age_s=0.0, reader=PEER, era=ERA)
        freshness.record_peer_age(
            requested_at=11.0, age_s=3.0, reader=NodeId("other"), era=ERA
        )
        assert freshness.reader == PEER
        freshness.record_store_response(
            sent_at=12.0, received_at=12.01, store_now=510.0, own=OWN, era=ERA
        )
        assert freshness.reader == OWN
