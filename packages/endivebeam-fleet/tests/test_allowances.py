"""Tests of rate allowances under any order of renewals, losses and crashes."""

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from endivebeam_fleet import (
    EXHAUSTED_PAUSE_S,
    LEASE_S,
    AccountTerms,
    AllowanceHolder,
    AllowanceRequester,
    LeaseRenewal,
    TokenNeed,
    Tolerance,
    rank_by_incarnation,
)
from endivebeam_model import (
    AccountId,
    Address,
    DomainName,
    Member,
    MemberState,
    NodeId,
    RegionName,
    ServiceName,
)

ACCOUNT = AccountId("fit")
RATE, BURST, WINDOW_S = 20.0, 20.0, 5.0
TERMS = AccountTerms(account=ACCOUNT, key_digests=(), rate_per_s=RATE, burst=BURST)
TOLERANCE = Tolerance(over=0.1, slack=20.0, window_s=WINDOW_S)
NODES = [NodeId(f"n{i}") for i in range(4)]


class Fleet:
    """Nodes that each are a holder and a requester, with virtual time."""

    def __init__(self) -> None:
        self.now = 100.0
        self.requesters = {n: self._make_requester(n) for n in NODES}
        self.holders = {n: AllowanceHolder(tolerance=TOLERANCE) for n in NODES}
        self.spent: list[float] = []

    def _make_requester(self, node: NodeId) -> AllowanceRequester:
        return AllowanceRequester(node_id=node, window_s=WINDOW_S, started_at=self.now)

    def renew_lease(
        self,
        node: NodeId,
        preferred: NodeId,
        *,
        lost: bool = False,
        terms: AccountTerms = TERMS,
    ) -> None:
        requester = self.requesters[node]
        requester.choose_holder(preferred, self.now)
        if requester.holder is None:
            return
        renewal = requester.make_renewal(fleet_size=len(NODES), now=self.now)
        grant = self.holders[requester.holder].renew_lease(
            renewal, terms={ACCOUNT: terms}, now=self.now
        )
        if not lost:
            requester.add_tokens(grant, self.now)

    def warm_up(self) -> None:
        """Lease to the first node until no window includes the start."""
        for _ in range(int(2 * WINDOW_S)):
            self.now += 0.5
            for node in NODES:
                self.renew_lease(node, NODES[0])

    def restart(self, node: NodeId) -> None:
        """Discard all state of a node, as a crash does."""
        self.requesters[node] = self._make_requester(node)
        self.holders[node] = AllowanceHolder(tolerance=TOLERANCE)

    def spend(self, node: NodeId, count: int) -> int:
        served = 0
        for _ in range(count):
            if self.requesters[node].spend(TERMS, self.now):
                self.spent.append(self.now)
                served += 1
            else:
                self.requesters[node].await_token(TERMS, self.now)
        return served


class AllowanceMachine(RuleBasedStateMachine):
    """Any sequence of spending, lost grants, changes of the holder and crashes."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet()

    @rule(node=st.sampled_from(NODES), count=st.integers(1, 60))
    def spend(self, node: NodeId, count: int) -> None:
        self.fleet.spend(node, count)

    @rule(
        node=st.sampled_from(NODES),
        preferred=st.sampled_from(NODES),
        lost=st.booleans(),
    )
    def renew_lease(self, node: NodeId, preferred: NodeId, lost: bool) -> None:
        self.fleet.renew_lease(node, preferred, lost=lost)

    @rule(seconds=st.sampled_from([0.05, 0.25, 1.0, 1.6]))
    def advance(self, seconds: float) -> None:
        self.fleet.now += seconds

    @rule()
    def warm_up(self) -> None:
        self.fleet.warm_up()

    @rule(node=st.sampled_from(NODES), preferred=st.sampled_from(NODES))
    def change_holder(self, node: NodeId, preferred: NodeId) -> None:
        requester = self.fleet.requesters[node]
        if requester.holder is not None:
            self.fleet.holders[requester.holder].release(node, self.fleet.now)
            requester.end_lease()
            self.fleet.renew_lease(node, preferred)

    @rule(node=st.sampled_from(NODES))
    def restart(self, node: NodeId) -> None:
        self.fleet.restart(node)

    @invariant()
    def spending_in_every_window_stays_within_the_tolerance(self) -> None:
        most = (RATE * WINDOW_S + BURST) * (1 + TOLERANCE.over) + TOLERANCE.slack
        spent = self.fleet.spent
        for start in spent:
            assert sum(1 for t in spent if start <= t <= start + WINDOW_S) <= most


AllowanceMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=60, deadline=None
)
TestAllowanceBound = AllowanceMachine.TestCase


class TestAllowances:
    def test_demand_below_the_rate_is_served_wherever_it_arrives(self):
        # Guards against fixed equal parts, which would serve only a quarter of the
        # demand when it arrives at one of four nodes.
        fleet = Fleet()
        fleet.warm_up()
        served = requested = 0
        for step in range(400):
            fleet.now += 0.05
            for node in NODES:
                if step % 5 == 0:
                    fleet.renew_lease(node, NODES[0])
            requested += 1
            if not fleet.spend(NODES[1], 1):
                fleet.renew_lease(NODES[1], NODES[0])
                served += fleet.requesters[NODES[1]].spend_after_wait(TERMS, fleet.now)
                continue
            served += 1
        assert served >= 0.98 * requested

    def test_small_demand_is_not_reported_as_exhausted(self):
        # Guards against rejections although the holder has tokens: a node that
        # requests a fraction of a token has less than one and cannot spend it.
        fleet = Fleet()
        fleet.warm_up()
        node = NODES[1]
        fleet.spend(node, 1)
        for _ in range(3):
            fleet.now += 0.3
            fleet.renew_lease(node, NODES[0])
        requester = fleet.requesters[node]
        assert requester.spend(TERMS, fleet.now) or (
            requester.await_token(TERMS, fleet.now)
        )
        fleet.spend(node, 1)
        fleet.renew_lease(node, NODES[0])
        assert fleet.requesters[node].spend_after_wait(TERMS, fleet.now)

    def test_account_above_its_rate_is_exhausted(self):
        fleet = Fleet()
        fleet.spend(NODES[1], 500)
        fleet.renew_lease(NODES[1], NODES[0])
        fleet.spend(NODES[1], 500)
        assert not fleet.requesters[NODES[1]].await_token(TERMS, fleet.now)

    def test_exhausted_account_asks_again_soon(self):
        """Guards against rejections until the next renewal that finds tokens."""
        fleet = Fleet()
        fleet.spend(NODES[1], 500)
        fleet.renew_lease(NODES[1], NODES[0])
        fleet.now += EXHAUSTED_PAUSE_S
        assert fleet.requesters[NODES[1]].await_token(TERMS, fleet.now)

    def test_tokens_are_granted_whole(self):
        """Guards against fractions at many nodes that serve no request anywhere."""
        fleet = Fleet()
        fleet.warm_up()
        for _ in range(100):
            fleet.now += 0.1
            for node in NODES:
                fleet.spend(node, 1)
                fleet.renew_lease(node, NODES[0])
                held = fleet.requesters[node].balance(TERMS)
                assert held == pytest.approx(round(held))

    def test_node_keeps_its_holder_until_the_lease_expires(self):
        fleet = Fleet()
        fleet.renew_lease(NODES[1], NODES[0])
        fleet.now += LEASE_S / 2
        fleet.renew_lease(NODES[1], NODES[2])
        assert fleet.requesters[NODES[1]].holder == NODES[0]

    def test_ended_lease_allows_another_holder_at_once(self):
        # Guards against a node that renews the lease to itself forever and never
        # changes to the holder of the other nodes.
        fleet = Fleet()
        fleet.renew_lease(NODES[1], NODES[1])
        fleet.holders[NODES[1]].release(NODES[1], fleet.now)
        fleet.requesters[NODES[1]].end_lease()
        fleet.renew_lease(NODES[1], NODES[0])
        assert fleet.requesters[NODES[1]].holder == NODES[0]

    def test_holder_grants_only_the_leased_parts(self):
        holder = AllowanceHolder(tolerance=Tolerance())
        total = 0.0
        now = 0.0
        while now < WINDOW_S:
            renewal = LeaseRenewal(
                node_id=NODES[0],
                fleet_size=4,
                needs={ACCOUNT: TokenNeed(held=0.0, wanted=100.0)},
                memory_s=WINDOW_S,
                recent_spend={},
            )
            grant = holder.renew_lease(renewal, terms={ACCOUNT: TERMS}, now=now)
            total += grant.tokens[ACCOUNT]
            now += 0.1
        assert total <= (RATE * WINDOW_S + BURST) / 4 + 1

    def test_idle_nodes_return_tokens_that_others_need(self):
        fleet = Fleet()
        for node in NODES:
            fleet.spend(node, 20)
            fleet.renew_lease(node, NODES[0])
        for _ in range(40):
            fleet.now += 0.25
            for node in NODES:
                fleet.renew_lease(node, NODES[0])
        fleet.spend(NODES[1], 1)
        fleet.spend(NODES[1], 15)
        fleet.renew_lease(NODES[1], NODES[0])
        assert fleet.spend(NODES[1], 15) >= 14

    def test_restarted_holder_does_not_grant_the_window_again(self):
        # Guards against a second burst from a holder that lost its record of grants.
        fleet = Fleet()
        most = (RATE * WINDOW_S + BURST) * (1 + TOLERANCE.over) + TOLERANCE.slack
        for step in range(int(2 * WINDOW_S / 0.05)):
            fleet.now += 0.05
            if step and step % 50 == 0:
                fleet.restart(NODES[0])
            for node in NODES:
                fleet.renew_lease(node, NODES[0])
            fleet.spend(NODES[1], 30)
        for start in fleet.spent:
            end = start + WINDOW_S
            assert sum(1 for t in fleet.spent if start <= t <= end) <= most

    def test_lower_rate_is_granted_right_after_the_change(self):
        # Guards against grants under the old rate that use up the new allowance for
        # a whole window, so that the account gets nothing.
        fleet = Fleet()
        for _ in range(int(WINDOW_S / 0.05)):
            fleet.now += 0.05
            for node in NODES:
                fleet.renew_lease(node, NODES[0])
            fleet.spend(NODES[1], 30)
        lower = msgspec.structs.replace(TERMS, rate_per_s=RATE / 4, burst=BURST / 4)
        served = 0
        for _ in range(int(2.0 / 0.05)):
            fleet.now += 0.05
            for node in NODES:
                fleet.renew_lease(node, NODES[0], terms=lower)
            served += fleet.spend(NODES[1], 30)
        assert served >= 0.8 * 2.0 * lower.rate_per_s

    def test_lowered_and_restored_rate_grants_no_second_burst(self):
        fleet = Fleet()
        lower = msgspec.structs.replace(TERMS, rate_per_s=RATE / 4, burst=BURST / 4)
        most = (RATE * WINDOW_S + BURST) * (1 + TOLERANCE.over) + TOLERANCE.slack
        for step in range(int(2 * WINDOW_S / 0.05)):
            fleet.now += 0.05
            for node in NODES:
                fleet.renew_lease(
                    node, NODES[0], terms=lower if step % 20 == 5 else TERMS
                )
            fleet.spend(NODES[1], 30)
        for start in fleet.spent:
            end = start + WINDOW_S
            assert sum(1 for t in fleet.spent if start <= t <= end) <= most

    def test_next_holder_continues_after_the_loss_of_a_holder(self):
        # Guards against a new holder that assumes every part to be used up, which
        # rejected all accounts for a second whenever a holder was lost.
        fleet = Fleet()
        fleet.warm_up()
        for _ in range(int(WINDOW_S / 0.1)):
            fleet.now += 0.1
            fleet.spend(NODES[1], 1)
            for node in NODES:
                fleet.renew_lease(node, NODES[0])
        fleet.now += LEASE_S
        served = 0
        for _ in range(10):
            fleet.now += 0.1
            for node in NODES[1:]:
                fleet.renew_lease(node, NODES[2])
            served += fleet.spend(NODES[1], 1)
        assert served >= 8

    def test_tokens_of_an_expired_lease_are_not_spent(self):
        # Guards against a paused node that spends tokens in a later window, although
        # the holder counted them as spent when the lease expired.
        fleet = Fleet()
        fleet.warm_up()
        fleet.spend(NODES[1], 5)
        fleet.renew_lease(NODES[1], NODES[0])
        fleet.now += LEASE_S
        assert fleet.spend(NODES[1], 1) == 0


class TestChoiceOfHolder:
    def test_restarted_node_does_not_regain_the_role(self):
        # Guards against a restarted node that becomes the holder again at once. Each
        # change of the holder costs the accounts the time of a lease.
        first, *others = rank_by_incarnation("rates", make_members())
        assert len(others) == 3
        restarted = make_members(restarted=first)
        assert rank_by_incarnation("rates", restarted) == [*others, first]


def make_members(restarted: NodeId | None = None) -> list[Member]:
    return [
        Member(
            node_id=node,
            incarnation=2 if node == restarted else 1,
            sequence=0,
            address=Address("127.0.0.1", 1),
            region=RegionName("r"),
            domain=DomainName("d"),
            service=ServiceName("stock"),
            slots=1,
            state=MemberState.SERVING,
        )
        for node in NODES
    ]
