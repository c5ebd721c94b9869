"""Rumors: bounded queues of the changes that are forwarded to each neighbor."""

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


class _RumorQueue:
    """Queued items for one neighbor; a newer record replaces an older one."""

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

    def dequeue(self) -> RumorBatch:
        # Withdrawals and configuration changes come first, because the bounds on their
        # delivery time are the shortest.
        withdrawn = _pop_items(self.withdrawn, MAX_BATCH)
        # A change may have 256 KiB, and a batch must fit into one frame.
        entries = _pop_items(self.entries, MAX_BATCH_ENTRIES)
        members = _pop_items(self.members, MAX_BATCH)
        return RumorBatch(
            members=tuple(member for _, member in members),
            entries=tuple(entry for _, entry in entries),
            withdrawn=tuple(digest for digest, _ in withdrawn),
        )


class RumorQueues:
    """Rumor queues for each neighbor, and the keys of entries already forwarded.

    ``on_queued`` is called with a neighbor for which items were queued.

    An item is forwarded if it changed something on this node. A full queue drops its
    oldest item, which anti-entropy and configuration pulls recover.
    """

    def __init__(self) -> None:
        self.on_queued: Callable[[NodeId], None] = lambda neighbor: None
        self._queues: dict[NodeId, _RumorQueue] = {}
        self._seen: OrderedDict[Hashable, None] = OrderedDict()

    def set_neighbors(self, neighbors: Iterable[NodeId]) -> None:
        """Maintain queues for exactly these neighbors."""
        self._queues = {
            node_id: self._queues.get(node_id) or _RumorQueue() for node_id in neighbors
        }

    def is_new(self, key: Hashable) -> bool:
        """Record a key; return whether it was not seen before."""
        if key in self._seen:
            self._seen.move_to_end(key)
            return False
        self._seen[key] = None
        if len(self._seen) > MAX_SEEN:
            self._seen.popitem(last=False)
        return True

    def publish(self, batch: RumorBatch, sender: NodeId | None = None) -> None:
        """Queue items for every neighbor except the one that sent them."""
        if not len(batch):
            return
        for node_id, queue in self._queues.items():
            if node_id != sender:
                queue.add(batch)
                self.on_queued(node_id)

    def dequeue(self, neighbor: NodeId) -> RumorBatch:
        """Dequeue and return the next items for a neighbor; empty without any."""
        queue = self._queues.get(neighbor)
        return RumorBatch() if queue is None else queue.dequeue()

    def requeue(self, neighbor: NodeId, batch: RumorBatch) -> None:
        """Requeue items for one neighbor; records queued there are newer and stay."""
        queue = self._queues.get(neighbor)
        if queue is None:
            return
        newer = {member.node_id for member in queue.members.values()}
        members = tuple(m for m in batch.members if m.node_id not in newer)
        queue.add(RumorBatch(members, batch.entries, batch.withdrawn))


def _put_bounded(items: dict[K, V], key: K, value: V) -> None:
    items.pop(key, None)
    items[key] = value
    if len(items) > MAX_QUEUED:
        del items[next(iter(items))]


def _pop_items(items: dict[K, V], count: int) -> list[tuple[K, V]]:
    keys = list(items)[:count]
    return [(key, items.pop(key)) for key in keys]
