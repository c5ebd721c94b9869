"""Server whose connections handle pipelined requests concurrently."""

import time

import anyio
from loguru import logger

from ._exchanges import ExchangeHandler
from ._idle_connections import Candidate, choose_connections_to_close
from ._limits import ServerLimits
from ._memory import MemoryBudget
from ._pipelined_connection import PipelinedConnection
from ._request_input import InputQueue
from ._server import ErrorResponse
from ._slow_readers import SlowReader, choose_readers_to_drop
from ._tasks import TaskSet
from ._transport import TcpListener, TcpStream

SWEEP_PERIOD_S = 1.0
# Part of the limit by which the held bytes may grow between two looks at all of them.
HELD_CHECK_FRACTION = 1 / 8
# A request that has stopped arriving for this long is given up if there is no room.
STALL_S = 1.0
# Least time between two looks for such requests.
RECLAIM_PERIOD_S = 0.1
# Part of the connections that make room when there are too many, so that a look at all
# of them serves many new ones.
CLOSED_FRACTION = 1 / 32


class PipelinedServer:
    """Serves pipelined connections.

    Beyond ``limits.max_connections``, idle connections make room for new ones, first
    those on which no whole request arrived. ``budget`` bounds what is held for callers;
    a request for which there is no room is rejected.
    """

    def __init__(
        self,
        *,
        handler: ExchangeHandler,
        error_response: ErrorResponse,
        limits: ServerLimits,
        budget: MemoryBudget | None = None,
    ) -> None:
        self._handler = handler
        self._error_response = error_response
        self._limits = limits
        self._budget = budget or MemoryBudget()
        self._input_queue = InputQueue()
        self._reclaimed_at = 0.0
        self._connections: set[PipelinedConnection] = set()
        self._tasks = TaskSet()
        self._close_announced = False
        # Held bytes that were reported since the last look at all connections.
        self._new_held_bytes = 0
        self._listener: TcpListener | None = None

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def busy_connections(self) -> int:
        """Number of connections with a request in progress or a response to send."""
        return sum(1 for c in self._connections if c.is_busy)

    @property
    def has_lingering_connections(self) -> bool:
        """Whether callers still have to close connections after their last response."""
        return any(c.is_lingering for c in self._connections)

    @property
    def held_bytes(self) -> int:
        """Bytes of responses that the callers of all connections have not taken."""
        return sum(connection.held_bytes for connection in self._connections)

    async def serve(self, listener: TcpListener) -> None:
        """Serve until cancelled, then close the listener and all connections."""
        self._listener = listener
        async with listener:
            listener.accept(self._start)
            try:
                await self._sweep()
            finally:
                # A request on a connection that is accepted from now on would be cut.
                listener.close()
                for connection in list(self._connections):
                    connection.close()
                await self._tasks.close()

    def announce_close(self) -> None:
        """Ask callers to reconnect elsewhere.

        Each connection sends ``Connection: close`` with the response to its last open
        request; idle connections stay open.
        """
        self._close_announced = True
        for connection in self._connections:
            connection.announce_close()

    def end_intake(self) -> None:
        """Accept no connection and no request from now on.

        Requests that were received whole still get their responses. This happens at
        once: between a look at ``busy_connections`` and this call, as long as nothing
        is awaited, no request can arrive.
        """
        if self._listener is not None:
            self._listener.close()
        for connection in list(self._connections):
            connection.end_intake()

    def _start(self, stream: TcpStream) -> None:
        if len(self._connections) >= self._limits.max_connections:
            self._close_idle()
        if len(self._connections) >= self._limits.max_connections:
            stream.abort()
            return
        connection = PipelinedConnection(
            stream=stream,
            handler=self._handler,
            error_response=self._error_response,
            limits=self._limits,
            tasks=self._tasks,
            on_closed=self._connections.discard,
            on_held=self._record_held,
            on_full=self._reclaim,
            budget=self._budget,
            input_queue=self._input_queue,
        )
        if self._close_announced:
            connection.announce_close()
        self._connections.add(connection)
        connection.start()

    def _close_idle(self) -> None:
        """Close some idle connections to make room for new ones."""
        now = time.monotonic()
        candidates = [
            Candidate(connection, connection.standing, connection.waited_s(now))
            for connection in self._connections
        ]
        count = max(1, int(self._limits.max_connections * CLOSED_FRACTION))
        closed = choose_connections_to_close(candidates, count=count)
        for connection in closed:
            connection.close()
        logger.bind(closed=len(closed), max=self._limits.max_connections).warning(
            "calls: Idle connections were closed to make room for new ones."
        )

    def _reclaim(self) -> None:
        """Reject requests that stopped arriving, because others find no room."""
        now = time.monotonic()
        if now - self._reclaimed_at < RECLAIM_PERIOD_S:
            return
        self._reclaimed_at = now
        stalled = [
            connection
            for connection in self._connections
            if connection.request_stalled_s(now) > STALL_S
        ]
        for connection in stalled:
            connection.reject_stalled()
        logger.bind(stalled=len(stalled), used_bytes=self._budget.used_bytes).warning(
            "calls: The memory for requests is full."
        )

    def _record_held(self, size: int) -> None:
        """Record that bytes are held for a caller; drop callers beyond the limit."""
        self._new_held_bytes += size
        max_bytes = self._limits.max_held_bytes
        if self._new_held_bytes > max_bytes * HELD_CHECK_FRACTION:
            self._new_held_bytes = 0
            self._drop_slow_readers(max_bytes)

    def _drop_slow_readers(self, max_bytes: int) -> None:
        now = time.monotonic()
        readers = [
            SlowReader(connection, connection.held_bytes, connection.stalled_s(now))
            for connection in self._connections
        ]
        dropped = choose_readers_to_drop(readers, max_bytes=max_bytes)
        for connection in dropped:
            connection.abort()
        if dropped:
            logger.bind(connections=len(dropped), max_bytes=max_bytes).warning(
                "calls: Callers that don't read their responses were disconnected."
            )

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP_PERIOD_S)
            now = time.monotonic()
            for connection in list(self._connections):
                connection.sweep(now)
