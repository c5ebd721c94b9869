"""Counts of requests per minute for the object store.

The counts show how fast accounts burn the error budgets of their objectives.
Each node counts its own requests and closes one batch per minute. One node per
failure domain, the writer, collects the batches of its domain and writes one
object per minute. The sender stores a batch until the writer has read it back
from the object store, so that no batch is lost when the writer fails or is
replaced. A batch that the object already contains is not added again.
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
MAX_WAITING_BATCHES = 60
MAX_OPEN_MINUTES = 3
MAX_SENDERS = 8192
MAX_STORED_MINUTES = 120
COLLECT_DELAY_S = 10.0
VERIFY_DELAY_S = 8.0
OTHER = AccountId("other")

_FIELDS = {
    RequestOutcome.COMPLETE: Counts._fields.index("complete"),
    RequestOutcome.FAILED: Counts._fields.index("failed"),
    RequestOutcome.REFUSED_WITHIN_RATE: Counts._fields.index("refused_within_rate"),
    RequestOutcome.REFUSED_OVER_RATE: Counts._fields.index("refused_over_rate"),
}
_SLOW = Counts._fields.index("slow")


class CountBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of one node in one minute; ``sender`` identifies the batch."""

    sender: str
    minute: int
    counts: tuple[AccountCounts, ...]


class MinuteCounter:
    """Counts requests of this node and holds batches until they are stored.

    ``waiting`` maps senders to closed batches. At most ``MAX_WAITING_BATCHES``
    wait; ``dropped`` counts the oldest ones that were dropped beyond that.
    """

    def __init__(
        self,
        *,
        node_id: str,
        make_run_id: Callable[[], str] = lambda: secrets.token_hex(4),
    ) -> None:
        # A restarted node sends a second batch for the same minute under another id.
        self._prefix = f"{node_id}/{make_run_id()}"
        self._closed = 0
        self._minute: int | None = None
        self._current: dict[tuple[AccountId, ServiceName], list[int]] = {}
        self.waiting: dict[str, CountBatch] = {}
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
        """Close the batch of the previous minute when the minute has changed.

        ``finish`` closes the batch in any case. An empty batch is sent as well,
        because it shows that the node was running.
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
        batch = CountBatch(sender=sender, minute=self._minute, counts=counts)
        self.waiting[sender] = batch
        self._current = {}
        self._minute = minute
        if len(self.waiting) > MAX_WAITING_BATCHES:
            del self.waiting[next(iter(self.waiting))]
            self.dropped += 1

    def remove(self, sender: str) -> None:
        """Remove a batch that is stored."""
        self.waiting.pop(sender, None)


class _OpenMinute:
    """Batches of one minute that may not be stored yet; ``due`` is the next read."""

    __slots__ = ("batches", "due")

    def __init__(self, *, due: float) -> None:
        self.batches: dict[str, CountBatch] = {}
        self.due = due


class BurnCollector:
    """Collects the batches of a failure domain at its writer."""

    def __init__(self, *, domain: DomainName) -> None:
        self._domain = domain
        self._open_minutes: dict[int, _OpenMinute] = {}
        self._stored_senders: dict[int, frozenset[str]] = {}

    def receive(self, batch: CountBatch, now: float) -> bool:
        """Add a batch; return whether it is known to be stored.

        A batch beyond the limits is ignored; its sender sends it again.
        """
        if batch.sender in self._stored_senders.get(batch.minute, frozenset()):
            return True
        open_minute = self._open_minutes.get(batch.minute)
        if open_minute is None:
            if len(self._open_minutes) >= MAX_OPEN_MINUTES:
                return False
            open_minute = _OpenMinute(due=now + COLLECT_DELAY_S)
            self._open_minutes[batch.minute] = open_minute
        if len(open_minute.batches) < MAX_SENDERS:
            open_minute.batches.setdefault(batch.sender, batch)
        return False

    def due(self, now: float) -> list[int]:
        """Return the minutes whose object is due to be read."""
        return [m for m, o in self._open_minutes.items() if o.due <= now]

    def merge(
        self, minute: int, stored: MinuteCounts | None, now: float
    ) -> MinuteCounts | None:
        """Return the object to write, or None if it contains all batches.

        The object is read again after the write, because another writer may
        have overwritten it in the meantime.
        """
        open_minute = self._open_minutes[minute]
        if stored is None:
            stored = MinuteCounts(domain=self._domain, minute=minute)
        known = set(stored.senders)
        missing = [b for b in open_minute.batches.values() if b.sender not in known]
        if not missing:
            self._mark_stored(minute, stored)
            return None
        open_minute.due = now + VERIFY_DELAY_S
        added = [entry for batch in missing for entry in batch.counts]
        return MinuteCounts(
            domain=self._domain,
            minute=minute,
            senders=(*stored.senders, *(batch.sender for batch in missing)),
            counts=sum_counts([*stored.counts, *added]),
        )

    def postpone(self, minute: int, now: float) -> None:
        """Delay the next read of a minute's object after the store did not answer."""
        self._open_minutes[minute].due = now + VERIFY_DELAY_S

    def _mark_stored(self, minute: int, stored: MinuteCounts) -> None:
        del self._open_minutes[minute]
        self._stored_senders[minute] = frozenset(stored.senders)
        while len(self._stored_senders) > MAX_STORED_MINUTES:
            del self._stored_senders[next(iter(self._stored_senders))]
