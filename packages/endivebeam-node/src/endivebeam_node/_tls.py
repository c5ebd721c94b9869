"""TLS on the node's ports: contexts, handshakes and certificate reload."""

from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
from anyio.streams.tls import TLSListener, TLSStream
from loguru import logger

from endivebeam_http import MAX_CONNECTIONS, SocketListener
from endivebeam_wire import TlsContext, TlsFiles

from ._settings import PeerTlsSettings, PortTlsSettings, TlsSettings

RELOAD_PERIOD_S = 60.0
HANDSHAKE_TIMEOUT_S = 5.0


class PeerTls:
    """TLS contexts of peer streams, verified against the fleet's authority.

    Streams end without a TLS closing handshake: frames carry their length, so
    a truncated stream is detected without one.
    """

    def __init__(self, *, files: TlsFiles) -> None:
        self.server = TlsContext(files=files, server_side=True)
        self.client = TlsContext(files=files, server_side=False)

    async def accept(self, stream: anyio.abc.ByteStream) -> anyio.abc.ByteStream:
        """Perform the handshake of a stream that another node opened.

        Raises ``OSError``, ``EndOfStream`` or ``BrokenResourceError``.
        """
        return await TLSStream.wrap(
            stream,
            server_side=True,
            ssl_context=self.server.context,
            standard_compatible=False,
        )

    async def connect(self, stream: anyio.abc.ByteStream) -> anyio.abc.ByteStream:
        """Perform the handshake of a stream to another node; raises as ``accept``."""
        return await TLSStream.wrap(
            stream,
            server_side=False,
            ssl_context=self.client.context,
            standard_compatible=False,
        )


class NodeTls:
    """TLS contexts of all ports; None for a port without TLS settings.

    Raises ``OSError`` when files cannot be used.
    """

    def __init__(self, settings: TlsSettings) -> None:
        self.peer = None
        if settings.peer is None:
            logger.warning(
                "node: peer streams are not authenticated; set tls.peer, or keep the "
                "peer port on a network that only nodes can reach"
            )
        else:
            self.peer = PeerTls(files=make_tls_files(settings.peer))
        self.caller = _port_context(settings.caller)
        self.admin = _port_context(settings.admin)

    def reload(self) -> None:
        """Load changed files; open connections stay open."""
        contexts = [self.caller, self.admin]
        if self.peer is not None:
            contexts += [self.peer.server, self.peer.client]
        for context in contexts:
            if context is not None:
                context.reload()

    async def run(self) -> None:
        """Reload changed files until cancelled."""
        while True:
            await anyio.sleep(RELOAD_PERIOD_S)
            self.reload()

    def wrap_caller(
        self, listener: SocketListener
    ) -> anyio.abc.Listener[anyio.abc.ByteStream]:
        """Return the listener of the caller port, with TLS if configured."""
        if self.caller is None:
            return listener
        return CallerListener(
            listener=BoundedListener(listener),
            ssl_context=self.caller.context,
            standard_compatible=False,
            handshake_timeout=HANDSHAKE_TIMEOUT_S,
        )


class BoundedListener(anyio.abc.Listener[anyio.abc.SocketStream]):
    """Closes new connections above a limit, which includes those in a handshake."""

    def __init__(
        self, listener: SocketListener, *, max_connections: int = MAX_CONNECTIONS
    ) -> None:
        self._listener = listener
        self._max_connections = max_connections
        self._open = 0

    async def serve(
        self,
        handler: Callable[[anyio.abc.SocketStream], Any],
        task_group: anyio.abc.TaskGroup | None = None,
    ) -> None:
        """Serve connections until cancelled."""

        async def handle(stream: anyio.abc.SocketStream) -> None:
            if self._open >= self._max_connections:
                await anyio.aclose_forcefully(stream)
                return
            self._open += 1
            try:
                await handler(stream)
            finally:
                self._open -= 1

        await self._listener.serve(handle, task_group)

    async def aclose(self) -> None:
        """Close the listener."""
        await self._listener.aclose()


class CallerListener(TLSListener):
    """TLS listener that logs a failed handshake in one line."""

    @staticmethod
    async def handle_handshake_error(
        exc: BaseException, stream: anyio.abc.AnyByteStream
    ) -> None:
        """Close the connection and log the error; re-raise a cancellation."""
        await anyio.aclose_forcefully(stream)
        if not isinstance(exc, Exception):
            raise exc
        logger.debug("calls: TLS handshake failed: {!r}", exc)


def make_tls_files(settings: PeerTlsSettings | PortTlsSettings) -> TlsFiles:
    """Return the files of a port's settings."""
    authority = settings.authority if isinstance(settings, PeerTlsSettings) else None
    return TlsFiles(
        certificate=settings.certificate, key=settings.key, authority=authority
    )


def _port_context(settings: PortTlsSettings | None) -> TlsContext | None:
    if settings is None:
        return None
    return TlsContext(files=make_tls_files(settings), server_side=True)
