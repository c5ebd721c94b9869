"""Hash rings of the live nodes, and the successors to which a node links."""

from bisect import bisect_left, bisect_right, insort

from endivebeam_model import DomainName, Member, NodeId, hash64

DOMAIN_RINGS = 4
FLEET_RING = DOMAIN_RINGS
MIN_LINKS = 3


class Ring:
    """Nodes ordered by a hash that depends on the ring number."""

    def __init__(self, *, number: int) -> None:
        self._number = number
        self._positions: list[tuple[int, NodeId]] = []

    def __len__(self) -> int:
        return len(self._positions)

    def add(self, node_id: NodeId) -> None:
        """Add a node that is not in the ring."""
        insort(self._positions, self._position(node_id))

    def remove(self, node_id: NodeId) -> None:
        """Remove a node if it is in the ring."""
        position = self._position(node_id)
        index = bisect_left(self._positions, position)
        if index < len(self._positions) and self._positions[index] == position:
            del self._positions[index]

    def successor(self, node_id: NodeId, distance: int = 1) -> NodeId | None:
        """Return the node ``distance`` positions after a node; None without nodes."""
        if not self._positions:
            return None
        start = bisect_right(self._positions, self._position(node_id))
        return self._positions[(start + distance - 1) % len(self._positions)][1]

    def rank(self, node_id: NodeId) -> int:
        """Return the number of nodes before a node."""
        return bisect_left(self._positions, self._position(node_id))

    def first(self, count: int) -> list[NodeId]:
        """Return the first nodes of the ring."""
        return [node_id for _, node_id in self._positions[:count]]

    def _position(self, node_id: NodeId) -> tuple[int, NodeId]:
        return hash64(f"{self._number}/{node_id}".encode()), node_id


class Overlay:
    """Links between nodes, of which each node has a few at any size of the fleet.

    A node links to its successors in four rings of its domain and in one ring of the
    fleet, and to one node of another domain. The other domain is chosen by the node's
    rank in ring 0, so that the nodes of a domain together reach all other domains.
    """

    def __init__(self, *, domain: DomainName) -> None:
        self._domain = domain
        self._fleet_ring = Ring(number=FLEET_RING)
        # Ring 0 of each domain.
        self._domain_rings: dict[DomainName, Ring] = {}
        # The other rings of the own domain.
        self._own_rings = [Ring(number=number) for number in range(1, DOMAIN_RINGS)]
        self._domains: dict[NodeId, DomainName] = {}

    def add(self, member: Member) -> None:
        """Add a live node, or move it if its domain changed."""
        node_id = member.node_id
        if self._domains.get(node_id) == member.domain:
            return
        self.remove(node_id)
        self._domains[node_id] = member.domain
        for ring in self._rings_of(member.domain):
            ring.add(node_id)

    def remove(self, node_id: NodeId) -> None:
        """Remove a node that has left or is dead."""
        domain = self._domains.pop(node_id, None)
        if domain is None:
            return
        for ring in self._rings_of(domain):
            ring.remove(node_id)
        if not self._domain_rings[domain]:
            del self._domain_rings[domain]

    def __len__(self) -> int:
        return len(self._domains)

    @property
    def domains(self) -> list[DomainName]:
        """Domains with live nodes, sorted by name."""
        return sorted(self._domain_rings)

    def first(self, domain: DomainName, count: int) -> list[NodeId]:
        """Return the first live nodes of ring 0 of a domain."""
        ring = self._domain_rings.get(domain)
        return [] if ring is None else ring.first(count)

    def monitored(self, local: NodeId) -> list[NodeId]:
        """Return the successors inside the domain, which the node monitors."""
        own_ring = self._domain_rings.get(self._domain)
        if own_ring is None:
            return []
        candidates = [ring.successor(local) for ring in (own_ring, *self._own_rings)]
        return _distinct_peers(candidates, local)

    def links(self, local: NodeId) -> list[NodeId]:
        """Return all successors to which the node maintains streams."""
        candidates: list[NodeId | None] = [*self.monitored(local)]
        candidates.append(self._fleet_ring.successor(local))
        candidates.append(self._cross_domain_successor(local))
        links = _distinct_peers(candidates, local)
        distance = 2
        # A small domain has fewer distinct successors than rings. Further successors
        # in the fleet ring keep the overlay connected when one of them fails.
        while len(links) < MIN_LINKS and distance < len(self._fleet_ring):
            candidates.append(self._fleet_ring.successor(local, distance))
            links = _distinct_peers(candidates, local)
            distance += 1
        return links

    def _cross_domain_successor(self, local: NodeId) -> NodeId | None:
        others = [name for name in self.domains if name != self._domain]
        own_ring = self._domain_rings.get(self._domain)
        if not others or own_ring is None:
            return None
        offset = hash64(self._domain.encode())
        chosen = others[(offset + own_ring.rank(local)) % len(others)]
        return self._domain_rings[chosen].successor(local)

    def _rings_of(self, domain: DomainName) -> list[Ring]:
        domain_ring = self._domain_rings.setdefault(domain, Ring(number=0))
        own_rings = self._own_rings if domain == self._domain else []
        return [self._fleet_ring, domain_ring, *own_rings]


def _distinct_peers(candidates: list[NodeId | None], local: NodeId) -> list[NodeId]:
    present = [node_id for node_id in candidates if node_id is not None]
    return [node_id for node_id in dict.fromkeys(present) if node_id != local]
