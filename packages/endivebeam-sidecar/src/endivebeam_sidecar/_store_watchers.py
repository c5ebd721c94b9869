"""The few nodes that read the store for the others.

Each node computes them from the records that it knows. Every call to the store costs,
and its rates are shared by the whole fleet, so their number grows more slowly than
the fleet.
"""

from endivebeam_fleet import rank_steady_nodes
from endivebeam_model import Member, NodeId

from ._state import FleetKnowledge
from ._unreachable_nodes import Reach

MIN_WATCHERS = 3
# One node in so many is a watcher, beyond the least number.
NODES_PER_WATCHER = 50
WATCHERS_KEY = "watchers"


class Watchers:
    """The nodes that read the store, first those that have run for longest."""

    def __init__(self, *, knowledge: FleetKnowledge, reach: Reach) -> None:
        self._knowledge = knowledge
        self._reach = reach
        self._ranked: list[NodeId] = []
        self._version = -1

    def includes_own(self) -> bool:
        """Return whether this node is one of them."""
        return self._knowledge.own.node_id in self.ids()

    def is_first(self) -> bool:
        """Return whether this node is the first of them."""
        return self.ids()[:1] == [self._knowledge.own.node_id]

    def ids(self) -> list[NodeId]:
        """Return the watchers that this node can reach, in their order."""
        directory = self._knowledge.directory
        if directory.version != self._version:
            self._version = directory.version
            self._ranked = rank_steady_nodes(WATCHERS_KEY, directory.live())
        count = max(MIN_WATCHERS, len(self._ranked) // NODES_PER_WATCHER)
        found = []
        for node_id in self._ranked:
            if not self._reach.is_lost(node_id):
                found.append(node_id)
            if len(found) == count:
                break
        return found

    def others(self) -> list[Member]:
        """Return the records of the watchers other than this node."""
        own = self._knowledge.own.node_id
        known = [self._knowledge.directory.find(n) for n in self.ids() if n != own]
        return [member for member in known if member is not None]
