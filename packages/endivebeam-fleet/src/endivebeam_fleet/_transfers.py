"""Transfers of configurations between nodes.

Calls and their cancellations share links with configurations, which are larger by
orders of magnitude. A node therefore sends to a few others at a time, and has at most
one part in flight to each.
"""

from collections import deque

from endivebeam_model import ConfigVersion, NodeId

MAX_TRANSFERS = 4
# A receiver that requests no further part for this time no longer counts as active.
IDLE_TIMEOUT_S = 1.0
# Recent receivers that are stored as further sources.
MAX_SOURCES = 8
# Maximum size of an encoded configuration that is accepted.
MAX_ENCODED_BYTES = 4 << 20


class TransferSlots:
    """Nodes that receive a configuration from this node, now or recently."""

    def __init__(self) -> None:
        self._requested_at: dict[NodeId, float] = {}
        self._sources: deque[tuple[NodeId, ConfigVersion]] = deque(maxlen=MAX_SOURCES)

    def admit(self, node_id: NodeId, now: float) -> bool:
        """Acquire or renew a slot for a node; return whether one was available."""
        if (
            node_id not in self._requested_at
            and len(self._requested_at) >= MAX_TRANSFERS
        ):
            self._remove_idle(now)
        if node_id in self._requested_at or len(self._requested_at) < MAX_TRANSFERS:
            self._requested_at[node_id] = now
            return True
        return False

    def finish(self, node_id: NodeId, version: ConfigVersion) -> None:
        """Release a node's slot after the last part of a version was sent to it."""
        self._requested_at.pop(node_id, None)
        self._sources.append((node_id, version))

    def sources(self, version: ConfigVersion) -> tuple[NodeId, ...]:
        """Return the nodes to which a version was sent recently."""
        return tuple(
            node_id
            for node_id, sent_version in self._sources
            if sent_version == version
        )

    def _remove_idle(self, now: float) -> None:
        for node_id, requested_at in list(self._requested_at.items()):
            if now - requested_at > IDLE_TIMEOUT_S:
                del self._requested_at[node_id]


class ConfigAssembler:
    """Joins the parts of one configuration.

    >>> assembler = ConfigAssembler()
    >>> assembler.add(ConfigVersion(3), offset=0, total_bytes=4, data=b"ab")
    >>> assembler.add(ConfigVersion(3), offset=2, total_bytes=4, data=b"cd")
    b'abcd'
    """

    def __init__(self) -> None:
        self.version = ConfigVersion(0)
        self._parts: list[bytes] = []
        self.offset = 0

    def add(
        self, version: ConfigVersion, *, offset: int, total_bytes: int, data: bytes
    ) -> bytes | None:
        """Add a part; return the encoded configuration once it is complete.

        A part at offset 0 restarts the transfer. Raises ``ValueError`` for a part
        that is out of sequence and for a configuration that is too large.
        """
        if offset == 0:
            self.version, self._parts, self.offset = version, [], 0
        if version != self.version or offset != self.offset or not data:
            raise ValueError(
                f"configuration {version}: part at {offset} is out of sequence"
            )
        if total_bytes > MAX_ENCODED_BYTES:
            raise ValueError(
                f"configuration of {total_bytes} bytes exceeds the size limit"
            )
        self._parts.append(data)
        self.offset += len(data)
        return b"".join(self._parts) if self.offset >= total_bytes else None
