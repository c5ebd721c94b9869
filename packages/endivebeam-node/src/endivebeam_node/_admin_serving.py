"""Serves the administration API on its socket, with TLS if configured."""

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
    """Hypercorn settings with a TLS context in place of the names of TLS files.

    The owner of the context reloads it when the files change.
    """

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
        """Whether the port uses TLS."""
        return self._context is not None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the context; a reload changes it in place."""
        return self._context


async def serve_admin(
    app: Starlette, listener: socket.socket, context: ssl.SSLContext | None
) -> None:
    """Serve until cancelled."""
    config = AdminConfig(listener=listener, context=context)
    # When cancelled, hypercorn reads the exception of tasks that have none and
    # fails with InvalidStateError; a planned stop must not fail.
    with contextlib.suppress(asyncio.InvalidStateError):
        await serve_asgi(
            cast(ASGIFramework, app), config, shutdown_trigger=anyio.sleep_forever
        )
