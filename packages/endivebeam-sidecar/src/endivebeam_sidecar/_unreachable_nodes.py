"""Nodes that this node cannot reach at present."""

from endivebeam_model import NodeId

from ._clock import read_clock


class UnreachableNodes:
    """The unreachable nodes and since when; times are those of ``read_clock``."""

    def __init__(self) -> None:
        self._since: dict[NodeId, float] = {}

    def add(self, node_id: NodeId) -> None:
        """Add a node that could not be reached or stopped replying."""
        self._since.setdefault(node_id, read_clock())

    def remove(self, node_id: NodeId) -> None:
        """Remove a node that has returned or from which something was received."""
        self._since.pop(node_id, None)

    def includes(self, node_id: NodeId) -> bool:
        """Return whether a node is unreachable."""
        return node_id in self._since

    def longer_than(self, seconds: float) -> list[NodeId]:
        """Return the nodes that have been unreachable for longer than ``seconds``."""
        now = read_clock()
        return [n for n, since in self._since.items() if now - since > seconds]
