"""Tests of how request counts reach the object store."""

import contextlib
import random
from collections import Counter
from collections.abc import Coroutine

import anyio
import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from returns.result import Failure, Result, Success

from endivebeam_model import (
    AccountId,
    Address,
    DomainName,
    MinuteCounts,
    minute_object_name,
)
from endivebeam_node._burn import (
    COLLECT_DELAY_S,
    MAX_PAIRS,
    MAX_WAITING_BATCHES,
    BurnCollector,
    CountBatch,
    MinuteCounter,
)
from endivebeam_node._burn_read import BurnReply, read_burn
from endivebeam_node._burn_sync import BurnReporter
from endivebeam_node._metrics import RequestStats
from endivebeam_store import Unavailable

DOMAIN = DomainName("domain-a")
ACCOUNT = AccountId("northfit")


class MemoryObjects:
    """An object store in memory that counts writes and can be down."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}
        self.down = False
        self.writes: Counter[str] = Counter()

    async def read(self, name: str):
        if self.down:
            return Failure(Unavailable(message="down"))
        return Success(self.objects.get(name))

    async def write(self, name: str, content: bytes):
        if self.down:
            return Failure(Unavailable(message="down"))
        self.writes[name] += 1
        self.objects[name] = content
        return Success(None)

    def sum_complete(self) -> Counter[int]:
        """Return the number of complete requests of each minute."""
        found: Counter[int] = Counter()
        for content in self.objects.values():
            stored = msgspec.json.decode(content, type=MinuteCounts)
            assert len(stored.senders) == len(set(stored.senders))
            found[stored.minute] += sum(e.counts.complete for e in stored.counts)
        return found


def run_now(work: Coroutine[object, None, None]) -> None:
    """Run a coroutine that never waits, without an event loop."""
    with contextlib.suppress(StopIteration):
        work.send(None)
        raise AssertionError("the coroutine waits")


class Fleet:
    """Nodes of one domain that send their batches to each other."""

    def __init__(self, count: int) -> None:
        self.store = MemoryObjects()
        self.nodes: dict[int, tuple[MinuteCounter, BurnReporter]] = {}
        self.now = 0.0
        self.minute = 100
        self.views: dict[int, int] = {}
        self.starts = 0
        for port in range(count):
            self.start(port)

    def start(self, port: int) -> None:
        """Start a node, or replace it by one without state."""
        self.starts += 1
        run_id = str(self.starts)
        counter = MinuteCounter(node_id=f"n{port}", make_run_id=lambda: run_id)
        reporter = BurnReporter(
            counter=counter,
            domain=DOMAIN,
            find_writer=lambda: self.find_writer(port),
            send=self.send,
            read=self.store.read,
            write=self.store.write,
            rng=random.Random(port),
        )
        self.nodes[port] = (counter, reporter)

    def find_writer(self, port: int) -> Address | None:
        """Return the writer in the view of a node; views may differ."""
        writer = self.views.get(port, 0)
        return None if writer == port else Address("127.0.0.1", writer)

    async def send(self, address: Address, batch: CountBatch) -> bool:
        node = self.nodes.get(address.port)
        return node is not None and node[1].collector.receive(batch, self.now)

    def step(self, seconds: float = 1.0) -> None:
        """Advance the clock and run the step of every node."""
        self.now += seconds
        for _, reporter in list(self.nodes.values()):
            run_now(reporter.step(self.now, self.minute))

    def settle(self) -> None:
        """Step until all batches are stored, for at most an hour."""
        self.step()
        for _ in range(720):
            if not any(counter.waiting for counter, _ in self.nodes.values()):
                return
            self.step(5.0)


def complete(count: int = 1) -> list[RequestStats]:
    return [RequestStats(account=ACCOUNT, status=200) for _ in range(count)]


class BurnMachine(RuleBasedStateMachine):
    """Guards against lost or doubled counts when writers change or the store fails.

    The model is the number of requests that the nodes counted in each minute,
    regardless of which collector received their batches.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet(3)
        self.counted: dict[int, Counter[int]] = {p: Counter() for p in range(3)}
        self.fleet.step()

    @rule(port=st.integers(0, 2), count=st.integers(1, 3))
    def count(self, port: int, count: int) -> None:
        for stats in complete(count):
            self.fleet.nodes[port][0].record(stats)
        self.counted[port][self.fleet.minute] += count

    @rule()
    def pass_minute(self) -> None:
        self.fleet.minute += 1
        self.fleet.step()

    @rule(seconds=st.sampled_from([1.0, 6.0, 13.0]))
    def pass_time(self, seconds: float) -> None:
        self.fleet.step(seconds)

    @rule(down=st.booleans())
    def set_store(self, down: bool) -> None:
        self.fleet.store.down = down

    @rule(port=st.integers(0, 2), writer=st.integers(0, 2))
    def change_view(self, port: int, writer: int) -> None:
        self.fleet.views[port] = writer

    @rule(port=st.integers(0, 2))
    def replace_writer_state(self, port: int) -> None:
        # The node loses its collector and continues with its own counter.
        counter, _ = self.fleet.nodes[port]
        fleet = self.fleet
        fleet.start(port)
        reporter = fleet.nodes[port][1]
        reporter._counter = counter
        fleet.nodes[port] = (counter, reporter)

    @invariant()
    def nothing_is_counted_twice(self) -> None:
        stored = self.fleet.store.sum_complete()
        for minute, number in stored.items():
            assert number <= sum(c[minute] for c in self.counted.values())

    def teardown(self) -> None:
        self.fleet.store.down = False
        self.fleet.minute += 1
        self.fleet.settle()
        expected: Counter[int] = Counter()
        for counts in self.counted.values():
            expected.update(counts)
        stored = self.fleet.store.sum_complete()
        assert {k: v for k, v in stored.items() if v} == dict(expected)
        assert all(not counter.waiting for counter, _ in self.fleet.nodes.values())


TestBurn = BurnMachine.TestCase


class TestBudget:
    def test_one_object_and_at_most_two_writes_per_minute(self):
        """Guards against one write per node and minute."""
        fleet = Fleet(12)
        fleet.step()
        for _ in range(5):
            for counter, _ in fleet.nodes.values():
                for stats in complete(3):
                    counter.record(stats)
            for _ in range(60):
                fleet.step()
            fleet.minute += 1
            fleet.step()
        fleet.settle()
        full = [minute_object_name(DOMAIN, m) for m in range(100, 105)]
        assert {fleet.store.writes[name] for name in full} <= {1, 2}
        assert fleet.store.sum_complete() == dict.fromkeys(range(100, 105), 36)

    def test_batches_and_pairs_are_bounded(self):
        """Guards against unbounded memory while the store is down."""
        counter = MinuteCounter(node_id="n")
        for minute in range(MAX_WAITING_BATCHES + 5):
            counter.close(minute)
        assert len(counter.waiting) == MAX_WAITING_BATCHES
        for number in range(MAX_PAIRS + 10):
            counter.record(RequestStats(account=AccountId(f"a{number}"), status=200))
        counter.close(999)
        last = list(counter.waiting.values())[-1]
        assert len(last.counts) == MAX_PAIRS + 1
        assert sum(e.counts.complete for e in last.counts) == MAX_PAIRS + 10


class TestCollector:
    def test_batch_overwritten_by_another_writer_is_written_again(self):
        """Guards against losing batches when two writers overwrite one object."""
        collector = BurnCollector(domain=DOMAIN)
        own = CountBatch(sender="n1/a-1", minute=7, counts=())
        assert not collector.receive(own, 0.0)
        assert collector.due(COLLECT_DELAY_S) == [7]
        assert collector.merge(7, None, COLLECT_DELAY_S).senders == ("n1/a-1",)
        assert not collector.receive(own, COLLECT_DELAY_S)
        other = MinuteCounts(domain=DOMAIN, minute=7, senders=("n2/b-1",))
        both = collector.merge(7, other, 2 * COLLECT_DELAY_S)
        assert both.senders == ("n2/b-1", "n1/a-1")
        assert collector.merge(7, both, 3 * COLLECT_DELAY_S) is None
        assert collector.receive(own, 3 * COLLECT_DELAY_S)


class TestReading:
    def test_missing_domains_are_named(self):
        """Guards against a report that shows missing counts as no requests."""
        fleet = Fleet(1)
        fleet.step()
        fleet.nodes[0][0].record(complete()[0])
        fleet.minute += 1
        fleet.settle()
        domains = [DOMAIN, DomainName("domain-b")]

        async def read_counts() -> Result[BurnReply, Unavailable]:
            return await read_burn(fleet.store.read, domains, range(100, 101))

        (minute,) = anyio.run(read_counts).unwrap().minutes
        assert minute.missing == ("domain-b",)
        assert minute.counts[0].counts.complete == 1
        fleet.store.down = True
        assert isinstance(anyio.run(read_counts), Failure)
