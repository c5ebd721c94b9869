"""Which nodes this one could not reach lately."""

from endivebeam_model import NodeId

from ._clock import read_clock


class UnreachableNodes:
    """Since when nodes have been out of reach; times on the node's clock."""

    def __init__(self) -> None:
        self._since: dict[NodeId, float] = {}

    def add(self, node_id: NodeId) -> None:
        """Note that a node could not be reached or went silent."""
        self._since.setdefault(node_id, read_clock())

    def remove(self, node_id: NodeId) -> None:
        """Note a sign of life of a node."""
        self._since.pop(node_id, None)

    def includes(self, node_id: NodeId) -> bool:
        """Return whether a node is out of reach."""
        return node_id in self._since

    def longer_than(self, seconds: float) -> list[NodeId]:
        """Return the nodes that have been out of reach for longer than a time."""
        now = read_clock()
        return [n for n, since in self._since.items() if now - since > seconds]
