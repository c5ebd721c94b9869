"""Freshness of a node's copy of the configuration."""

import math

from endivebeam_model import UNKNOWN_ERA, NodeId, StoreEra


class Freshness:
    """Age of the latest evidence that no newer configuration exists.

    Times are seconds of the node's monotonic clock, which keeps running while the
    instance is suspended. A withdrawn key must stop working on nodes that are cut
    off. Requests with a key are therefore rejected once the evidence is older than a
    fraction of the time allowed for a withdrawal.

    ``reader`` is the node that received the latest evidence from the store, or None,
    and ``era`` the era of the store from which it did. Evidence of an earlier era is
    ignored then, and so is that of nodes that don't tell one: they may read the changes
    after a version that was given out twice.
    """

    def __init__(self) -> None:
        self._confirmed_at = -math.inf
        self._offset = -math.inf
        self._offset_era = UNKNOWN_ERA
        self.reader: NodeId | None = None
        self.era = UNKNOWN_ERA

    def record_store_response(
        self,
        *,
        sent_at: float,
        received_at: float,
        store_now: float,
        own: NodeId,
        era: StoreEra,
    ) -> None:
        """Record a response of the store to node ``own``, with nothing newer.

        ``store_now`` is the store's monotonic clock when it replied. The store
        replied after the request was sent, so ``sent_at - store_now`` is a lower
        bound of the clock offset. The greatest bound converts the store's time into
        the node's time, which dates the reply to a long poll. A store that came back
        from a copy, in another ``era``, may have another clock.
        """
        offset = sent_at - store_now
        if offset > self._offset or era != self._offset_era:
            self._offset = offset
            self._offset_era = era
        # The clock of a restarted store may be ahead.
        self._confirm(min(store_now + self._offset, received_at), own, era)

    def record_peer_age(
        self,
        *,
        requested_at: float,
        age_s: float,
        reader: NodeId | None,
        era: StoreEra,
    ) -> None:
        """Record a peer's evidence, whose age counts from ``requested_at``.

        ``requested_at`` is when the request to the peer was sent; ``reader`` is the
        node that has this evidence from the store, in its ``era``.
        """
        self._confirm(requested_at - age_s, reader, era)

    def age_s(self, now: float) -> float:
        """Return the age in seconds of the newest evidence; infinite without any."""
        return max(0.0, now - self._confirmed_at)

    def _confirm(self, at: float, reader: NodeId | None, era: StoreEra) -> None:
        if at > self._confirmed_at and era >= self.era:
            self._confirmed_at = at
            self.reader = reader
            self.era = era
