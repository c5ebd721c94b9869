"""Requests of one connection that are not answered yet."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

from ._memory import REQUEST_OVERHEAD_BYTES
from ._messages import Request, Response

# Requests of one connection whose handlers run concurrently.
MAX_OPEN_EXCHANGES = 32
# Parsed requests whose handlers have not started. Reading is paused only beyond these
# limits, because a disconnect is not detected while reading is paused.
MAX_PENDING_EXCHANGES = 512
MAX_PENDING_BYTES = 256 << 10


class Exchange:
    """One request and its response, once the handler has returned it.

    The handler is cancelled if the caller disconnects before the response is ready.
    """

    __slots__ = ("held_bytes", "request", "response", "task")

    def __init__(self, request: Request) -> None:
        self.request = request
        self.held_bytes = (
            REQUEST_OVERHEAD_BYTES + _measure_head(request) + len(request.body)
        )
        self.response: Response | None = None
        self.task: asyncio.Task[None] | None = None


def _measure_head(request: Request) -> int:
    fields_bytes = sum(len(name) + len(value) for name, value in request.fields)
    return len(request.target) + fields_bytes


ExchangeHandler = Callable[[Exchange], Awaitable[Response]]


class OpenExchanges:
    """Exchanges in the order of their requests; the last ones have no handler yet.

    ``held_bytes`` are those of the requests and of the responses that are complete.
    """

    def __init__(self) -> None:
        self._open: deque[Exchange] = deque()
        # The last exchanges of ``_open``, whose handlers have not started.
        self._pending: deque[Exchange] = deque()
        self._pending_bytes = 0
        self._request_bytes = 0
        self.response_bytes = 0

    def __len__(self) -> int:
        """Return the number of requests that are not answered."""
        return len(self._open)

    @property
    def held_bytes(self) -> int:
        """Bytes of the requests and of the responses that are complete."""
        return self._request_bytes + self.response_bytes

    @property
    def is_full(self) -> bool:
        """Whether so many handlers have not started that reading should be paused."""
        return (
            len(self._pending) > MAX_PENDING_EXCHANGES
            or self._pending_bytes > MAX_PENDING_BYTES
        )

    @property
    def has_next_response(self) -> bool:
        """Whether the response to the first request is complete."""
        return bool(self._open) and self._open[0].response is not None

    def add(self, exchange: Exchange) -> None:
        """Add an exchange whose handler is still to be started."""
        self._open.append(exchange)
        self._pending.append(exchange)
        self._pending_bytes += len(exchange.request.body)
        self._request_bytes += exchange.held_bytes

    def add_rejected(self, exchange: Exchange, response: Response) -> None:
        """Add an exchange that is answered without a handler."""
        exchange.held_bytes = 0
        self._open.append(exchange)
        self.complete(exchange, response)

    def pop_pending(self) -> Exchange | None:
        """Return the next exchange whose handler may start, or None."""
        running = len(self._open) - len(self._pending)
        if not self._pending or running >= MAX_OPEN_EXCHANGES:
            return None
        exchange = self._pending.popleft()
        self._pending_bytes -= len(exchange.request.body)
        return exchange

    def complete(self, exchange: Exchange, response: Response) -> None:
        """Set the response of an exchange."""
        exchange.response = response
        self.response_bytes += len(response.body)

    def pop_complete(self) -> tuple[Request, Response]:
        """Remove the first exchange, whose response is complete."""
        exchange = self._open.popleft()
        assert exchange.response is not None
        self._request_bytes -= exchange.held_bytes
        self.response_bytes -= len(exchange.response.body)
        return exchange.request, exchange.response

    def cancel(self) -> None:
        """Cancel all handlers and remove the exchanges."""
        for exchange in self._open:
            if exchange.task is not None:
                exchange.task.cancel()
        self._open.clear()
        self._pending.clear()
        self._pending_bytes = 0
        self._request_bytes = 0
        self.response_bytes = 0
