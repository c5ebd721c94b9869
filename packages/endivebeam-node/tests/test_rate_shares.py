"""Rate shares of several nodes under faults, in virtual time."""

import asyncio
import copy

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from endivebeam_limits import GRANT_LIFETIME_S, LeaseTimes, ShareId, ShareLayout
from endivebeam_model import AccountId, Contract, DomainName, RefusalReason
from endivebeam_standins.virtual_loop import VirtualLoop
from endivebeam_standins.virtual_rates import StoreFault, VirtualFleet, VirtualNode
from endivebeam_wire import GrantReport, GrantRequest

ACCOUNT = AccountId("northfit")
DOMAINS = tuple(DomainName(name) for name in "abc")
SLACK = 1e-3

# Long times are a tenth of those in a real fleet. Evidence spreads within one
# second here, so grace and spread stay below the settling time.
SHORT = LeaseTimes(ttl_s=8.0, renew_s=2.0, contact_s=2.0, grace_s=1.0, settle_s=4.0)


class Contracts:
    """Contracts over time, and a simple upper bound on the admitted calls."""

    def __init__(self) -> None:
        self._changes: list[tuple[float, Contract]] = []

    def add(self, at: float, contract: Contract) -> None:
        self._changes.append((at, contract))

    def burst(self, at: float) -> float:
        """Return the largest burst in force during the grant lifetime before a time."""
        ends = [end for end, _ in self._changes[1:]] + [float("inf")]
        return max(
            contract.burst
            for (start, contract), end in zip(self._changes, ends, strict=True)
            if start <= at and end >= at - GRANT_LIFETIME_S
        )

    def refill(self, at: float) -> float:
        """Return the tokens that the rates add up to a time."""
        ends = [end for end, _ in self._changes[1:]] + [float("inf")]
        return sum(
            contract.rate_per_s * (min(at, end) - start)
            for (start, contract), end in zip(self._changes, ends, strict=True)
            if start <= at
        )


def find_excess(spent: list[float], contracts: Contracts) -> float:
    """Return the largest excess of admitted calls over the bound in any window."""
    bursts = [contracts.burst(at) for at in spent]
    refills = [contracts.refill(at) for at in spent]
    excess = 0.0
    for i in range(len(spent)):
        burst = bursts[i]
        for j in range(i, len(spent)):
            burst = max(burst, bursts[j])
            excess = max(excess, j - i + 1 - burst - refills[j] + refills[i])
    return excess


class Simulation:
    """A simulated fleet, its event loop, and the times of admitted calls."""

    def __init__(self, *, times: LeaseTimes = SHORT, seed: int = 1) -> None:
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.contracts = Contracts()
        self.spent: list[float] = []
        self.reasons: list[RefusalReason] = []
        self.overlaps: list[float] = []
        self.fleet = self.run(self._build(times, seed))
        self.fleet.start_soon(self._watch_overlaps)
        self.put(rate=0.2, burst=9.0)

    def run(self, coroutine):  # noqa: ANN001
        return self.loop.run_until_complete(coroutine)

    def advance(self, seconds: float) -> None:
        self.run(asyncio.sleep(seconds))

    def put(self, *, rate: float, burst: float) -> None:
        contract = Contract(account=ACCOUNT, rate_per_s=rate, burst=burst)
        self.contracts.add(self.loop.time(), contract)
        self.fleet.put_contract(contract)

    def call(self, node: VirtualNode, count: int = 1) -> None:
        """Start calls, which may still wait when this returns."""
        for _ in range(count):
            self.fleet.start_soon(self._call, node)
        self.advance(0.0)

    def start_load(self, *, calls_per_s: float) -> None:
        """Send calls to every running node until the simulation is closed."""
        self.fleet.start_soon(self._send_load, 1 / calls_per_s)

    def resume_or_restart(self, node: VirtualNode) -> None:
        """Resume a paused node; restart a killed one with the same id."""
        if node.killed:
            self.fleet.start(node.member.node_id, node.domain)
        elif not node.running.is_set():
            node.resume()

    def nodes(self) -> list[VirtualNode]:
        return list(self.fleet.nodes.values())

    def node(self, index: int) -> VirtualNode:
        return self.nodes()[index]

    def holder(self, slot: int) -> VirtualNode | None:
        share = ShareId(0, slot)
        for node in self.fleet.nodes.values():
            if share in node.holder.held and not node.killed:
                return node
        return None

    def granting(self, slot: int) -> list[VirtualNode]:
        """Return the running nodes that would grant tokens from a share now."""
        now = self.loop.time()
        found = []
        for node in self.nodes():
            share = node.holder.held.get(ShareId(0, slot))
            if share is not None and node.running.is_set():
                # Copies the lease, because the check itself may stop it.
                lease = copy.copy(share.lease)
                if lease.may_grant(now, node.holder.reachability(now)):
                    found.append(node)
        return found

    async def _watch_overlaps(self) -> None:
        while True:
            for slot in range(len(DOMAINS)):
                if len(self.granting(slot)) > 1:
                    self.overlaps.append(self.loop.time())
            await asyncio.sleep(0.1)

    def close(self) -> None:
        self.fleet.stop()
        self.loop.close()

    async def _build(self, times: LeaseTimes, seed: int) -> VirtualFleet:
        return VirtualFleet(
            loop=self.loop,
            domains=DOMAINS,
            nodes_per_domain=2,
            times=times,
            seed=seed,
        )

    async def _send_load(self, period_s: float) -> None:
        while True:
            for node in self.nodes():
                if node.running.is_set():
                    self.fleet.start_soon(self._call, node)
            await asyncio.sleep(period_s)

    async def _call(self, node: VirtualNode) -> None:
        refusal = await self.fleet.call(node, ACCOUNT)
        if refusal is None:
            self.spent.append(self.loop.time())
        else:
            self.reasons.append(refusal.reason)


NODE = st.integers(0, 5)
SLOT = st.integers(0, 2)


class RateMachine(RuleBasedStateMachine):
    """Guards against more than rate x time + burst calls in any window under faults.

    Every running node receives more calls than the contract allows. At the low
    rate the whole burst is spent immediately, so any token that is granted
    twice exceeds the bound. No two processes may grant tokens from one share
    at the same time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.simulation = Simulation()
        self.simulation.start_load(calls_per_s=2.0)
        self.simulation.advance(3.0)

    @rule(seconds=st.sampled_from([0.05, 0.5, 0.9, 2.0, 5.0, 9.5]))
    def wait(self, seconds: float) -> None:
        self.simulation.advance(seconds)

    @rule()
    def recover(self) -> None:
        fleet = self.simulation.fleet
        fleet.isolated.clear()
        fleet.table.fault = StoreFault.NONE
        for node in list(fleet.nodes.values()):
            node.cut_off = False
            self.simulation.resume_or_restart(node)
        self.simulation.advance(0.5)

    @rule(index=NODE, count=st.sampled_from([3, 12]))
    def call(self, index: int, count: int) -> None:
        self.simulation.call(self.simulation.node(index), count)

    @rule(index=NODE)
    def resume_or_restart(self, index: int) -> None:
        self.simulation.resume_or_restart(self.simulation.node(index))

    @rule(index=NODE, seconds=st.sampled_from([0.9, 1.5, 6.0, 9.5]))
    def pause(self, index: int, seconds: float) -> None:
        self.simulation.node(index).pause()
        self.simulation.advance(seconds)

    @rule(slot=SLOT, seconds=st.sampled_from([0.9, 1.5, 6.0, 9.5, 14.0]))
    def pause_holder(self, slot: int, seconds: float) -> None:
        holder = self.simulation.holder(slot)
        if holder is not None:
            holder.pause()
            self.simulation.advance(seconds)
            self.simulation.resume_or_restart(holder)

    @rule(slot=SLOT, restart=st.booleans())
    def kill_holder(self, slot: int, restart: bool) -> None:
        holder = self.simulation.holder(slot)
        if holder is not None:
            holder.kill()
            if restart:
                self.simulation.resume_or_restart(holder)

    @rule(domain=st.sampled_from(DOMAINS))
    def isolate_or_reconnect_domain(self, domain: DomainName) -> None:
        self.simulation.fleet.isolated ^= {domain}

    @rule(slot=SLOT)
    def cut_holder_from_store(self, slot: int) -> None:
        holder = self.simulation.holder(slot)
        if holder is not None:
            holder.cut_off = not holder.cut_off

    @rule(fault=st.sampled_from(StoreFault))
    def set_store_fault(self, fault: StoreFault) -> None:
        self.simulation.fleet.table.fault = fault

    @rule(rate=st.sampled_from([0.2, 4.0]), burst=st.sampled_from([2.0, 6.0, 9.0]))
    def change_contract(self, rate: float, burst: float) -> None:
        # A paused node adopts a change only after it resumes.
        if all(n.running.is_set() or n.killed for n in self.simulation.nodes()):
            self.simulation.put(rate=rate, burst=burst)

    @rule(slot=SLOT, index=NODE)
    def hand_over(self, slot: int, index: int) -> None:
        holder = self.simulation.holder(slot)
        receiver = self.simulation.node(index)
        if holder is not None and holder.running.is_set() and holder is not receiver:
            share = ShareId(0, slot)
            node_id = receiver.member.node_id
            self.simulation.fleet.start_soon(holder.holder.hand_over, share, node_id)
            self.simulation.advance(0.01)

    def teardown(self) -> None:
        excess = find_excess(self.simulation.spent, self.simulation.contracts)
        self.simulation.close()
        assert excess <= SLACK
        assert self.simulation.overlaps == []


class TestMachine(RateMachine.TestCase):
    """Runs the state machine."""

    settings = settings(max_examples=40, stateful_step_count=25)


@pytest.fixture
def simulation():
    found = Simulation(times=LeaseTimes(ttl_s=60.0, renew_s=10.0))
    found.advance(3.0)
    yield found
    found.close()


def spend_everything(simulation: Simulation) -> None:
    for node in simulation.nodes():
        simulation.call(node, 20)
    simulation.advance(0.2)


class TestFaults:
    def test_store_outage_causes_no_refusals(self, simulation: Simulation):
        """Guards against refusals within the rate while only the store is down."""
        simulation.put(rate=20.0, burst=40.0)
        simulation.fleet.table.fault = StoreFault.DOWN
        for _ in range(300):
            simulation.call(simulation.node(0))
            simulation.advance(0.5)
        assert simulation.reasons == []

    def test_holder_cut_from_the_store_renews_through_a_peer(
        self, simulation: Simulation
    ):
        """Guards against losing a share whose holder still reaches other nodes."""
        holder = simulation.holder(1)
        holder.cut_off = True
        simulation.advance(100.0)
        assert simulation.granting(1) == [holder]

    def test_killed_holder_is_replaced_with_empty_buckets(self, simulation: Simulation):
        """Guards against a share that stays vacant or restarts with a full burst."""
        simulation.put(rate=0.3, burst=9.0)
        spend_everything(simulation)
        simulation.holder(1).kill()
        simulation.advance(60.0)
        assert simulation.holder(1) is None
        simulation.advance(30.0)
        assert len(simulation.granting(1)) == 1
        spend_everything(simulation)
        assert find_excess(simulation.spent, simulation.contracts) <= SLACK

    def test_restarted_process_does_not_resume_its_share(self, simulation: Simulation):
        """Guards against a restarted process that reuses its old lease and grants."""
        simulation.put(rate=0.01, burst=9.0)
        spend_everything(simulation)
        holder = simulation.holder(0)
        holder.kill()
        simulation.resume_or_restart(holder)
        simulation.advance(55.0)
        spend_everything(simulation)
        assert simulation.holder(0) is None
        assert find_excess(simulation.spent, simulation.contracts) <= SLACK

    def test_reports_about_grants_of_an_earlier_process_are_ignored(
        self, simulation: Simulation
    ):
        """Guards against confusing grants, since grant ids restart with the process."""
        holder = simulation.holder(0)
        first = GrantRequest(request_id=1, account=ACCOUNT, slot=0, need=2.0, want=2.0)
        grant = holder.holder.handle_request(first)
        report = GrantReport(grant.grant_id, 0.0, 2.0)
        request = GrantRequest(request_id=2, account=ACCOUNT, slot=0, reports=[report])
        assert holder.holder.handle_request(request).level == grant.level
        request = msgspec.structs.replace(request, token=grant.token)
        assert holder.holder.handle_request(request).level > grant.level

    def test_no_node_grants_during_an_unsettled_handover(self, simulation: Simulation):
        """Guards against two holders when the receiver's reply is lost."""
        old = simulation.holder(0)
        new = next(
            n for n in simulation.nodes() if n is not old and n.domain == old.domain
        )
        simulation.fleet.table.fault = StoreFault.LATE_WRITES
        simulation.fleet.start_soon(
            old.holder.hand_over, ShareId(0, 0), new.member.node_id
        )
        simulation.advance(2.0)
        assert simulation.granting(0) == []
        simulation.fleet.table.fault = StoreFault.NONE
        simulation.advance(10.0)
        assert len(simulation.granting(0)) == 1
        assert simulation.overlaps == []

    def test_handover_moves_level_and_outstanding_tokens(self, simulation: Simulation):
        """Guards against a planned stop that loses or creates tokens."""
        simulation.put(rate=0.01, burst=9.0)
        old = simulation.holder(0)
        simulation.call(old, 2)
        simulation.fleet.start_soon(old.lease_manager.hand_over_all)
        simulation.advance(0.1)
        assert simulation.granting(0) not in ([], [old])
        spend_everything(simulation)
        assert len(simulation.spent) == 9

    def test_refusals_name_their_cause(self, simulation: Simulation):
        """Guards against reporting rate_exceeded to a caller within its rate."""
        for node in simulation.nodes()[1:]:
            node.kill()
        simulation.node(0).holder.held.clear()
        simulation.call(simulation.node(0))
        simulation.advance(5.0)
        simulation.fleet.table.fault = StoreFault.DOWN
        simulation.advance(20.0)
        simulation.call(simulation.node(0))
        simulation.advance(5.0)
        assert simulation.reasons == [
            RefusalReason.OVERLOADED,
            RefusalReason.STORE_UNAVAILABLE,
        ]

    def test_node_with_another_layout_holds_no_share(self, simulation: Simulation):
        """Guards against a node whose settings divide contracts by fewer slots."""
        node = simulation.holder(0)
        node.kill()
        layout = simulation.fleet.layout
        simulation.fleet.layout = ShareLayout(groups=1, domains=DOMAINS[:1])
        simulation.resume_or_restart(node)
        simulation.fleet.layout = layout
        simulation.advance(100.0)
        assert not simulation.fleet.nodes[node.member.node_id].holder.held
