"""The target beside this node, as it announces itself."""

import msgspec
from returns.result import Failure, Result, Success

from endivebeam_model import ServiceName

ANNOUNCEMENT_LIFETIME_S = 6.0


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """What a target says about itself; repeated every 2 s."""

    service: ServiceName
    port: int
    slots: int
    connections: int
    state: str = "serving"
    in_use: int | None = None


class LocalTarget:
    """Latest announcement of the target and the time it arrived.

    ``generation`` rises with each target that appears: the first one, one that
    was gone, and one of another service or port. Such a target starts cold.
    """

    def __init__(self) -> None:
        self.announcement: Announcement | None = None
        self.generation = 0
        self._announced_at = 0.0

    def announce(self, body: bytes, now: float) -> Result[Announcement, str]:
        """Store an announcement; fails with what is wrong with it."""
        try:
            announcement = msgspec.json.decode(body, type=Announcement)
        except msgspec.DecodeError as error:
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
        """Return the announcement unless it is too old."""
        if now - self._announced_at > ANNOUNCEMENT_LIFETIME_S:
            return None
        return self.announcement

    def forget(self) -> None:
        """Drop the announcement after the target refused a connection."""
        self.announcement = None


def _is_new(known: Announcement | None, announced: Announcement) -> bool:
    if known is None:
        return True
    return (known.service, known.port) != (announced.service, announced.port)
