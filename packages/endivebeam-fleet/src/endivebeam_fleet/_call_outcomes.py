"""Outcomes of at-most-once calls, for nodes that lost the reply.

A connection between two nodes breaks or falls silent while a call runs. The node that
sent the call asks again on another connection. Without an outcome it could only tell
its caller that the call may have run, and work that was done would be lost.
"""

from collections import OrderedDict, deque
from enum import Enum
from typing import Generic, NamedTuple, NewType, TypeVar

SendId = NewType("SendId", int)
"""Identifies one send of a call from one node to another; unique in the fleet."""

# Longer than a caller waits for a call.
RETENTION_S = 30.0
# Time for the question about an outcome to arrive.
TRANSIT_MARGIN_S = 5.0
MAX_ENDED_CALLS = 20_000
MAX_DISOWNED_CALLS = 20_000
MAX_REPLY_BYTES = 4 << 20

R = TypeVar("R")


class CallState(Enum):
    """What is known about a call.

    ``NOT_ARRIVED``: the call did not arrive and will not be admitted if it arrives
    later. ``UNKNOWN``: the call may have run, but its reply is not kept.
    """

    RUNNING = "running"
    ENDED = "ended"
    NOT_ARRIVED = "not_arrived"
    UNKNOWN = "unknown"


class CallOutcome(NamedTuple, Generic[R]):
    """The state of a call, and its reply in state ``ENDED``."""

    state: CallState
    reply: R | None = None


class _EndedCall(NamedTuple, Generic[R]):
    """An ended call; ``reply`` is None if it is not kept any more."""

    ended_at: float
    reply: R | None
    reply_bytes: int


class CallOutcomes(Generic[R]):
    """The running calls and those that ended in the last ``RETENTION_S`` seconds.

    Times are seconds of a clock that keeps running while the instance is suspended.
    The number of calls and the bytes of replies are limited.
    """

    def __init__(self) -> None:
        self._running: set[SendId] = set()
        # In the order of their ends.
        self._ended: OrderedDict[SendId, _EndedCall[R]] = OrderedDict()
        self._with_reply: deque[SendId] = deque()
        self._reply_bytes = 0
        # Calls that ended before this may be missing because of the limit.
        self._complete_since = float("-inf")
        # These never expire by time: a call may arrive after the instance was
        # suspended for any time.
        self._disowned: OrderedDict[SendId, None] = OrderedDict()

    def begin(self, send_id: SendId) -> bool:
        """Record that a call arrived; return whether it may be admitted.

        It may not if it arrived before or its sender was told that it did not.
        """
        known = send_id in self._running or send_id in self._ended
        if known or send_id in self._disowned:
            return False
        self._running.add(send_id)
        return True

    def end(self, send_id: SendId, reply: R, *, reply_bytes: int, now: float) -> None:
        """Record the end of a running call and keep its reply."""
        if send_id not in self._running:
            return
        self._running.remove(send_id)
        self._ended[send_id] = _EndedCall(now, reply, reply_bytes)
        self._with_reply.append(send_id)
        self._reply_bytes += reply_bytes
        self._expire(now)

    def find(self, send_id: SendId, *, sent_age_s: float, now: float) -> CallOutcome[R]:
        """Return what is known about a call that was sent ``sent_age_s`` ago.

        A call that did not arrive is not admitted from now on.
        """
        self._expire(now)
        if send_id in self._running:
            return CallOutcome(CallState.RUNNING)
        ended = self._ended.get(send_id)
        if ended is not None:
            if ended.reply is None:
                return CallOutcome(CallState.UNKNOWN)
            return CallOutcome(CallState.ENDED, ended.reply)
        sent_at = now - sent_age_s - TRANSIT_MARGIN_S
        if sent_at < max(self._complete_since, now - RETENTION_S):
            return CallOutcome(CallState.UNKNOWN)
        self._disown(send_id)
        return CallOutcome(CallState.NOT_ARRIVED)

    def _disown(self, send_id: SendId) -> None:
        self._disowned[send_id] = None
        if len(self._disowned) > MAX_DISOWNED_CALLS:
            self._disowned.popitem(last=False)

    def _expire(self, now: float) -> None:
        while self._ended:
            send_id, oldest = next(iter(self._ended.items()))
            if len(self._ended) > MAX_ENDED_CALLS:
                self._complete_since = now
            elif oldest.ended_at >= now - RETENTION_S:
                break
            del self._ended[send_id]
            self._reply_bytes -= oldest.reply_bytes
        self._drop_replies()

    def _drop_replies(self) -> None:
        """Drop the oldest replies until the others are within the limit."""
        while self._reply_bytes > MAX_REPLY_BYTES:
            send_id = self._with_reply.popleft()
            call = self._ended.get(send_id)
            if call is not None:
                self._reply_bytes -= call.reply_bytes
                self._ended[send_id] = _EndedCall(call.ended_at, None, 0)
