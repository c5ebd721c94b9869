"""Serves the administration API on its socket, with TLS if it is set."""

import asyncio
import contextlib
import socket
import ssl
from typing import cast

import anyio
from hypercorn.asyncio import serve as serve_asgi
from hypercorn.config import Config
from hypercorn.typing import ASGIFramework
from starlette.applications import Starlette

from ._tls import HANDSHAKE_TIMEOUT_S


class AdminConfig(Config):
    """Uses a context that is reloaded outside, instead of file names."""

    def __init__(
        self, *, listener: socket.socket, context: ssl.SSLContext | None
    ) -> None:
        super().__init__()
        self._context = context
        self.bind = [f"fd://{listener.fileno()}"]
        self.errorlog = None
        self.ssl_handshake_timeout = HANDSHAKE_TIMEOUT_S

    @property
    def ssl_enabled(self) -> bool:
        """Whether the port speaks TLS."""
        return self._context is not None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the context, which a reload changes in place."""
        return self._context


async def serve_admin(
    app: Starlette, listener: socket.socket, context: ssl.SSLContext | None
) -> None:
    """Serve until cancelled."""
    config = AdminConfig(listener=listener, context=context)
    # A cancelled hypercorn server asks its tasks for an exception that they
    # do not have; a planned stop must not end with that error.
    with contextlib.suppress(asyncio.InvalidStateError):
        await serve_asgi(
            cast(ASGIFramework, app), config, shutdown_trigger=anyio.sleep_forever
        )
