"""Which nodes this one could not reach lately."""

from endivebeam_model import NodeId

from ._clock import read_clock


class Reach:
    """Since when nodes have been out of reach; times on the node's clock."""

    def __init__(self) -> None:
        self._lost_since: dict[NodeId, float] = {}

    def note_lost(self, node_id: NodeId) -> None:
        """Note that a node could not be reached or went silent."""
        self._lost_since.setdefault(node_id, read_clock())

    def note_reached(self, node_id: NodeId) -> None:
        """Note a sign of life of a node."""
        self._lost_since.pop(node_id, None)

    def is_lost(self, node_id: NodeId) -> bool:
        """Return whether a node is out of reach."""
        return node_id in self._lost_since

    def lost_for(self, seconds: float) -> list[NodeId]:
        """Return the nodes that have been out of reach for longer than a time."""
        now = read_clock()
        return [n for n, since in self._lost_since.items() if now - since > seconds]
