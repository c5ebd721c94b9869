"""Peer streams of this node: connecting, accepting and keepalive."""

import ssl
from collections.abc import Callable

import anyio
import anyio.abc
from loguru import logger

from endivebeam_model import Address
from endivebeam_wire import (
    FrameError,
    Heartbeat,
    HeartbeatEcho,
    Hello,
    PeerStream,
    Reply,
    Request,
    RequestHandler,
    StreamFullError,
    StreamLostError,
)

from ._tls import PeerTls

CONNECT_TIMEOUT_S = 1.0
HEARTBEAT_PERIOD_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.0
PAUSE_LIMIT_S = 0.5
IDLE_TIMEOUT_S = 60.0
# The side that opened a stream sends heartbeats on it or closes it when idle.
ACCEPTED_IDLE_TIMEOUT_S = 2 * IDLE_TIMEOUT_S
MAX_STREAMS = 512
MAX_ACCEPTED = 1024

_HANDSHAKE_ERRORS = (
    OSError,
    TimeoutError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
)

OnEcho = Callable[[PeerStream, HeartbeatEcho, float], None]
"""Called with a stream, the echo of a heartbeat and when the heartbeat was sent."""

OnLost = Callable[[PeerStream], None]
"""Called with a stream that ended without being closed by this node."""


class UnreachableError(Exception):
    """No stream to the peer could be opened; nothing was sent."""


class Peers:
    """Streams to other nodes, one per address, opened on first use.

    Addresses for which ``is_neighbor`` is true receive heartbeats at all times.
    Without ``tls``, peers are not authenticated.
    """

    def __init__(
        self,
        *,
        tasks: anyio.abc.TaskGroup,
        handle_request: RequestHandler,
        hello: Callable[[], Hello],
        heartbeat: Callable[[int], Heartbeat],
        on_echo: OnEcho,
        on_lost: OnLost = lambda stream: None,
        is_neighbor: Callable[[Address], bool] = lambda address: True,
        tls: PeerTls | None = None,
    ) -> None:
        self._tasks = tasks
        self._handle_request = handle_request
        self._hello = hello
        self._heartbeat = heartbeat
        self._on_echo = on_echo
        self._on_lost = on_lost
        self._is_neighbor = is_neighbor
        self._tls = tls
        self._closing = False
        self._closed_idle: set[PeerStream] = set()
        self._streams: dict[Address, PeerStream] = {}
        self._open_locks: dict[Address, anyio.Lock] = {}
        self._accepted = 0

    async def accept(self, raw: anyio.abc.SocketStream) -> None:
        """Serve a stream that another node opened."""
        if self._accepted >= MAX_ACCEPTED:
            logger.warning("peers: refused a stream: too many are open")
            await anyio.aclose_forcefully(raw)
            return
        self._accepted += 1
        try:
            stream = await self._accept_tls(raw)
            if stream is not None:
                await self._serve_accepted(stream)
        finally:
            self._accepted -= 1

    async def connect(self, address: Address) -> PeerStream:
        """Return the stream to a node, opening it if necessary.

        Raises ``UnreachableError`` when it cannot be opened.
        """
        stream = self._streams.get(address)
        if stream is not None and not stream.closed:
            return stream
        lock = self._open_locks.setdefault(address, anyio.Lock())
        async with lock:
            stream = self._streams.get(address)
            if stream is not None and not stream.closed:
                return stream
            return await self._open(address)

    async def send_request(self, address: Address, request: Request) -> Reply:
        """Send a request to a node and return its reply.

        Raises ``UnreachableError`` when nothing was sent, else
        ``StreamLostError`` or ``StreamFullError``.
        """
        stream = await self.connect(address)
        return await stream.send_request(request)

    async def probe(self, address: Address) -> Hello | None:
        """Return the ``Hello`` of a node over a new connection, or None.

        An existing stream to the node may be silent while new connections work.
        """
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                raw = await self._connect(address)
                stream = PeerStream(
                    stream=raw, handle_request=self._handle_request, local=self._hello()
                )
                try:
                    return await stream.handshake()
                finally:
                    await stream.close()
        except (OSError, TimeoutError, FrameError, StreamLostError):
            return None

    async def close(self) -> None:
        """Close all streams that this node opened."""
        self._closing = True
        for stream in list(self._streams.values()):
            await stream.close()

    async def _open(self, address: Address) -> PeerStream:
        if len(self._streams) >= MAX_STREAMS:
            raise UnreachableError("too many peer streams are open")
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                raw = await self._connect(address)
        except (OSError, TimeoutError) as error:
            raise UnreachableError(f"no connection to {address.host}") from error
        stream = PeerStream(
            stream=raw, handle_request=self._handle_request, local=self._hello()
        )
        try:
            await stream.handshake()
        except (FrameError, StreamLostError) as error:
            await stream.close()
            raise UnreachableError(str(error)) from error
        self._streams[address] = stream
        self._tasks.start_soon(self._run, address, stream)
        return stream

    async def _connect(self, address: Address) -> anyio.abc.ByteStream:
        # Every failure is raised as OSError; the caller sets the timeout.
        raw = await anyio.connect_tcp(address.host, address.port)
        if self._tls is None:
            return raw
        try:
            return await self._tls.connect(raw)
        except BaseException as error:
            await anyio.aclose_forcefully(raw)
            if isinstance(error, ssl.SSLError):
                logger.warning("peers: TLS with {} failed: {}", address.host, error)
            if isinstance(error, (anyio.EndOfStream, anyio.BrokenResourceError)):
                raise ConnectionResetError("peer closed in the handshake") from error
            raise

    async def _accept_tls(
        self, raw: anyio.abc.ByteStream
    ) -> anyio.abc.ByteStream | None:
        if self._tls is None:
            return raw
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                return await self._tls.accept(raw)
        except _HANDSHAKE_ERRORS as error:
            logger.warning("peers: refused a stream: TLS handshake: {!r}", error)
        except BaseException:
            await anyio.aclose_forcefully(raw)
            raise
        await anyio.aclose_forcefully(raw)
        return None

    async def _serve_accepted(self, stream: anyio.abc.ByteStream) -> None:
        peer = PeerStream(
            stream=stream, handle_request=self._handle_request, local=self._hello()
        )
        try:
            await peer.handshake()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_close_silent, peer)
                await peer.run()
                tasks.cancel_scope.cancel()
        except (FrameError, StreamLostError) as error:
            logger.warning("peers: refused a stream: {}", error)
            await peer.close()

    async def _run(self, address: Address, stream: PeerStream) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keep_alive, address, stream)
            await stream.run()
            tasks.cancel_scope.cancel()
        if self._streams.get(address) is stream:
            del self._streams[address]
        if stream not in self._closed_idle and not self._closing:
            self._on_lost(stream)
        self._closed_idle.discard(stream)

    async def _keep_alive(self, address: Address, stream: PeerStream) -> None:
        # Closes a stream that went silent without FIN or RST, so that its
        # requests fail and the next use opens a new connection. A stream to a
        # node that is no neighbor carries heartbeats only while a call waits.
        while not stream.closed:
            if not (self._is_neighbor(address) or stream.has_pending_requests):
                if anyio.current_time() - stream.last_received_at > IDLE_TIMEOUT_S:
                    self._closed_idle.add(stream)
                    await stream.close()
                    return
                await anyio.sleep(HEARTBEAT_PERIOD_S)
                continue
            started = anyio.current_time()
            with anyio.move_on_after(HEARTBEAT_TIMEOUT_S) as scope:
                try:
                    reply = await stream.send_request(self._heartbeat(stream.next_id()))
                except (StreamLostError, StreamFullError):
                    return
                if isinstance(reply, HeartbeatEcho):
                    self._on_echo(stream, reply, started)
            late_s = anyio.current_time() - started - HEARTBEAT_TIMEOUT_S
            if late_s > PAUSE_LIMIT_S:
                # This process was paused; the peer had no chance to reply in time.
                continue
            if scope.cancelled_caught and stream.last_received_at < started:
                logger.warning(
                    "peers: closed the silent stream to {}",
                    address.host,
                )
                await stream.close()
                return
            elapsed = anyio.current_time() - started
            await anyio.sleep(max(0.0, HEARTBEAT_PERIOD_S - elapsed))


async def _close_silent(stream: PeerStream) -> None:
    # A silent accepted stream would count toward MAX_ACCEPTED forever.
    while not stream.closed:
        silent_s = anyio.current_time() - stream.last_received_at
        if silent_s > ACCEPTED_IDLE_TIMEOUT_S:
            logger.warning("peers: closed a silent accepted stream")
            await stream.close()
            return
        await anyio.sleep(ACCEPTED_IDLE_TIMEOUT_S - silent_s + HEARTBEAT_PERIOD_S)
