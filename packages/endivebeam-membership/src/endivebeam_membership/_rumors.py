"""Rumors: what is passed on to the neighbors, once and within bounds."""

from collections import OrderedDict
from collections.abc import Callable, Hashable, Iterable
from typing import TypeVar

import msgspec

from endivebeam_model import ConfigVersion, KeyDigest, LogEntry, Member, NodeId

MAX_QUEUED = 1024
MAX_BATCH = 64
MAX_BATCH_ENTRIES = 3
MAX_SEEN = 8192

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")


class RumorBatch(msgspec.Struct, frozen=True, array_like=True):
    """Member records, configuration entries and key withdrawals."""

    members: tuple[Member, ...] = ()
    entries: tuple[LogEntry, ...] = ()
    withdrawn: tuple[KeyDigest, ...] = ()

    def __len__(self) -> int:
        return len(self.members) + len(self.entries) + len(self.withdrawn)


class _Outbox:
    """Items that wait for one neighbor; a newer record replaces an older one."""

    def __init__(self) -> None:
        self.members: dict[NodeId, Member] = {}
        self.entries: dict[ConfigVersion, LogEntry] = {}
        self.withdrawn: dict[KeyDigest, None] = {}

    def add(self, batch: RumorBatch) -> None:
        for member in batch.members:
            _put_bounded(self.members, member.node_id, member)
        for entry in batch.entries:
            _put_bounded(self.entries, entry.version, entry)
        for digest in batch.withdrawn:
            _put_bounded(self.withdrawn, digest, None)

    def take(self) -> RumorBatch:
        # Withdrawals and configuration first: they have the shortest bounds.
        withdrawn = _take(self.withdrawn, MAX_BATCH)
        # A change has up to 256 KiB, and a batch must fit into one frame.
        entries = _take(self.entries, MAX_BATCH_ENTRIES)
        members = _take(self.members, MAX_BATCH)
        return RumorBatch(
            members=tuple(member for _, member in members),
            entries=tuple(entry for _, entry in entries),
            withdrawn=tuple(digest for digest, _ in withdrawn),
        )


class RumorQueues:
    """Outboxes per neighbor and the entries that were passed on already.

    ``wake`` is called with a neighbor for which something was queued.

    An item is passed on when it changed something here. A full outbox drops
    its oldest item; digest comparison and pulls repair what is lost that way.
    """

    def __init__(self) -> None:
        self.wake: Callable[[NodeId], None] = lambda neighbor: None
        self._outboxes: dict[NodeId, _Outbox] = {}
        self._seen: OrderedDict[Hashable, None] = OrderedDict()

    def set_neighbors(self, neighbors: Iterable[NodeId]) -> None:
        """Keep outboxes for exactly these neighbors."""
        self._outboxes = {
            node_id: self._outboxes.get(node_id) or _Outbox() for node_id in neighbors
        }

    def is_new(self, key: Hashable) -> bool:
        """Return whether a key was not seen before, and remember it."""
        if key in self._seen:
            self._seen.move_to_end(key)
            return False
        self._seen[key] = None
        if len(self._seen) > MAX_SEEN:
            self._seen.popitem(last=False)
        return True

    def publish(self, batch: RumorBatch, sender: NodeId | None = None) -> None:
        """Queue items for every neighbor but the one that sent them."""
        if not len(batch):
            return
        for node_id, outbox in self._outboxes.items():
            if node_id != sender:
                outbox.add(batch)
                self.wake(node_id)

    def take(self, neighbor: NodeId) -> RumorBatch:
        """Return the next items for a neighbor; empty when there are none."""
        outbox = self._outboxes.get(neighbor)
        return RumorBatch() if outbox is None else outbox.take()

    def put_back(self, neighbor: NodeId, batch: RumorBatch) -> None:
        """Queue items for one neighbor; records that wait there are newer."""
        outbox = self._outboxes.get(neighbor)
        if outbox is None:
            return
        newer = {member.node_id for member in outbox.members.values()}
        members = tuple(m for m in batch.members if m.node_id not in newer)
        outbox.add(RumorBatch(members, batch.entries, batch.withdrawn))


def _put_bounded(items: dict[K, V], key: K, value: V) -> None:
    items.pop(key, None)
    items[key] = value
    if len(items) > MAX_QUEUED:
        del items[next(iter(items))]


def _take(items: dict[K, V], count: int) -> list[tuple[K, V]]:
    keys = list(items)[:count]
    return [(key, items.pop(key)) for key in keys]
