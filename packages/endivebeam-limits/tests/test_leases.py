"""Tests of share leases, takeover, placement and the handover of buckets."""

import itertools

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from endivebeam_limits import (
    BucketState,
    Candidate,
    HeldShare,
    HolderLease,
    LeaseTimes,
    PreferredHolders,
    Reachability,
    ShareId,
    ShareLayout,
    TakeoverWatch,
    rank_holders,
)
from endivebeam_model import AccountId, Contract, DomainName, GrantStatus, NodeId

A, B, C = DOMAINS = tuple(DomainName(name) for name in "abc")
TIMES = LeaseTimes(ttl_s=60.0, renew_s=10.0)
CONTRACT = Contract(account=AccountId("northfit"), rate_per_s=3.0, burst=30.0)


def reachability(contact: float = 0.5, store: float | None = None) -> Reachability:
    return Reachability(
        own_domain=A, domains=DOMAINS, contact_ages={B: contact}, store_age_s=store
    )


def check_repeatedly(
    lease: HolderLease, start: float, end: float, state: Reachability
) -> bool:
    """Check a lease twice a second and return the last result."""
    allowed = False
    for step in range(int((end - start) * 2) + 1):
        allowed = lease.may_grant(start + step / 2, state)
    return allowed


class TestHolderLease:
    def test_holder_in_contact_continues_during_a_store_outage(self):
        """Guards against a store outage that stops the calls of all accounts."""
        lease = HolderLease(times=TIMES, sent_at=0.0)
        assert check_repeatedly(lease, 0.0, 600.0, reachability())

    def test_holder_without_majority_stops_until_renewal(self):
        """Guards against an isolated holder that resumes after a takeover."""
        lease = HolderLease(times=TIMES, sent_at=0.0)
        assert check_repeatedly(lease, 0.0, 59.5, reachability(contact=50.0))
        assert not lease.may_grant(60.0, reachability(contact=2.1))
        assert not check_repeatedly(lease, 60.5, 80.0, reachability())
        lease.renew(80.0)
        assert lease.may_grant(80.5, reachability())

    def test_paused_holder_stops_after_its_lease(self):
        """Guards against a holder that was paused during a takeover."""
        lease = HolderLease(times=TIMES, sent_at=0.0)
        check_repeatedly(lease, 0.0, 70.0, reachability())
        assert not lease.may_grant(72.5, reachability(contact=0.1))

    def test_evidence_of_the_store_stops_a_holder_without_renewal(self):
        """Guards against two holders after the store recovered for other nodes."""
        lease = HolderLease(times=TIMES, sent_at=0.0)
        assert check_repeatedly(lease, 0.0, 100.0, reachability(store=None))
        assert check_repeatedly(lease, 100.0, 103.5, reachability(store=0.0))
        assert not lease.may_grant(104.0, reachability(store=4.0))

    def test_evidence_before_the_renewal_was_due_is_ignored(self):
        """Guards against mistaking a reply to the last renewal for a recovery."""
        lease = HolderLease(times=TIMES, sent_at=0.0)
        for now in range(0, 100):
            assert lease.may_grant(float(now), reachability(store=now - 9.0))

    def test_evidence_found_after_a_pause_counts_from_before_it(self):
        """Guards against another grace period of 4 s after a long pause."""
        lease = HolderLease(times=TIMES, sent_at=0.0)
        check_repeatedly(lease, 0.0, 20.0, reachability())
        assert lease.may_grant(59.9, reachability(store=0.0))
        assert not lease.may_grant(60.4, reachability(store=0.0))


class TestTakeoverWatch:
    def test_row_must_be_unchanged_for_the_time_to_live_and_a_margin(self):
        """Guards against a takeover from a holder whose lease is still valid."""
        watch = TakeoverWatch(times=TIMES)
        for now in range(66):
            watch.observe(float(now), 3, reachability())
            assert not watch.may_take_over(float(now))
        watch.observe(66.0, 3, reachability())
        assert watch.may_take_over(66.0)
        watch.observe(67.0, 4, reachability())
        assert not watch.may_take_over(67.0)

    def test_store_and_majority_must_be_reachable_for_ten_seconds(self):
        """Guards against a takeover before the old holder learns of the recovery."""
        for fault in (reachability(contact=3.0), reachability()):
            watch = TakeoverWatch(times=TIMES)
            for now in range(100):
                watch.observe(float(now), 3, reachability())
            version = 3 if fault.contact_ages[B] > 2 else None
            watch.observe(100.0, version, fault)
            for now in range(101, 111):
                watch.observe(float(now), 3, reachability())
                assert not watch.may_take_over(float(now))
            watch.observe(111.0, 3, reachability())
            assert watch.may_take_over(111.0)

    def test_gap_between_reads_restarts_the_ten_seconds(self):
        """Guards against a candidate that was paused during an outage."""
        watch = TakeoverWatch(times=TIMES)
        watch.observe(0.0, 3, reachability())
        watch.observe(100.0, 3, reachability())
        assert not watch.may_take_over(100.0)


class TestHeldShare:
    def make(self, since: float | None) -> HeldShare:
        return HeldShare(
            share=ShareId(0, 0),
            slots=3,
            epoch=1,
            version=1,
            lease=HolderLease(times=TIMES, sent_at=0.0),
            since=since,
        )

    def request(self, share: HeldShare, need: float, now: float) -> GrantStatus:
        return share.grant(
            CONTRACT,
            need=need,
            want=need,
            reports=[],
            grant_ids=itertools.count(1),
            reachability=reachability(),
            now=now,
        ).status

    def test_new_holder_starts_empty_and_first_holder_full(self):
        """Guards against a second burst after a holder failed."""
        assert self.request(self.make(None), 10.0, 0.0) is GrantStatus.GRANTED
        share = self.make(0.0)
        share.update_contracts({CONTRACT.account: CONTRACT}, 0.0)
        assert self.request(share, 2.1, 2.0) is GrantStatus.DECLINED
        assert self.request(share, 2.0, 2.0) is GrantStatus.GRANTED

    def test_lowering_the_burst_does_not_refill_the_bucket(self):
        """Guards against a full bucket after a burst was lowered and raised."""
        share = self.make(None)
        assert self.request(share, 10.0, 0.0) is GrantStatus.GRANTED
        lower = msgspec.structs.replace(CONTRACT, burst=0.3)
        share.update_contracts({CONTRACT.account: lower}, 2.0)
        share.update_contracts({CONTRACT.account: lower}, 3.0)
        share.update_contracts({CONTRACT.account: CONTRACT}, 4.0)
        assert self.request(share, 1.0, 4.0) is GrantStatus.DECLINED

    def test_handover_keeps_outstanding_tokens_until_they_expire(self):
        """Guards against refilling tokens that the old holder granted."""
        share = self.make(None)
        states = {CONTRACT.account: BucketState(level=0.0, outstanding=10.0)}
        contracts = {CONTRACT.account: CONTRACT}
        share.load(states, contracts, itertools.count(1), 0.0)
        assert self.request(share, 0.5, 1.0) is GrantStatus.DECLINED
        assert self.request(share, 0.9, 2.1) is GrantStatus.GRANTED

    def test_contract_written_again_does_not_refill_its_burst(self):
        """Guards against a full bucket after a contract was removed and rewritten."""
        share = self.make(None)
        assert self.request(share, 10.0, 0.0) is GrantStatus.GRANTED
        share.update_contracts({}, 1.0)
        assert self.request(share, 5.0, 1.0) is GrantStatus.DECLINED


class TestPlacement:
    def test_departed_node_moves_only_its_own_shares(self):
        """Guards against moving all shares when one node joins or leaves."""
        layout = ShareLayout(groups=64, domains=DOMAINS)
        nodes = [Candidate(NodeId(f"{d}-{n}"), d) for d in DOMAINS for n in range(5)]
        before = {s: rank_holders(s, layout, nodes)[0] for s in layout.shares()}
        after = {s: rank_holders(s, layout, nodes[1:])[0] for s in layout.shares()}
        moved = {s for s in before if before[s] != after[s]}
        assert moved == {s for s in before if before[s] == nodes[0].node_id}
        assert len(set(before.values())) == len(nodes)
        assert all(before[s].startswith(layout.domains[s.slot]) for s in before)

    def test_domain_without_nodes_is_served_by_others(self):
        """Guards against accounts that lose a share when its domain fails."""
        layout = ShareLayout(groups=64, domains=DOMAINS)
        nodes = [Candidate(NodeId("b-0"), B), Candidate(NodeId("c-0"), C)]
        holders = {rank_holders(ShareId(g, 0), layout, nodes)[0] for g in range(64)}
        assert holders == {"b-0", "c-0"}

    @given(
        steps=st.lists(st.sets(st.integers(0, 8), max_size=9), min_size=1, max_size=8)
    )
    def test_preferred_holders_match_the_ranking(self, steps: list[set[int]]):
        """Guards against a preferred holder that is outdated after a change."""
        layout = ShareLayout(groups=4, domains=DOMAINS)
        preferred_holders = PreferredHolders(layout=layout, domain=A)
        for numbers in steps:
            live = [Candidate(NodeId(f"n{n}"), DOMAINS[n % 3]) for n in numbers]
            own = {c.node_id for c in live if c.domain == A}
            preferred_holders.update(own, {c.domain for c in live})
            for share in layout.shares()[:: len(steps) % 2 + 1]:
                ranked = rank_holders(share, layout, live)
                preferred = ranked[0] if ranked and ranked[0] in own else None
                assert preferred_holders.get(share) == preferred
