"""Rings over the live nodes and the successors that a node links to."""

from bisect import bisect_left, bisect_right, insort

from endivebeam_model import DomainName, Member, NodeId

from ._tree import hash64

DOMAIN_RINGS = 4
FLEET_RING = DOMAIN_RINGS
MIN_LINKS = 3


class Ring:
    """Nodes in the order of a hash that differs from ring to ring."""

    def __init__(self, *, number: int) -> None:
        self._number = number
        self._places: list[tuple[int, NodeId]] = []

    def __len__(self) -> int:
        return len(self._places)

    def add(self, node_id: NodeId) -> None:
        """Add a node that is not in the ring."""
        insort(self._places, self._place(node_id))

    def remove(self, node_id: NodeId) -> None:
        """Remove a node if it is in the ring."""
        place = self._place(node_id)
        index = bisect_left(self._places, place)
        if index < len(self._places) and self._places[index] == place:
            del self._places[index]

    def successor(self, node_id: NodeId, distance: int = 1) -> NodeId | None:
        """Return the node some places after another one; None without nodes."""
        if not self._places:
            return None
        start = bisect_right(self._places, self._place(node_id))
        return self._places[(start + distance - 1) % len(self._places)][1]

    def rank(self, node_id: NodeId) -> int:
        """Return how many nodes come before a node."""
        return bisect_left(self._places, self._place(node_id))

    def first(self, count: int) -> list[NodeId]:
        """Return the first nodes of the ring."""
        return [node_id for _, node_id in self._places[:count]]

    def _place(self, node_id: NodeId) -> tuple[int, NodeId]:
        return hash64(f"{self._number}/{node_id}".encode()), node_id


class Overlay:
    """The links of the nodes of a domain: a few, whatever the size of the fleet.

    Four rings inside the domain, one over the fleet, and one link to another
    domain. The other domain follows from the node's rank in ring 0, so that
    the nodes of a domain together reach all other domains.
    """

    def __init__(self, *, domain: DomainName) -> None:
        self._domain = domain
        self._fleet = Ring(number=FLEET_RING)
        self._first: dict[DomainName, Ring] = {}
        self._own = [Ring(number=number) for number in range(1, DOMAIN_RINGS)]
        self._domains: dict[NodeId, DomainName] = {}

    def add(self, member: Member) -> None:
        """Add a live node, or move it to the domain of its new record."""
        node_id = member.node_id
        if self._domains.get(node_id) == member.domain:
            return
        self.remove(node_id)
        self._domains[node_id] = member.domain
        for ring in self._rings_of(member.domain):
            ring.add(node_id)

    def remove(self, node_id: NodeId) -> None:
        """Remove a node that is gone."""
        domain = self._domains.pop(node_id, None)
        if domain is None:
            return
        for ring in self._rings_of(domain):
            ring.remove(node_id)
        if not self._first[domain]:
            del self._first[domain]

    def __len__(self) -> int:
        return len(self._domains)

    @property
    def domains(self) -> list[DomainName]:
        """Domains with live nodes, in order of name."""
        return sorted(self._first)

    def first(self, domain: DomainName, count: int) -> list[NodeId]:
        """Return the first live nodes of ring 0 of a domain."""
        ring = self._first.get(domain)
        return [] if ring is None else ring.first(count)

    def monitored(self, local: NodeId) -> list[NodeId]:
        """Return the successors inside the domain, which a node monitors."""
        own = self._first.get(self._domain)
        if own is None:
            return []
        found = [ring.successor(local) for ring in (own, *self._own)]
        return _distinct(found, local)

    def links(self, local: NodeId) -> list[NodeId]:
        """Return all successors to which a node keeps streams."""
        found: list[NodeId | None] = [*self.monitored(local)]
        found.append(self._fleet.successor(local))
        found.append(self._other_domain(local))
        links = _distinct(found, local)
        distance = 2
        # A small domain has fewer distinct successors than rings; more nodes of
        # the fleet ring keep the overlay connected when one of them fails.
        while len(links) < MIN_LINKS and distance < len(self._fleet):
            found.append(self._fleet.successor(local, distance))
            links = _distinct(found, local)
            distance += 1
        return links

    def _other_domain(self, local: NodeId) -> NodeId | None:
        others = [name for name in self.domains if name != self._domain]
        own = self._first.get(self._domain)
        if not others or own is None:
            return None
        offset = hash64(self._domain.encode())
        chosen = others[(offset + own.rank(local)) % len(others)]
        return self._first[chosen].successor(local)

    def _rings_of(self, domain: DomainName) -> list[Ring]:
        first = self._first.setdefault(domain, Ring(number=0))
        own = self._own if domain == self._domain else []
        return [self._fleet, first, *own]


def _distinct(found: list[NodeId | None], local: NodeId) -> list[NodeId]:
    named = [node_id for node_id in found if node_id is not None]
    return [node_id for node_id in dict.fromkeys(named) if node_id != local]
