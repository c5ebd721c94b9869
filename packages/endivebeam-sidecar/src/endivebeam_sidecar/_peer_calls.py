"""Calls that other nodes send to the target of this one."""

from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial

from loguru import logger

from endivebeam_http import (
    REQUEST_OVERHEAD_BYTES,
    HeldBytes,
    MemoryBudget,
    get_request_purpose,
)
from endivebeam_wire import ForwardReply, ForwardRequest, OutcomeQuery

from ._lost_replies import KeptReplies
from ._replies import make_rejection, make_unknown
from ._target import LocalTarget

FULL_RETRY_AFTER_S = 0.5


class PeerCalls:
    """Runs calls of other nodes, and keeps the outcomes of at-most-once calls."""

    def __init__(
        self,
        *,
        target: LocalTarget,
        kept_replies: KeptReplies,
        budget: MemoryBudget | None = None,
    ) -> None:
        self._target = target
        self._kept_replies = kept_replies
        self._budget = budget or MemoryBudget()
        self.in_progress = 0

    async def run(self, call: ForwardRequest) -> ForwardReply:
        """Run a call; an unexpected error fails only this call.

        It is in progress until its reply is returned, which is later than its end at
        the target.
        """
        with self._count():
            return await self._run_in_budget(call)

    async def find_outcome(self, query: OutcomeQuery) -> ForwardReply:
        """Return the outcome of an at-most-once call once it has ended."""
        with self._count():
            return await self._kept_replies.answer(query, self._target.load)

    @contextmanager
    def _count(self) -> Iterator[None]:
        self.in_progress += 1
        try:
            yield
        finally:
            self.in_progress -= 1

    async def _run_in_budget(self, call: ForwardRequest) -> ForwardReply:
        """Run a call if there is room for it, whatever its sender has checked."""
        held = HeldBytes(self._budget)
        head_bytes = len(call.path) + len(call.encoded_fields)
        size = REQUEST_OVERHEAD_BYTES + head_bytes + len(call.body)
        if not held.grow(size, get_request_purpose(size)):
            return make_rejection(
                call,
                "the node has no memory left for the call",
                self._target.load,
                wait_s=FULL_RETRY_AFTER_S,
                leaving=False,
            )
        try:
            return await self._run(call)
        finally:
            held.resize(0)

    async def _run(self, call: ForwardRequest) -> ForwardReply:
        if not self._kept_replies.begin(call):
            return make_rejection(
                call,
                "its sender was told that it did not arrive",
                self._target.load,
                wait_s=0.0,
                leaving=False,
            )
        reply = await self._run_safely(call)
        self._kept_replies.end(call, reply)
        return reply

    async def _run_safely(self, call: ForwardRequest) -> ForwardReply:
        try:
            return await self._target.run(call, partial(self._kept_replies.end, call))
        except Exception:
            logger.bind(id=call.call_id).exception(
                "target: A call failed unexpectedly."
            )
            return make_unknown(call, "the node failed", self._target.load)
