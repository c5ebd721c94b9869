"""Replies to at-most-once calls whose stream between two nodes was lost.

The node of the target keeps the outcomes of such calls. The node that sent a call asks
for its outcome on another stream, so that the caller gets the answer to work that was
done, and a call that never arrived can be sent to another target.
"""

import asyncio
import random

import anyio
import msgspec
from loguru import logger

from endivebeam_fleet import CallOutcome, CallOutcomes, CallState, SendId
from endivebeam_model import Member
from endivebeam_wire import (
    ForwardOutcome,
    ForwardReply,
    ForwardRequest,
    OutcomeQuery,
    TargetLoad,
)

from ._clock import read_clock
from ._links import LinkLostError, LinkNotOpenError, Links

# Pause before the node is asked again after it could not be reached.
RETRY_PAUSE_S = 0.2
SEND_ID_BITS = 62


def make_send_id() -> SendId:
    """Return the id of a new send of a call."""
    return SendId(random.getrandbits(SEND_ID_BITS) + 1)


class KeptReplies:
    """Outcomes of the calls that other nodes sent to this process."""

    def __init__(self, *, process_token: int) -> None:
        self._process_token = process_token
        self._outcomes: CallOutcomes[ForwardReply] = CallOutcomes()
        self._ends: dict[SendId, asyncio.Event] = {}

    def begin(self, call: ForwardRequest) -> bool:
        """Record that a call arrived; return whether it may be admitted."""
        return not call.send_id or self._outcomes.begin(SendId(call.send_id))

    def end(self, call: ForwardRequest, reply: ForwardReply) -> None:
        """Keep the reply to a call and answer those who wait for it."""
        if not call.send_id:
            return
        send_id = SendId(call.send_id)
        size = len(reply.body) + len(reply.encoded_fields)
        self._outcomes.end(send_id, reply, reply_bytes=size, now=read_clock())
        ended = self._ends.pop(send_id, None)
        if ended is not None:
            ended.set()

    async def answer(self, query: OutcomeQuery, load: TargetLoad) -> ForwardReply:
        """Return the outcome of a call, after waiting for its end."""
        if query.process_token != self._process_token:
            return _make_reply(query, ForwardOutcome.UNKNOWN, load)
        send_id = SendId(query.send_id)
        outcome = self._find(query)
        if outcome.state is CallState.RUNNING:
            await self._ends.setdefault(send_id, asyncio.Event()).wait()
            outcome = self._find(query)
        if outcome.reply is not None:
            return msgspec.structs.replace(outcome.reply, request_id=query.request_id)
        if outcome.state is CallState.NOT_ARRIVED:
            return _make_reply(query, ForwardOutcome.REFUSED, load)
        return _make_reply(query, ForwardOutcome.UNKNOWN, load)

    def _find(self, query: OutcomeQuery) -> CallOutcome[ForwardReply]:
        return self._outcomes.find(
            SendId(query.send_id),
            sent_age_s=query.sent_age_ms / 1000,
            now=read_clock(),
        )


def _make_reply(
    query: OutcomeQuery, outcome: ForwardOutcome, load: TargetLoad
) -> ForwardReply:
    refused = outcome is ForwardOutcome.REFUSED
    reason = "the call did not arrive" if refused else "its outcome is not known"
    return ForwardReply(
        request_id=query.request_id, outcome=outcome, load=load, reason=reason
    )


async def recover_reply(
    links: Links,
    member: Member,
    *,
    send_id: SendId,
    process_token: int,
    sent_at: float,
    deadline: float,
) -> ForwardReply | None:
    """Ask a node for the outcome of a call; None if it is not known by the deadline.

    The node may be cut off or suspended for a while, so it is asked until the deadline.
    """
    while (left_s := deadline - read_clock()) > 0:

        def make_query(request_id: int) -> OutcomeQuery:
            return OutcomeQuery(
                request_id=request_id,
                send_id=send_id,
                process_token=process_token,
                sent_age_ms=int((read_clock() - sent_at) * 1000) + 1,
            )

        try:
            reply = await links.send_request(member, make_query, timeout_s=left_s)
        except TimeoutError:
            return None
        except (LinkNotOpenError, LinkLostError):
            await anyio.sleep(min(RETRY_PAUSE_S, left_s))
            continue
        assert isinstance(reply, ForwardReply)
        logger.bind(peer=member.node_id, outcome=reply.outcome.name.lower()).info(
            "calls: A lost reply was recovered."
        )
        return None if reply.outcome is ForwardOutcome.UNKNOWN else reply
    return None
