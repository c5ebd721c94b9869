"""Limits of a server for its callers."""

from ._messages import MAX_BODY_BYTES, MAX_HEADER_BYTES


class ServerLimits:
    """Limits that may change while connections are open; timeouts in seconds.

    ``max_held_bytes`` bounds the responses that the callers of all connections together
    have not taken. Beyond it, connections are closed.
    """

    def __init__(
        self,
        *,
        max_header_bytes: int = MAX_HEADER_BYTES,
        max_body_bytes: int = MAX_BODY_BYTES,
        header_timeout_s: float = 20.0,
        idle_timeout_s: float = 120.0,
        max_connections: int = 2048,
        max_held_bytes: int = 32 << 20,
    ) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.max_connections = max_connections
        self.max_held_bytes = max_held_bytes
