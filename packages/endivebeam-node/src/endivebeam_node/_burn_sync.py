"""Sends request counts to the writer of the domain, which stores them."""

import datetime
import random
from collections.abc import Awaitable, Callable

import anyio
import msgspec
from loguru import logger
from returns.result import Failure, Result, Success

from endivebeam_model import (
    DECODE_ERRORS,
    Address,
    DomainName,
    MinuteCounts,
    minute_object_name,
)
from endivebeam_store import Unavailable
from endivebeam_wire import (
    StreamFullError,
    StreamLostError,
    WriteCountsReply,
    WriteCountsRequest,
)

from ._burn import BurnCollector, CountBatch, MinuteCounter
from ._peers import Peers, UnreachableError

STEP_PERIOD_S = 1.0
RESEND_PERIOD_S = 12.0
SEND_JITTER_S = 5.0
FINISH_TIMEOUT_S = 3.0
SEND_TIMEOUT_S = 2.0

SendBatch = Callable[[Address, CountBatch], Awaitable[bool]]
"""Sends a batch to the writer; returns whether the batch is stored."""

FindWriter = Callable[[], Address | None]
"""Returns the address of the writer of this domain; None for this node itself.

Nodes with equal member tables agree on the writer. While the tables differ, two
nodes may write.
"""

ReadObject = Callable[[str], Awaitable[Result[bytes | None, Unavailable]]]
WriteObject = Callable[[str, bytes], Awaitable[Result[None, Unavailable]]]


def read_minute() -> int:
    """Return the current minute of the wall clock, in minutes since the epoch."""
    return int(datetime.datetime.now(datetime.UTC).timestamp() // 60)


async def send_batch(peers: Peers, address: Address, batch: CountBatch) -> bool:
    """Send a batch to another node; return whether the batch is stored."""
    with anyio.move_on_after(SEND_TIMEOUT_S):
        try:
            stream = await peers.connect(address)
            reply = await stream.send_request(
                WriteCountsRequest(
                    request_id=stream.next_id(),
                    sender=batch.sender,
                    minute=batch.minute,
                    counts=batch.counts,
                )
            )
        except (UnreachableError, StreamLostError, StreamFullError):
            return False
        return isinstance(reply, WriteCountsReply) and reply.stored
    return False


class BurnReporter:
    """Sends this node's counts and, on the writer, stores those of its domain."""

    def __init__(
        self,
        *,
        counter: MinuteCounter,
        domain: DomainName,
        find_writer: FindWriter,
        send: SendBatch,
        read: ReadObject,
        write: WriteObject,
        rng: random.Random,
    ) -> None:
        self._counter = counter
        self._find_writer = find_writer
        self._send = send
        self._read = read
        self._write = write
        self._rng = rng
        self._next_send: dict[str, float] = {}
        self._domain = domain
        self.collector = BurnCollector(domain=domain)

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await self.step(anyio.current_time(), read_minute())
            await anyio.sleep(STEP_PERIOD_S)

    async def finish(self) -> None:
        """Send the remaining counts before the node stops."""
        with anyio.move_on_after(FINISH_TIMEOUT_S):
            now = anyio.current_time()
            self._counter.close(read_minute(), finish=True)
            self._next_send.clear()
            await self._send_due(now + SEND_JITTER_S)
            # A writer that stops does not wait for further batches.
            for minute in self.collector.due(float("inf")):
                await self._flush(minute, now)

    async def step(self, now: float, minute: int) -> None:
        """Close, send and store what is due; ``now`` is monotonic time."""
        self._counter.close(minute)
        await self._send_due(now)
        for due in self.collector.due(now):
            await self._flush(due, now)

    async def _send_due(self, now: float) -> None:
        writer = self._find_writer()
        for sender, batch in list(self._counter.waiting.items()):
            # Jitter: all nodes of a domain close their minutes at the same time.
            first = now + self._rng.random() * SEND_JITTER_S
            if self._next_send.setdefault(sender, first) > now:
                continue
            self._next_send[sender] = now + RESEND_PERIOD_S
            if await self._deliver(writer, batch, now):
                self._counter.remove(sender)
        self._next_send = {
            sender: due
            for sender, due in self._next_send.items()
            if sender in self._counter.waiting
        }

    async def _deliver(
        self, writer: Address | None, batch: CountBatch, now: float
    ) -> bool:
        if writer is None:
            return self.collector.receive(batch, now)
        return await self._send(writer, batch)

    async def _flush(self, minute: int, now: float) -> None:
        name = minute_object_name(self._domain, minute)
        result = await self._read(name)
        match result:
            case Failure(Unavailable(message=message)):
                self._postpone(minute, now, message)
                return
        merged = self.collector.merge(minute, _decode(result.unwrap(), name), now)
        if merged is None:
            return
        match await self._write(name, msgspec.json.encode(merged)):
            case Failure(Unavailable(message=message)):
                self._postpone(minute, now, message)
            case Success(_):
                logger.debug("store: wrote {}", name)

    def _postpone(self, minute: int, now: float, message: str) -> None:
        logger.warning("store: request counts not stored, trying again: {}", message)
        self.collector.postpone(minute, now)


def _decode(content: bytes | None, name: str) -> MinuteCounts | None:
    if content is None:
        return None
    try:
        return msgspec.json.decode(content, type=MinuteCounts)
    except DECODE_ERRORS:
        # Counts cannot be merged into an object that cannot be decoded.
        logger.warning("store: overwriting malformed object {}", name)
        return None
