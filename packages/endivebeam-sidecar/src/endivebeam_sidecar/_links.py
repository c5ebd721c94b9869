"""Streams to other nodes: opened on demand, monitored and replaced."""

import asyncio
from collections.abc import Callable

import anyio
from loguru import logger

from endivebeam_http import (
    HeldBytes,
    MemoryBudget,
    TaskSet,
    TcpListener,
    TcpStream,
    connect_stream,
)
from endivebeam_model import Member, NodeId
from endivebeam_wire import (
    DirectStream,
    FrameError,
    Heartbeat,
    Hello,
    NodeRequestHandler,
    Reply,
    Request,
    StreamFullError,
    StreamLostError,
)

CONNECT_TIMEOUT_S = 0.4
MONITOR_PERIOD_S = 0.2
# A stream with a pending request that received nothing for this long is probed, and
# closed if it still receives nothing.
PROBE_AFTER_S = 0.4
HEARTBEAT_TIMEOUT_S = 1.2
# Accepted streams whose peer has not greeted; a node opens one at a time to another.
MAX_UNGREETED_STREAMS = 256


class LinkNotOpenError(Exception):
    """The node could not be reached; nothing was sent to it."""


class LinkLostError(Exception):
    """The stream failed after the request was sent; the request may have run.

    ``process_token`` is that of the process to which it was sent.
    """

    def __init__(self, message: str, *, process_token: int = 0) -> None:
        super().__init__(message)
        self.process_token = process_token


class Links:
    """One stream to each node that this node communicates with.

    ``on_unreachable`` is called when a node cannot be connected to or stops replying,
    ``on_reached`` when a stream to it was opened. ``budget`` counts what they hold.
    """

    def __init__(
        self,
        *,
        local: Hello,
        handle_request: NodeRequestHandler,
        on_unreachable: Callable[[NodeId], None],
        on_reached: Callable[[NodeId], None],
        budget: MemoryBudget | None = None,
    ) -> None:
        self._budget = budget or MemoryBudget()
        self._local = local
        self._handle_request = handle_request
        self._on_unreachable = on_unreachable
        self._on_reached = on_reached
        self._streams: dict[NodeId, DirectStream] = {}
        self._opening: dict[NodeId, asyncio.Task[None]] = {}
        self._accepted: set[DirectStream] = set()
        self._tasks = TaskSet()
        self._probing: set[NodeId] = set()

    async def run(self, listener: TcpListener) -> None:
        """Accept streams and monitor all streams until cancelled."""
        async with listener:
            listener.accept(lambda raw: self._tasks.spawn(self._accept(raw)))
            try:
                await self._monitor()
            finally:
                # A peer whose stream is closed connects again at once. The new stream
                # would outlive this loop and serve requests for a node that has ended.
                listener.close()
                for stream in [*self._streams.values(), *self._accepted]:
                    stream.close()
                await self._tasks.close()

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that wait on all streams to be sent."""
        streams = {*self._streams.values(), *self._accepted}
        return sum(stream.unsent_bytes for stream in streams)

    def update_held(self) -> None:
        """Count anew what all streams hold."""
        for stream in {*self._streams.values(), *self._accepted}:
            stream.report_held()

    async def send_request(
        self,
        member: Member,
        make_request: Callable[[int], Request],
        *,
        timeout_s: float | None = None,
    ) -> Reply:
        """Send a request to a node and return its reply.

        ``make_request`` receives the request id on the stream. ``timeout_s`` counts
        from when a stream is open; opening one has its own timeout. Raises
        ``LinkNotOpenError``, ``LinkLostError`` or ``TimeoutError``.
        """
        stream = self._streams.get(member.node_id)
        if stream is None or stream.closed:
            stream = await self._open(member)
        try:
            request = make_request(stream.next_id())
            return await stream.send_request(request, timeout_s=timeout_s)
        except (StreamFullError, FrameError) as error:
            raise LinkNotOpenError(str(error)) from error
        except StreamLostError as error:
            token = stream.remote.process_token if stream.remote else 0
            raise LinkLostError(str(error), process_token=token) from error

    def close_stream(self, node_id: NodeId) -> None:
        """Close the stream to a node."""
        stream = self._streams.pop(node_id, None)
        if stream is not None:
            stream.close()

    async def _open(self, member: Member) -> DirectStream:
        opening = self._opening.get(member.node_id)
        if opening is None:
            opening = self._tasks.spawn(self._connect(member))
            self._opening[member.node_id] = opening
        # Shielded, because other requests may wait for the same stream.
        await asyncio.shield(opening)
        stream = self._streams.get(member.node_id)
        if stream is None or stream.closed:
            raise LinkNotOpenError("the node is unreachable")
        return stream

    async def _connect(self, member: Member) -> None:
        """Open a stream to a node; ``_streams`` has none afterwards if that failed."""
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                raw = await connect_stream(member.address.host, member.address.port)
                stream = self._wrap(raw)
                hello = await stream.handshake()
            if hello.node_id != member.node_id:
                stream.close()
                raise OSError(f"{hello.node_id} has this address")
            self._streams[member.node_id] = stream
            self._on_reached(member.node_id)
        except (OSError, TimeoutError, StreamLostError, FrameError) as error:
            self._report_unreachable(member.node_id, f"cannot open a stream: {error}")
        finally:
            self._opening.pop(member.node_id, None)

    def _wrap(self, raw: TcpStream) -> DirectStream:
        return DirectStream(
            transport=raw,
            handle_request=self._handle_request,
            local=self._local,
            spawn=self._tasks.spawn,
            on_closed=self._remove_stream,
            on_held=HeldBytes(self._budget).resize,
        )

    async def _accept(self, raw: TcpStream) -> None:
        ungreeted = sum(stream.remote is None for stream in self._accepted)
        if ungreeted >= MAX_UNGREETED_STREAMS:
            raw.abort()
            return
        stream = self._wrap(raw)
        self._accepted.add(stream)
        try:
            hello = await stream.handshake()
        except (StreamLostError, FrameError) as error:
            logger.bind(reason=str(error)).info("peers: A stream was rejected.")
            return
        known = self._streams.get(hello.node_id)
        if known is None or known.closed:
            self._streams[hello.node_id] = stream

    def _remove_stream(self, stream: DirectStream) -> None:
        self._accepted.discard(stream)
        if stream.remote is None:
            return
        if self._streams.get(stream.remote.node_id) is stream:
            del self._streams[stream.remote.node_id]

    async def _monitor(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await anyio.sleep(MONITOR_PERIOD_S)
            now = loop.time()
            for node_id, stream in list(self._streams.items()):
                silent_s = now - stream.last_received_at
                if (
                    stream.closed
                    or not stream.has_pending_requests
                    or silent_s < PROBE_AFTER_S
                ):
                    continue
                if silent_s > HEARTBEAT_TIMEOUT_S and node_id in self._probing:
                    self._report_unreachable(
                        node_id, f"nothing received for {silent_s:.1f} s"
                    )
                    self.close_stream(node_id)
                elif node_id not in self._probing:
                    self._probing.add(node_id)
                    self._tasks.spawn(self._probe(node_id, stream))

    async def _probe(self, node_id: NodeId, stream: DirectStream) -> None:
        request = Heartbeat(request_id=stream.next_id())
        try:
            await stream.send_request(request)
        except (StreamLostError, StreamFullError):
            return
        finally:
            self._probing.discard(node_id)

    def _report_unreachable(self, node_id: NodeId, reason: str) -> None:
        logger.bind(peer=node_id, reason=reason).warning(
            "peers: A node is unreachable."
        )
        self._on_unreachable(node_id)
