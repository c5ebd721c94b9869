"""Tests of rate allowances under any order of exchanges, cuts and crashes."""

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from endivebeam_fleet import (
    LEASE_S,
    AccountTerms,
    AllowanceHolder,
    AllowanceRequester,
    LeaseRenewal,
    TokenNeed,
    Tolerance,
    rank_steady_nodes,
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
    """Nodes that each may hold and borrow, driven by hand."""

    def __init__(self) -> None:
        self.now = 100.0
        self.requesters = {n: self._make_borrower(n) for n in NODES}
        self.holders = {n: AllowanceHolder(tolerance=TOLERANCE) for n in NODES}
        self.spent: list[float] = []

    def _make_borrower(self, node: NodeId) -> AllowanceRequester:
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
        granted = self.holders[requester.holder].renew_lease(
            renewal, terms={ACCOUNT: terms}, now=self.now
        )
        if not lost:
            requester.add_tokens(granted)

    def warm_up(self) -> None:
        """Lend to the first node until no window reaches back to the start."""
        for _ in range(int(2 * WINDOW_S)):
            self.now += 0.5
            for node in NODES:
                self.renew_lease(node, NODES[0])

    def restart(self, node: NodeId) -> None:
        """Lose all that a node knows, as a kill does."""
        self.requesters[node] = self._make_borrower(node)
        self.holders[node] = AllowanceHolder(tolerance=TOLERANCE)

    def spend(self, node: NodeId, count: int) -> int:
        served = 0
        for _ in range(count):
            if self.requesters[node].spend(TERMS, self.now):
                self.spent.append(self.now)
                served += 1
        return served


class AllowanceMachine(RuleBasedStateMachine):
    """Any sequence of spending, lost answers, changed holders and crashes."""

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
    def hand_over(self, node: NodeId, preferred: NodeId) -> None:
        requester = self.fleet.requesters[node]
        if requester.holder is not None:
            self.fleet.holders[requester.holder].release(node, self.fleet.now)
            requester.end_lease()
            self.fleet.renew_lease(node, preferred)

    @rule(node=st.sampled_from(NODES))
    def restart(self, node: NodeId) -> None:
        self.fleet.restart(node)

    @invariant()
    def no_window_exceeds_the_tolerated_allowance(self) -> None:
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
        # Equal shares would serve a quarter of what one node asks for.
        fleet = Fleet()
        fleet.warm_up()
        served = asked = 0
        for step in range(400):
            fleet.now += 0.05
            for node in NODES:
                if step % 5 == 0:
                    fleet.renew_lease(node, NODES[0])
            asked += 1
            if not fleet.spend(NODES[1], 1):
                fleet.renew_lease(NODES[1], NODES[0])
                served += fleet.requesters[NODES[1]].retry_spend(TERMS, fleet.now)
                continue
            served += 1
        assert served >= 0.98 * asked

    def test_small_demand_does_not_look_like_an_empty_holder(self):
        # A node that asks for a part of a token holds less than one; requests
        # were refused then although the holder had enough.
        fleet = Fleet()
        fleet.warm_up()
        node = NODES[1]
        fleet.spend(node, 1)
        for _ in range(3):
            fleet.now += 0.3
            fleet.renew_lease(node, NODES[0])
        assert not fleet.requesters[node].is_exhausted(TERMS)
        fleet.spend(node, 1)
        fleet.renew_lease(node, NODES[0])
        assert fleet.requesters[node].retry_spend(TERMS, fleet.now)

    def test_account_above_its_rate_looks_like_an_empty_holder(self):
        fleet = Fleet()
        fleet.spend(NODES[1], 500)
        fleet.renew_lease(NODES[1], NODES[0])
        assert fleet.requesters[NODES[1]].is_exhausted(TERMS)

    def test_node_does_not_lend_to_two_holders_within_a_lease(self):
        fleet = Fleet()
        fleet.renew_lease(NODES[1], NODES[0])
        fleet.now += LEASE_S / 2
        fleet.renew_lease(NODES[1], NODES[2])
        assert fleet.requesters[NODES[1]].holder == NODES[0]

    def test_confirmed_withdrawal_allows_another_holder_at_once(self):
        # A node that renewed the loan to itself for ever never joined the others.
        fleet = Fleet()
        fleet.renew_lease(NODES[1], NODES[1])
        fleet.holders[NODES[1]].release(NODES[1], fleet.now)
        fleet.requesters[NODES[1]].end_lease()
        fleet.renew_lease(NODES[1], NODES[0])
        assert fleet.requesters[NODES[1]].holder == NODES[0]

    def test_holder_grants_only_the_parts_it_was_lent(self):
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
            granted = holder.renew_lease(renewal, terms={ACCOUNT: TERMS}, now=now)
            total += granted.tokens[ACCOUNT]
            now += 0.1
        assert total <= (RATE * WINDOW_S + BURST) / 4 + 1

    def test_idle_nodes_hold_no_tokens_that_others_need(self):
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

    def test_killed_holder_does_not_grant_the_window_again(self):
        # A holder that forgot what it had granted gave the whole burst once more.
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

    def test_lower_rate_is_granted_from_the_moment_of_the_change(self):
        # The grants under the old rate filled the new window for its whole length,
        # so that the account got nothing at all.
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

    def test_rate_that_falls_and_rises_again_brings_no_second_burst(self):
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

    def test_next_holder_goes_on_where_the_lost_one_was(self):
        # Each new holder began as if every part were used up, so that all accounts
        # were refused for a second whenever a holder was lost.
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

    def test_tokens_of_a_lapsed_loan_are_not_spent(self):
        # The holder counted them as spent at the end of the lease, and a node that
        # had been paused spent them in a later window.
        fleet = Fleet()
        fleet.warm_up()
        fleet.spend(NODES[1], 5)
        fleet.renew_lease(NODES[1], NODES[0])
        fleet.now += LEASE_S
        assert fleet.spend(NODES[1], 1) == 0


class TestChoiceOfHolder:
    def test_node_that_returns_does_not_take_the_role_back(self):
        # Every change of the holder costs its accounts a lease; a node that restarted
        # took the role back at once.
        first, *others = rank_steady_nodes("rates", make_members())
        assert len(others) == 3
        restarted = make_members(restarted=first)
        assert rank_steady_nodes("rates", restarted) == [*others, first]


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
