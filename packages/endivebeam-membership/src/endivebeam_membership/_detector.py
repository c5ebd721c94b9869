"""Failure detection: heartbeat ages, one fresh probe, then a death report."""

from collections.abc import Iterable

import msgspec

from endivebeam_model import NodeId

SILENCE_LIMIT_S = 1.0
PROBE_LIMIT_S = 1.0
PAUSE_LIMIT_S = 0.5


class DetectorResult(msgspec.Struct, frozen=True):
    """Nodes to probe over a fresh connection, and nodes found dead."""

    probe: tuple[NodeId, ...] = ()
    dead: tuple[NodeId, ...] = ()


class _Watch(msgspec.Struct):
    heard_at: float
    probed_at: float | None = None


class Detector:
    """Ages of the nodes that this node monitors.

    The monitored nodes are ring successors inside the failure domain. Nodes of
    other domains are never watched, so that a cut between domains reports
    nobody dead.
    """

    def __init__(self, *, now: float) -> None:
        self._watched: dict[NodeId, _Watch] = {}
        self._ticked_at = now

    def watch(self, nodes: Iterable[NodeId], now: float) -> None:
        """Monitor exactly these nodes; new ones count as heard now."""
        self._watched = {
            node_id: self._watched.get(node_id) or _Watch(now) for node_id in nodes
        }

    def record_answer(self, node_id: NodeId, now: float) -> None:
        """Record an answer of a node, to a heartbeat or to a probe."""
        if node_id in self._watched:
            self._watched[node_id] = _Watch(now)

    def tick(self, now: float) -> DetectorResult:
        """Return what is due; called several times a second."""
        paused = now - self._ticked_at > PAUSE_LIMIT_S
        self._ticked_at = now
        if paused:
            # This process did not run, so that it could not have heard anyone.
            # Ages from before the pause say nothing about the others.
            self._watched = {node_id: _Watch(now) for node_id in self._watched}
            return DetectorResult()
        probe: list[NodeId] = []
        dead: list[NodeId] = []
        for node_id, watch in self._watched.items():
            if watch.probed_at is not None:
                if now - watch.probed_at >= PROBE_LIMIT_S:
                    dead.append(node_id)
            elif now - watch.heard_at >= SILENCE_LIMIT_S:
                watch.probed_at = now
                probe.append(node_id)
        for node_id in dead:
            del self._watched[node_id]
        return DetectorResult(tuple(probe), tuple(dead))
