"""Tests of the configuration log with concurrent operators and a faulty store."""

from collections.abc import Callable, Coroutine
from itertools import count
from typing import TypeVar

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from returns.result import Failure, Result, Success

from endivebeam_model import (
    AccountId,
    ConfigVersion,
    LogEntry,
    OperationId,
    RemoveContract,
)
from endivebeam_standins import FakeStore, StoreFault
from endivebeam_store import CommitError, ConfigLog, Conflict, Unavailable

CONCURRENT_OPERATION = 9

T = TypeVar("T")

operations = st.integers(0, 5)
faults = st.sampled_from([StoreFault.NONE, *StoreFault])
# What happens before an operation on the store: nothing, a delayed write arrives,
# or another operator commits.
events = st.sampled_from(["", "", "deliver", "race"])
plans = st.lists(st.tuples(faults, events), max_size=8)


def run_now(function: Callable[..., Coroutine[None, None, T]], *arguments: object) -> T:
    """Run a coroutine that never waits, because the fake store replies at once."""
    try:
        function(*arguments).send(None)
    except StopIteration as end:
        return end.value
    raise AssertionError("the coroutine waits")


def make_change(operation: int) -> RemoveContract:
    return RemoveContract(account=AccountId(f"account-{operation}"))


class ConfigLogMachine(RuleBasedStateMachine):
    """Operators send and retry operations with current and outdated versions."""

    def __init__(self) -> None:
        super().__init__()
        self.plan: list[tuple[StoreFault, str]] = []
        self.store = FakeStore(choose_fault=self.choose_fault)
        self.log = ConfigLog(table=self.store)
        self.clock = count()
        self.accepted: dict[int, LogEntry] = {}
        self.previous: list[LogEntry] = []

    def choose_fault(self) -> StoreFault:
        if not self.plan:
            return StoreFault.NONE
        (fault, event), *remaining = self.plan
        self.plan = []
        if event == "deliver" and self.store.late:
            self.store.deliver(-1)
        elif event == "race":
            self.append(CONCURRENT_OPERATION, len(self.read_log()))
        self.plan = remaining
        return fault

    def append(self, operation: int, expected: int) -> None:
        result = run_now(self.send, operation, expected)
        match result:
            case Success(entry):
                assert self.accepted.setdefault(operation, entry) == entry
            case Failure(Conflict()):
                log = self.read_log()
                assert all(entry.op_id != f"op/{operation}" for entry in log)
            case Failure(Unavailable()):
                pass

    async def send(
        self, operation: int, expected: int
    ) -> Result[LogEntry, CommitError]:
        return await self.log.append(
            change=make_change(operation),
            expected=ConfigVersion(expected),
            op_id=OperationId(f"op/{operation}"),
            operator="o",
            at=str(next(self.clock)),
        )

    @rule(operation=operations, versions_behind=st.integers(0, 2), plan=plans)
    def append_at_or_behind_head(
        self, operation: int, versions_behind: int, plan: list[tuple[StoreFault, str]]
    ) -> None:
        self.plan = plan
        self.append(operation, max(0, len(self.read_log()) - versions_behind))
        self.plan = []

    @precondition(lambda self: self.store.late)
    @rule(index=st.integers(0, 9))
    def deliver(self, index: int) -> None:
        self.store.deliver(index % len(self.store.late))

    def read_log(self) -> list[LogEntry]:
        async def read() -> list[LogEntry]:
            entries = []
            head = (await self.log.read_head()).unwrap()
            for version in range(1, head + 1):
                entry = (await self.log.read_entry(ConfigVersion(version))).unwrap()
                assert entry is not None
                entries.append(entry)
            assert (await self.log.read_entry(ConfigVersion(head + 1))).unwrap() is None
            return entries

        plan, self.plan = self.plan, []
        entries = run_now(read)
        self.plan = plan
        return entries

    @invariant()
    def log_only_grows_and_contains_accepted_entries(self) -> None:
        entries = self.read_log()
        assert entries[: len(self.previous)] == self.previous
        assert [entry.version for entry in entries] == list(range(1, len(entries) + 1))
        self.previous = entries
        operations = [entry.op_id for entry in self.previous]
        assert len(set(operations)) == len(operations)
        for entry in self.accepted.values():
            assert self.previous[entry.version - 1] == entry


class TestConfigLogMachine(ConfigLogMachine.TestCase):
    """Guards against lost, reordered and doubly committed changes."""

    settings = settings(max_examples=60, stateful_step_count=30)


class TestOperations:
    @given(first=operations, second=operations)
    def test_operation_id_identifies_one_change(self, first: int, second: int):
        """Guards against reporting success for a change that was never committed."""
        log = ConfigLog(table=FakeStore())

        async def send(operation: int, expected: int) -> Result[LogEntry, CommitError]:
            return await log.append(
                change=make_change(operation),
                expected=ConfigVersion(expected),
                op_id=OperationId("same"),
                operator="o",
                at="",
            )

        committed = run_now(send, first, 0).unwrap()
        retried = run_now(send, second, 1)
        assert retried == (
            Success(committed) if first == second else Failure(Conflict())
        )

    @given(expected=st.integers(0, 1), before=st.integers(0, 2))
    def test_lost_attempt_arrives_during_the_retry(self, expected: int, before: int):
        """Guards against a second commit and against a conflict with the own commit."""
        machine = ConfigLogMachine()
        late = (StoreFault.LATE, "")
        fault_free = (StoreFault.NONE, "")
        machine.plan = [fault_free, fault_free, late, (StoreFault.DOWN, "")]
        machine.append(0, 0)
        machine.plan = [fault_free] * before + [(StoreFault.NONE, "deliver")]
        result = run_now(machine.send, 0, expected)
        (entry,) = machine.read_log()
        assert result == Success(entry)

    def test_malformed_entry_is_a_failure(self):
        """Guards against a poller that fails permanently on one malformed row."""
        store = FakeStore()
        log = ConfigLog(table=store)
        machine = ConfigLogMachine()
        machine.store, machine.log = store, log
        machine.append(1, 0)
        for key, stored in store.rows.items():
            store.rows[key] = type(stored)(
                key=key, value="{", version=1, op_id=stored.op_id
            )
        assert isinstance(run_now(log.read_head), Failure)
        assert isinstance(run_now(log.read_entry, ConfigVersion(1)), Failure)
