"""Failure detection by heartbeats, followed by a probe over a new connection."""

from collections.abc import Iterable

import msgspec

from endivebeam_model import NodeId

HEARTBEAT_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 1.0
PAUSE_LIMIT_S = 0.5


class DetectorResult(msgspec.Struct, frozen=True):
    """Nodes to probe over a new connection, and nodes detected as dead."""

    probe: tuple[NodeId, ...] = ()
    dead: tuple[NodeId, ...] = ()


class _Watch(msgspec.Struct):
    replied_at: float
    probed_at: float | None = None


class Detector:
    """Detects failures of the nodes that this node monitors.

    A node that sends no reply for ``HEARTBEAT_TIMEOUT_S`` is probed. It is reported
    dead if the probe is not answered within ``PROBE_TIMEOUT_S``.

    The monitored nodes are ring successors inside the failure domain. Nodes of other
    domains are not monitored, so that a network partition between domains causes no
    death reports.
    """

    def __init__(self, *, now: float) -> None:
        self._watched: dict[NodeId, _Watch] = {}
        self._ticked_at = now

    def watch(self, nodes: Iterable[NodeId], now: float) -> None:
        """Monitor exactly these nodes; the timeout of new ones starts now."""
        self._watched = {
            node_id: self._watched.get(node_id) or _Watch(now) for node_id in nodes
        }

    def record_reply(self, node_id: NodeId, now: float) -> None:
        """Record a node's reply to a heartbeat or a probe."""
        if node_id in self._watched:
            self._watched[node_id] = _Watch(now)

    def tick(self, now: float) -> DetectorResult:
        """Return the nodes to probe and the dead ones; call several times a second."""
        paused = now - self._ticked_at > PAUSE_LIMIT_S
        self._ticked_at = now
        if paused:
            # This process was suspended and could not receive replies, so earlier
            # ages show nothing about the other nodes.
            self._watched = {node_id: _Watch(now) for node_id in self._watched}
            return DetectorResult()
        probe: list[NodeId] = []
        dead: list[NodeId] = []
        for node_id, watch in self._watched.items():
            if watch.probed_at is not None:
                if now - watch.probed_at >= PROBE_TIMEOUT_S:
                    dead.append(node_id)
            elif now - watch.replied_at >= HEARTBEAT_TIMEOUT_S:
                watch.probed_at = now
                probe.append(node_id)
        for node_id in dead:
            del self._watched[node_id]
        return DetectorResult(tuple(probe), tuple(dead))
