"""The few nodes that watch the store on behalf of the others.

Each node computes them from the member records that it knows. The whole fleet shares
the store's rate limits, so the number of watchers grows more slowly than the fleet.
"""

from endivebeam_fleet import rank_by_incarnation
from endivebeam_model import Member, NodeId

from ._state import FleetState
from ._unreachable_nodes import UnreachableNodes

MIN_WATCHERS = 3
# One node in this many is a watcher, but at least MIN_WATCHERS.
NODES_PER_WATCHER = 50
# Key of the rendezvous hash that ranks the watchers.
WATCHERS_KEY = "watchers"


class StoreWatchers:
    """The nodes that watch the store; nodes that have not restarted rank first."""

    def __init__(self, *, fleet: FleetState, unreachable: UnreachableNodes) -> None:
        self._fleet = fleet
        self._unreachable = unreachable
        self._ranked: list[NodeId] = []
        self._directory_version = -1

    def includes_self(self) -> bool:
        """Return whether this node is a watcher."""
        return self._fleet.own.node_id in self.ids()

    def count(self) -> int:
        """Return the number of watchers that the fleet should have."""
        return max(MIN_WATCHERS, len(self._rank_all()) // NODES_PER_WATCHER)

    def own_rank(self) -> tuple[int, int]:
        """Return the rank of this node among the reachable nodes, and their number."""
        reachable = [n for n in self._rank_all() if not self._unreachable.includes(n)]
        own = self._fleet.own.node_id
        rank = reachable.index(own) if own in reachable else len(reachable)
        return rank, max(1, len(reachable))

    def is_first(self) -> bool:
        """Return whether this node is the first watcher."""
        return self.ids()[:1] == [self._fleet.own.node_id]

    def ids(self) -> list[NodeId]:
        """Return the reachable watchers in order."""
        count = self.count()
        found = []
        for node_id in self._rank_all():
            if not self._unreachable.includes(node_id):
                found.append(node_id)
            if len(found) == count:
                break
        return found

    def _rank_all(self) -> list[NodeId]:
        directory = self._fleet.directory
        if directory.version != self._directory_version:
            self._directory_version = directory.version
            self._ranked = rank_by_incarnation(WATCHERS_KEY, directory.live())
        return self._ranked

    def others(self) -> list[Member]:
        """Return the records of the watchers other than this node."""
        own = self._fleet.own.node_id
        known = [self._fleet.directory.find(n) for n in self.ids() if n != own]
        return [member for member in known if member is not None]
