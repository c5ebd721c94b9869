"""What one connection of a caller holds in the budget of its server."""

from collections.abc import Callable

from ._memory import HeldBytes, MemoryBudget, get_request_purpose


class ConnectionMemory:
    """Bytes of a request that is received in part, and of everything after it.

    ``on_full`` is called when there is no room; it may make some.
    """

    def __init__(self, *, budget: MemoryBudget, on_full: Callable[[], None]) -> None:
        self._received = HeldBytes(budget)
        self._accepted = HeldBytes(budget)
        self._on_full = on_full

    def receive(self, size: int) -> bool:
        """Hold what is received of the next request; return whether there is room."""
        return self._grow(self._received, size, size)

    def drop_received(self) -> int:
        """Hold nothing more of the next request; return how many bytes that was."""
        size = self._received.size
        self._received.resize(0)
        return size

    def accept(self, size: int, *, received_bytes: int) -> bool:
        """Hold a complete request on top; return whether there is room.

        One of which ``received_bytes`` were held until now counts as large only if it
        has grown much since: it had its room while it was received.
        """
        total = self._accepted.size + size
        return self._grow(self._accepted, total, size - received_bytes)

    def resize_accepted(self, size: int) -> None:
        """Hold this many bytes of requests and responses, whether there is room."""
        self._accepted.resize(size)

    def _grow(self, held: HeldBytes, size: int, further_bytes: int) -> bool:
        purpose = get_request_purpose(further_bytes)
        if held.grow(size, purpose):
            return True
        self._on_full()
        return held.grow(size, purpose)
