"""One account of the bytes that a process holds for its peers."""

from enum import Enum
from http import HTTPStatus

from ._messages import HttpError

DEFAULT_BUDGET_BYTES = 64 << 20
# Bytes that a request takes besides its head and body: objects, tasks and timers.
REQUEST_OVERHEAD_BYTES = 4 << 10
# A request with more bytes than this counts as large.
SMALL_REQUEST_BYTES = 32 << 10
# Requests that stopped arriving are given up by then.
FULL_RETRY_AFTER_S = 1.0


class Purpose(Enum):
    """What bytes are held for.

    The value is the part of the budget up to which further bytes are held for it. So
    a small request finds room beside large ones, and an answer beside requests.
    """

    LARGE_REQUEST = 0.4
    SMALL_REQUEST = 0.85
    ANSWER = 1.0


def get_request_purpose(size: int) -> Purpose:
    """Return what the bytes of a request of a size are held for.

    >>> get_request_purpose(1000)
    <Purpose.SMALL_REQUEST: 0.85>
    """
    if size > SMALL_REQUEST_BYTES:
        return Purpose.LARGE_REQUEST
    return Purpose.SMALL_REQUEST


class MemoryBudget:
    """How many bytes are held, and how many may be.

    ``max_bytes`` may change at any time. Bytes that are held already stay so.

    >>> budget = MemoryBudget(max_bytes=100)
    >>> budget.used_bytes = 60
    >>> budget.admits(10, Purpose.LARGE_REQUEST), budget.admits(10, Purpose.ANSWER)
    (False, True)
    """

    def __init__(self, *, max_bytes: int = DEFAULT_BUDGET_BYTES) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0

    def admits(self, size: int, purpose: Purpose) -> bool:
        """Return whether there is room for further bytes."""
        return self.used_bytes + size <= self.max_bytes * purpose.value


class HeldBytes:
    """The bytes of one owner in a budget.

    >>> budget = MemoryBudget()
    >>> held = HeldBytes(budget)
    >>> held.resize(10)
    >>> budget.used_bytes
    10
    """

    __slots__ = ("_budget", "size")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.size = 0

    def resize(self, size: int) -> None:
        """Change how many bytes the owner holds, whether there is room or not."""
        self._budget.used_bytes += size - self.size
        self.size = size

    def grow(self, size: int, purpose: Purpose) -> bool:
        """Hold ``size`` bytes if there is room for those that come on top."""
        if size > self.size and not self._budget.admits(size - self.size, purpose):
            return False
        self.resize(size)
        return True


def make_full_error() -> HttpError:
    """Return the error for a request for which there is no room; it has not run."""
    return HttpError(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "the node has no memory left for the request",
        retry_after_s=FULL_RETRY_AFTER_S,
    )
