"""State of the nodes and the store of a virtual fleet."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from returns.result import Success

from endivebeam_membership import Agent
from endivebeam_model import (
    AccountId,
    Address,
    ConfigVersion,
    Contract,
    DomainName,
    KeyDigest,
    LogEntry,
    Member,
    MemberState,
    NodeId,
    OperationId,
    PutContract,
    RegionName,
    ServiceName,
    Snapshot,
    apply_entry,
)


class VirtualConfig:
    """A configuration copy with the log entries that led to it."""

    def __init__(self) -> None:
        self.snapshot = Snapshot()
        self.withdrawn: frozenset[KeyDigest] = frozenset()

    @property
    def version(self) -> ConfigVersion:
        """Version in force."""
        return self.snapshot.version

    def apply(self, entries: Sequence[LogEntry]) -> int:
        """Apply the entries that follow; return how many were applied."""
        applied = 0
        for entry in entries:
            match apply_entry(self.snapshot, entry):
                case Success(snapshot):
                    self.snapshot = snapshot
                    applied += 1
        return applied

    def withdraw(self, digest: KeyDigest) -> bool:
        """Withdraw a key ahead of the log; return whether it is new."""
        if digest in self.withdrawn:
            return False
        self.withdrawn = self.withdrawn | {digest}
        return True


@dataclass(slots=True, kw_only=True, eq=False)
class VirtualNode:
    """One agent with its timers; ``inbox`` holds what arrives during a pause."""

    agent: Agent
    alive: bool = True
    paused: bool = False
    started_at: float = 0.0
    met_at: float = 0.0
    seeds: Sequence[NodeId] = ()
    inbox: list[Callable[[], None]] = field(default_factory=list)
    sending: set[NodeId] = field(default_factory=set)
    bytes_sent: int = 0

    @property
    def node_id(self) -> NodeId:
        """Id of the node."""
        return self.agent.table.local.node_id

    @property
    def domain(self) -> DomainName:
        """Failure domain of the node."""
        return self.agent.table.local.domain


class VirtualStore:
    """The configuration log of the platform's table."""

    def __init__(self) -> None:
        self.up = True
        self.entries: list[LogEntry] = []

    @property
    def head(self) -> ConfigVersion:
        """Highest committed version."""
        return ConfigVersion(len(self.entries))

    def commit(self, entry: LogEntry) -> bool:
        """Append an entry if it follows the head; a repetition is found again."""
        if entry.version <= self.head:
            return self.entries[entry.version - 1].op_id == entry.op_id
        if entry.version != self.head + 1:
            return False
        self.entries.append(entry)
        return True


def make_member(node_id: str, domain: str) -> Member:
    """Return the first record of a node in a domain."""
    return Member(
        node_id=NodeId(node_id),
        incarnation=1,
        sequence=0,
        address=Address("127.0.0.1", 1),
        region=RegionName("region"),
        domain=DomainName(domain),
        service=ServiceName("catalogue"),
        slots=50,
        state=MemberState.SERVING,
    )


def make_entry(version: int, op_id: str, rate: float) -> LogEntry:
    """Return a log entry that writes one contract."""
    contract = Contract(account=AccountId("a"), rate_per_s=rate, burst=rate)
    return LogEntry(
        version=ConfigVersion(version),
        op_id=OperationId(op_id),
        operator="test",
        at="",
        change=PutContract(contract=contract),
    )
