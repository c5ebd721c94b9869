"""Streams to the other nodes: opened on demand, watched, and replaced."""

import asyncio
from collections.abc import Callable

import anyio
from loguru import logger

from endivebeam_http import TaskSet, TcpListener, TcpStream, connect_stream
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
WATCH_PERIOD_S = 0.2
# A stream that carries a waiting call and is silent this long gets a probe, and
# is closed when it stays silent.
PROBE_AFTER_S = 0.4
SILENCE_LIMIT_S = 1.2


class LinkNotOpenError(Exception):
    """The node could not be reached; nothing was sent to it."""


class LinkLostError(Exception):
    """The stream was lost after the request was sent; it may have been served."""


class Links:
    """One stream to each node that this node talks to.

    ``on_lost`` is called when a node could not be reached or went silent, and
    ``on_reached`` when a stream to it was opened.
    """

    def __init__(
        self,
        *,
        local: Hello,
        answer: NodeRequestHandler,
        on_lost: Callable[[NodeId], None],
        on_reached: Callable[[NodeId], None],
    ) -> None:
        self._local = local
        self._answer = answer
        self._on_lost = on_lost
        self._on_reached = on_reached
        self._streams: dict[NodeId, DirectStream] = {}
        self._opening: dict[NodeId, asyncio.Task[None]] = {}
        self._accepted: set[DirectStream] = set()
        self._tasks = TaskSet()
        self._probing: set[NodeId] = set()

    async def run(self, listener: TcpListener) -> None:
        """Accept streams and watch all of them until cancelled."""
        async with listener:
            listener.accept(lambda raw: self._tasks.spawn(self._accept(raw)))
            try:
                await self._watch()
            finally:
                for stream in [*self._streams.values(), *self._accepted]:
                    stream.close()
                await self._tasks.close()

    async def ask(
        self,
        member: Member,
        make_request: Callable[[int], Request],
        *,
        timeout_s: float | None = None,
    ) -> Reply:
        """Send a request to a node and return its reply.

        ``make_request`` gets the id under which the stream knows the request.
        Raises ``LinkNotOpenError``, ``LinkLostError`` or ``TimeoutError``. The time
        counts from when a stream is open; opening one has a limit of its own.
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
            raise LinkLostError(str(error)) from error

    def drop(self, node_id: NodeId) -> None:
        """Close the stream of a node."""
        stream = self._streams.pop(node_id, None)
        if stream is not None:
            stream.close()

    async def _open(self, member: Member) -> DirectStream:
        opening = self._opening.get(member.node_id)
        if opening is None:
            opening = self._tasks.spawn(self._connect(member))
            self._opening[member.node_id] = opening
        # Shielded, because others may wait for the same stream.
        await asyncio.shield(opening)
        stream = self._streams.get(member.node_id)
        if stream is None or stream.closed:
            raise LinkNotOpenError("the node cannot be reached")
        return stream

    async def _connect(self, member: Member) -> None:
        """Open the stream of a node; it is missing afterwards if that failed."""
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                raw = await connect_stream(member.address.host, member.address.port)
                stream = self._wrap(raw)
                hello = await stream.handshake()
            if hello.node_id != member.node_id:
                stream.close()
                raise OSError(f"{hello.node_id} answers at the address")
            self._streams[member.node_id] = stream
            self._on_reached(member.node_id)
        except (OSError, TimeoutError, StreamLostError, FrameError) as error:
            self._note_lost(member.node_id, f"no stream could be opened: {error}")
        finally:
            self._opening.pop(member.node_id, None)

    def _wrap(self, raw: TcpStream) -> DirectStream:
        return DirectStream(
            transport=raw,
            answer=self._answer,
            local=self._local,
            spawn=self._tasks.spawn,
            on_closed=self._forget,
        )

    async def _accept(self, raw: TcpStream) -> None:
        stream = self._wrap(raw)
        self._accepted.add(stream)
        try:
            hello = await stream.handshake()
        except (StreamLostError, FrameError) as error:
            logger.bind(reason=str(error)).info("peers: A stream was refused.")
            return
        known = self._streams.get(hello.node_id)
        if known is None or known.closed:
            self._streams[hello.node_id] = stream

    def _forget(self, stream: DirectStream) -> None:
        self._accepted.discard(stream)
        if stream.remote is None:
            return
        if self._streams.get(stream.remote.node_id) is stream:
            del self._streams[stream.remote.node_id]

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await anyio.sleep(WATCH_PERIOD_S)
            now = loop.time()
            for node_id, stream in list(self._streams.items()):
                silent_s = now - stream.last_received_at
                if (
                    stream.closed
                    or not stream.has_pending_requests
                    or silent_s < PROBE_AFTER_S
                ):
                    continue
                if silent_s > SILENCE_LIMIT_S and node_id in self._probing:
                    self._note_lost(node_id, f"silent for {silent_s:.1f} s")
                    self.drop(node_id)
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

    def _note_lost(self, node_id: NodeId, reason: str) -> None:
        logger.bind(peer=node_id, reason=reason).warning("peers: A node was lost.")
        self._on_lost(node_id)
