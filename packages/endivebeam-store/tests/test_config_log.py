"""The configuration log under racing operators and a faulty store."""

from collections.abc import Callable, Coroutine
from itertools import count
from typing import TypeVar

from hypothesis import given
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

T = TypeVar("T")

operations = st.integers(0, 5)
faults = st.lists(st.sampled_from(StoreFault), max_size=6)


def run_now(function: Callable[..., Coroutine[None, None, T]], *arguments: object) -> T:
    """Run a coroutine that never waits; the fake store answers at once."""
    try:
        function(*arguments).send(None)
    except StopIteration as end:
        return end.value
    raise AssertionError("the coroutine waits")


def change_of(operation: int) -> RemoveContract:
    return RemoveContract(account=AccountId(f"account-{operation}"))


class ConfigLogMachine(RuleBasedStateMachine):
    """Operators send and repeat operations with old and new versions."""

    def __init__(self) -> None:
        super().__init__()
        self.planned: list[StoreFault] = []
        self.store = FakeStore(choose_fault=self.next_fault)
        self.log = ConfigLog(table=self.store)
        self.clock = count()
        self.accepted: dict[int, LogEntry] = {}
        self.naive: list[LogEntry] = []

    def next_fault(self) -> StoreFault:
        return self.planned.pop(0) if self.planned else StoreFault.NONE

    def append(self, operation: int, expected: int) -> None:
        answer = run_now(self.send, operation, expected)
        match answer:
            case Success(entry):
                assert self.accepted.setdefault(operation, entry) == entry
            case Failure(Conflict()):
                assert operation not in self.accepted
            case Failure(Unavailable()):
                pass

    async def send(
        self, operation: int, expected: int
    ) -> Result[LogEntry, CommitError]:
        return await self.log.append(
            change=change_of(operation),
            expected=ConfigVersion(expected),
            op_id=OperationId(f"op/{operation}"),
            operator="o",
            at=str(next(self.clock)),
        )

    @rule(operation=operations, back=st.integers(0, 2), planned=faults)
    def append_at_or_behind_head(
        self, operation: int, back: int, planned: list[StoreFault]
    ) -> None:
        self.planned = planned
        self.append(operation, max(0, len(self.read_log()) - back))
        self.planned = []

    @precondition(lambda self: self.store.late)
    @rule(pick=st.integers(0, 9))
    def deliver(self, pick: int) -> None:
        self.store.deliver(pick % len(self.store.late))

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

        planned, self.planned = self.planned, []
        entries = run_now(read)
        self.planned = planned
        return entries

    @invariant()
    def log_grows_and_keeps_accepted_entries(self) -> None:
        entries = self.read_log()
        assert entries[: len(self.naive)] == self.naive
        assert [entry.version for entry in entries] == list(range(1, len(entries) + 1))
        self.naive = entries
        operations = [entry.op_id for entry in self.naive]
        assert len(set(operations)) == len(operations)
        for entry in self.accepted.values():
            assert self.naive[entry.version - 1] == entry


class TestConfigLogMachine(ConfigLogMachine.TestCase):
    """Guards against lost, reordered and twice committed changes."""


class TestOperations:
    @given(first=operations, second=operations)
    def test_operation_id_names_one_change(self, first: int, second: int):
        """Guards against accepting a change that was never committed."""
        log = ConfigLog(table=FakeStore())

        async def send(operation: int, expected: int) -> Result[LogEntry, CommitError]:
            return await log.append(
                change=change_of(operation),
                expected=ConfigVersion(expected),
                op_id=OperationId("same"),
                operator="o",
                at="",
            )

        committed = run_now(send, first, 0).unwrap()
        again = run_now(send, second, 1)
        assert again == (Success(committed) if first == second else Failure(Conflict()))

    def test_malformed_entry_is_a_failure(self):
        """Guards against a poller that dies on one malformed row."""
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
