"""State of a target according to its own announcements."""

from enum import Enum

import msgspec

from endivebeam_model import Address, ServiceName

_MAX_DEPARTED = 64
_MAX_FIRST_SEQUENCE = 3


class TargetPhase(Enum):
    """Whether a target accepts new work."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """One announcement of a target about its state.

    ``born_ms`` is the start time of the target. Each announcement increments
    ``sequence``, which starts again with each start of the target. ``cold_left_s``
    is the remaining time of the cold start, during which the target is slower.
    """

    instance: str
    address: Address
    service: ServiceName
    slots: int
    phase: TargetPhase
    born_ms: int
    sequence: int
    cold_left_s: float = 0.0


class TargetRecord:
    """State of the target beside this node, from its announcements.

    A delayed announcement may arrive after its target ended and another one started
    at the same address. The newest announcement is therefore determined by start time
    and sequence, not by order of arrival.
    """

    def __init__(self) -> None:
        self.current: Announcement | None = None
        self._departed_born_ms: dict[str, int | None] = {}

    @property
    def accepts_work(self) -> bool:
        """Whether the target has been announced and accepts new work."""
        return self.current is not None and self.current.phase is TargetPhase.READY

    def announce(self, announcement: Announcement) -> bool:
        """Store an announcement if it is the newest; return whether it was.

        A target that is no longer ready cannot become ready again before a restart.
        """
        if self._has_left(announcement):
            return False
        current = self.current
        if current is not None and _version(announcement) <= _version(current):
            return False
        if (
            current is not None
            and current.instance == announcement.instance
            and current.born_ms == announcement.born_ms
            and current.phase is not TargetPhase.READY
            and announcement.phase is TargetPhase.READY
        ):
            return False
        self.current = announcement
        return True

    def process_leaving(self, instance: str) -> bool:
        """Process an answer that says that the target leaves.

        Returns whether the state changed. The target may still serve requests that it
        has, but accepts no more work in this lifetime.
        """
        current = self.current
        if current is None or current.instance != instance or not self.accepts_work:
            return False
        self.current = msgspec.structs.replace(current, phase=TargetPhase.DRAINING)
        return True

    def process_leave(self, instance: str) -> bool:
        """Process a target's leave message; return whether it was the current one."""
        current = self.current
        is_current = current is not None and current.instance == instance
        self._departed_born_ms[instance] = (
            current.born_ms if current and is_current else None
        )
        if len(self._departed_born_ms) > _MAX_DEPARTED:
            self._departed_born_ms.pop(next(iter(self._departed_born_ms)))
        if current is None or not is_current:
            return False
        self.current = msgspec.structs.replace(current, phase=TargetPhase.GONE)
        return True

    def _has_left(self, announcement: Announcement) -> bool:
        if announcement.instance not in self._departed_born_ms:
            return False
        born_ms = self._departed_born_ms[announcement.instance]
        if born_ms is None:
            # The start time of the target that left is unknown. After a restart
            # under the same name, its sequence starts again.
            return announcement.sequence > _MAX_FIRST_SEQUENCE
        return announcement.born_ms <= born_ms


def _version(announcement: Announcement) -> tuple[int, int]:
    return announcement.born_ms, announcement.sequence
