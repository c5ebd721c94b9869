"""Counts of requests per minute on their way to the object store.

Each node counts its own requests and closes a batch per minute. One node per
failure domain, the writer, gathers the batches of its domain and writes one
object per minute. A batch is kept by its sender until the writer has read it
back from the store, so that a lost or replaced writer loses no batch; a batch
that is already in the object is not added again.
"""

import secrets
from collections.abc import Callable

import msgspec

from endivebeam_model import (
    AccountCounts,
    AccountId,
    Counts,
    DomainName,
    MinuteCounts,
    ServiceName,
    sum_counts,
)

from ._metrics import RequestOutcome, RequestStats

MAX_PAIRS = 1024
MAX_WAITING = 60
MAX_MINUTES = 3
MAX_SENDERS = 8192
MAX_KEPT_MINUTES = 120
GATHER_S = 10.0
VERIFY_S = 8.0
OTHER = AccountId("other")

_FIELDS = {
    RequestOutcome.COMPLETE: Counts._fields.index("complete"),
    RequestOutcome.FAILED: Counts._fields.index("failed"),
    RequestOutcome.REFUSED_WITHIN_RATE: Counts._fields.index("refused_within_rate"),
    RequestOutcome.REFUSED_OVER_RATE: Counts._fields.index("refused_over_rate"),
}
_SLOW = Counts._fields.index("slow")


class RumorBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of one node in one minute; ``sender`` names the batch."""

    sender: str
    minute: int
    counts: tuple[AccountCounts, ...]


class MinuteCounter:
    """Counts requests of this node and keeps batches until they are stored."""

    def __init__(
        self,
        *,
        node_id: str,
        make_life: Callable[[], str] = lambda: secrets.token_hex(4),
    ) -> None:
        # A restarted node counts the same minute again under another name.
        self._prefix = f"{node_id}/{make_life()}"
        self._closed = 0
        self._minute: int | None = None
        self._current: dict[tuple[AccountId, ServiceName], list[int]] = {}
        self.waiting: dict[str, RumorBatch] = {}
        self.dropped = 0

    def record(self, stats: RequestStats) -> None:
        """Count one request that ended."""
        field = _FIELDS.get(stats.outcome)
        if field is None:
            return
        key = (stats.account, stats.service)
        counts = self._current.get(key)
        if counts is None:
            if len(self._current) >= MAX_PAIRS:
                key = (OTHER, ServiceName(""))
            counts = self._current.setdefault(key, [0] * len(Counts._fields))
        counts[field] += 1
        if field == 0 and stats.slow:
            counts[_SLOW] += 1

    def close(self, minute: int, *, finish: bool = False) -> None:
        """Close the batch of the minute before; ``finish`` closes any batch.

        An empty batch is kept too: it shows that the node was there.
        """
        if self._minute is None:
            self._minute = minute
        if minute == self._minute and not finish:
            return
        counts = tuple(
            AccountCounts(account, service, Counts(*numbers))
            for (account, service), numbers in self._current.items()
        )
        self._closed += 1
        sender = f"{self._prefix}-{self._closed}"
        batch = RumorBatch(sender=sender, minute=self._minute, counts=counts)
        self.waiting[sender] = batch
        self._current = {}
        self._minute = minute
        if len(self.waiting) > MAX_WAITING:
            del self.waiting[next(iter(self.waiting))]
            self.dropped += 1

    def forget(self, sender: str) -> None:
        """Drop a batch that is stored."""
        self.waiting.pop(sender, None)


class _Gathering:
    """Batches of one minute that are not known to be stored."""

    __slots__ = ("batches", "due")

    def __init__(self, *, due: float) -> None:
        self.batches: dict[str, RumorBatch] = {}
        self.due = due


class BurnCollector:
    """Gathers the batches of a failure domain at its writer."""

    def __init__(self, *, domain: DomainName) -> None:
        self._domain = domain
        self._gathering: dict[int, _Gathering] = {}
        self._kept: dict[int, frozenset[str]] = {}

    def receive(self, batch: RumorBatch, now: float) -> bool:
        """Take a batch; return whether it is known to be stored.

        A batch beyond the bounds is left with its sender, which sends it
        again.
        """
        if batch.sender in self._kept.get(batch.minute, frozenset()):
            return True
        gathering = self._gathering.get(batch.minute)
        if gathering is None:
            if len(self._gathering) >= MAX_MINUTES:
                return False
            gathering = _Gathering(due=now + GATHER_S)
            self._gathering[batch.minute] = gathering
        if len(gathering.batches) < MAX_SENDERS:
            gathering.batches.setdefault(batch.sender, batch)
        return False

    def due(self, now: float) -> list[int]:
        """Return the minutes whose object is to be read."""
        return [m for m, g in self._gathering.items() if g.due <= now]

    def merge(
        self, minute: int, stored: MinuteCounts | None, now: float
    ) -> MinuteCounts | None:
        """Return the object to write, or None when all batches are in it.

        The object is read again after it was written, because another writer
        may have replaced it meanwhile.
        """
        gathering = self._gathering[minute]
        if stored is None:
            stored = MinuteCounts(domain=self._domain, minute=minute)
        known = set(stored.senders)
        missing = [b for b in gathering.batches.values() if b.sender not in known]
        if not missing:
            self._keep(minute, stored)
            return None
        gathering.due = now + VERIFY_S
        added = [entry for batch in missing for entry in batch.counts]
        return MinuteCounts(
            domain=self._domain,
            minute=minute,
            senders=(*stored.senders, *(batch.sender for batch in missing)),
            counts=sum_counts([*stored.counts, *added]),
        )

    def postpone(self, minute: int, now: float) -> None:
        """Try a minute again after the store did not answer."""
        self._gathering[minute].due = now + VERIFY_S

    def _keep(self, minute: int, stored: MinuteCounts) -> None:
        del self._gathering[minute]
        self._kept[minute] = frozenset(stored.senders)
        while len(self._kept) > MAX_KEPT_MINUTES:
            del self._kept[next(iter(self._kept))]
