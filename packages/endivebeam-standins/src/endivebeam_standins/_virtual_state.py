"""State of the nodes and the store of a fleet in virtual time."""

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
    """A node's copy of the configuration in memory."""

    def __init__(self) -> None:
        self.snapshot = Snapshot()
        self.withdrawn: frozenset[KeyDigest] = frozenset()

    @property
    def version(self) -> ConfigVersion:
        """Version of the configuration in force."""
        return self.snapshot.version

    def apply(self, entries: Sequence[LogEntry]) -> int:
        """Apply the entries that follow the version in force; return their number."""
        applied = 0
        for entry in entries:
            match apply_entry(self.snapshot, entry):
                case Success(snapshot):
                    self.snapshot = snapshot
                    applied += 1
        return applied

    def withdraw(self, digest: KeyDigest) -> bool:
        """Withdraw a key before the log does; return whether it was not withdrawn."""
        if digest in self.withdrawn:
            return False
        self.withdrawn = self.withdrawn | {digest}
        return True


@dataclass(slots=True, kw_only=True, eq=False)
class VirtualNode:
    """An agent and the state of its simulated process.

    ``inbox`` holds the messages that arrive while the process is paused.
    ``sending`` holds the peers to which a rumor batch is in flight.
    """

    agent: Agent
    alive: bool = True
    paused: bool = False
    started_at: float = 0.0
    seeds_contacted_at: float = 0.0
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
        """Append an entry if it follows the head; return whether it is in the log.

        A retry of a committed entry, with the same operation id, returns True.
        """
        if entry.version <= self.head:
            return self.entries[entry.version - 1].op_id == entry.op_id
        if entry.version != self.head + 1:
            return False
        self.entries.append(entry)
        return True


def make_member(node_id: str, domain: str) -> Member:
    """Return the record that a node publishes when it starts in a domain."""
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
