"""Transfers of configurations between nodes.

Calls and the news of their cancellation share links with configurations, which are
larger by orders of magnitude. A node therefore serves few others at a time, and each
of them has one part on its way at most.
"""

from collections import deque

from endivebeam_model import ConfigVersion, NodeId

MAX_TRANSFERS = 4
# A receiver that asks for no further part for this time has given up.
IDLE_S = 1.0
# Receivers that are remembered as further sources.
MAX_HOLDERS = 8
# Largest encoded configuration that is taken.
MAX_ENCODED_BYTES = 4 << 20


class TransferSlots:
    """The nodes that get a configuration from this one now or got it lately."""

    def __init__(self) -> None:
        self._asked_at: dict[NodeId, float] = {}
        self._holders: deque[tuple[NodeId, ConfigVersion]] = deque(maxlen=MAX_HOLDERS)

    def admit(self, node_id: NodeId, now: float) -> bool:
        """Take a place for a node or keep it; return whether there was one."""
        if node_id not in self._asked_at and len(self._asked_at) >= MAX_TRANSFERS:
            self._forget_idle(now)
        if node_id in self._asked_at or len(self._asked_at) < MAX_TRANSFERS:
            self._asked_at[node_id] = now
            return True
        return False

    def finish(self, node_id: NodeId, version: ConfigVersion) -> None:
        """Note that a node was sent the last part of a version."""
        self._asked_at.pop(node_id, None)
        self._holders.append((node_id, version))

    def holders(self, version: ConfigVersion) -> tuple[NodeId, ...]:
        """Return the nodes that were sent a version lately."""
        return tuple(node_id for node_id, known in self._holders if known == version)

    def _forget_idle(self, now: float) -> None:
        for node_id, asked_at in list(self._asked_at.items()):
            if now - asked_at > IDLE_S:
                del self._asked_at[node_id]


class ConfigAssembler:
    """The parts of one configuration that were received so far.

    >>> assembly = ConfigAssembler()
    >>> assembly.add(ConfigVersion(3), offset=0, total_bytes=4, data=b"ab")
    >>> assembly.add(ConfigVersion(3), offset=2, total_bytes=4, data=b"cd")
    b'abcd'
    """

    def __init__(self) -> None:
        self.version = ConfigVersion(0)
        self._parts: list[bytes] = []
        self.offset = 0

    def add(
        self, version: ConfigVersion, *, offset: int, total_bytes: int, data: bytes
    ) -> bytes | None:
        """Add a part; return the whole once it is complete.

        A part at offset 0 begins anew. Raises ``ValueError`` for a part that does
        not follow the others.
        """
        if offset == 0:
            self.version, self._parts, self.offset = version, [], 0
        if version != self.version or offset != self.offset or not data:
            raise ValueError(f"a part of version {version} at {offset} does not follow")
        if total_bytes > MAX_ENCODED_BYTES:
            raise ValueError(f"a configuration of {total_bytes} bytes is too large")
        self._parts.append(data)
        self.offset += len(data)
        return b"".join(self._parts) if self.offset >= total_bytes else None
