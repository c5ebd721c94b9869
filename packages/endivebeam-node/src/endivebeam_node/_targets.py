"""The target beside this node, as it announces itself."""

import msgspec
from returns.result import Failure, Result, Success

from endivebeam_model import DECODE_ERRORS, ServiceName

ANNOUNCEMENT_LIFETIME_S = 6.0


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """Announcement of a target; the target sends one every 2 s."""

    service: ServiceName
    port: int
    slots: int
    connections: int
    state: str = "serving"
    in_use: int | None = None


class LocalTarget:
    """Latest announcement of the target and its time of arrival.

    ``generation`` increases with each new target: the first one, one that returns
    after its announcement expired or was dropped, and one with another service or
    port. A new target starts cold.
    """

    def __init__(self) -> None:
        self.announcement: Announcement | None = None
        self.generation = 0
        self._announced_at = 0.0

    def announce(self, body: bytes, now: float) -> Result[Announcement, str]:
        """Store an announcement; fail with a message if it is not valid."""
        try:
            announcement = msgspec.json.decode(body, type=Announcement)
        except DECODE_ERRORS as error:
            return Failure(f"announcement is not valid: {error}")
        if not 1 <= announcement.port <= 65535:
            return Failure("announcement is not valid: port must be 1 to 65535")
        if announcement.slots < 1 or announcement.connections < 1:
            return Failure("announcement is not valid: slots and connections are >= 1")
        if _is_new(self.current(now), announcement):
            self.generation += 1
        self.announcement = announcement
        self._announced_at = now
        return Success(announcement)

    def current(self, now: float) -> Announcement | None:
        """Return the announcement, or None if it has expired or was dropped."""
        if now - self._announced_at > ANNOUNCEMENT_LIFETIME_S:
            return None
        return self.announcement

    def drop(self) -> None:
        """Drop the announcement after the target refused a connection."""
        self.announcement = None


def _is_new(previous: Announcement | None, announced: Announcement) -> bool:
    if previous is None:
        return True
    return (previous.service, previous.port) != (announced.service, announced.port)
