"""HTTP server of one listening port, with connection timeouts and drain."""

import time

import anyio
import anyio.abc

from ._messages import MAX_BODY_BYTES
from ._server import ErrorResponse, Handler, ServerConnection

SWEEP_PERIOD_S = 0.1
MAX_CONNECTIONS = 2048

SocketListener = anyio.abc.Listener[anyio.abc.SocketStream]


class HttpServer:
    """Serves HTTP/1.1 on listeners.

    A connection beyond ``max_connections`` is closed at once.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        error_response: ErrorResponse,
        max_connections: int = MAX_CONNECTIONS,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self._handler = handler
        self._error_response = error_response
        self._max_connections = max_connections
        self._max_body_bytes = max_body_bytes
        self._connections: set[ServerConnection] = set()
        self._close_announced = False
        self._intake_ended = False

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def serve(self, listener: anyio.abc.Listener[anyio.abc.ByteStream]) -> None:
        """Serve until cancelled, then close the listener."""
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(self._sweep, tasks)
            await listener.serve(self._serve_stream)

    def announce_close(self) -> None:
        """Ask callers to reconnect elsewhere.

        Each connection sends ``Connection: close`` with its next response; idle
        connections stay open.
        """
        self._close_announced = True
        for connection in self._connections:
            connection.announce_close()

    def drain(self) -> None:
        """Close idle connections now and the others after their current request."""
        for connection in list(self._connections):
            connection.drain()

    def end_intake(self) -> None:
        """Close further connections unread, idle ones now and the others in time.

        This happens at once, so that no request arrives between a look at the number
        of connections and this call, as long as nothing is awaited.
        """
        self._intake_ended = True
        self.drain()

    async def _serve_stream(self, stream: anyio.abc.ByteStream) -> None:
        if self._intake_ended or len(self._connections) >= self._max_connections:
            await anyio.aclose_forcefully(stream)
            return
        connection = ServerConnection(
            stream=stream,
            handler=self._handler,
            error_response=self._error_response,
            max_body_bytes=self._max_body_bytes,
        )
        if self._close_announced:
            connection.announce_close()
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    async def _sweep(self, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            await anyio.sleep(SWEEP_PERIOD_S)
            now = time.monotonic()
            for connection in list(self._connections):
                connection.sweep(now, tasks)
