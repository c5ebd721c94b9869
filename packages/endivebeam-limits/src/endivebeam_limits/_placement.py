"""Assignment of accounts to shares, and of shares to nodes."""

from collections.abc import Collection, Iterable, Sequence

import msgspec

from endivebeam_model import AccountId, DomainName, NodeId, hash64


class ShareId(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Group of accounts and slot that identify a share."""

    group: int
    slot: int


class Candidate(msgspec.Struct, frozen=True):
    """A live node that can hold shares."""

    node_id: NodeId
    domain: DomainName


class ShareLayout(msgspec.Struct, frozen=True, kw_only=True):
    """Number of groups and slots, which must be equal on all nodes.

    Each group of accounts has one slot per failure domain, in the order of
    ``domains``.
    """

    groups: int
    domains: tuple[DomainName, ...]

    @property
    def slots(self) -> int:
        """Number of shares per group."""
        return len(self.domains)

    def shares(self) -> list[ShareId]:
        """Return all shares."""
        slots = range(self.slots)
        return [ShareId(g, s) for g in range(self.groups) for s in slots]

    def group_of(self, account: AccountId) -> int:
        """Return the group of an account."""
        return hash64(f"account/{account}".encode()) % self.groups

    def order_slots(self, own: DomainName, group: int) -> list[int]:
        """Return all slots, the one of the node's own domain first.

        The others follow in rotation, which spreads the load of requests that the
        first slot declined. If the layout does not contain the own domain, the
        first slot depends on the group.
        """
        start = self.domains.index(own) if own in self.domains else group
        return [(start + i) % self.slots for i in range(self.slots)]


def rank_holders(
    share: ShareId, layout: ShareLayout, live: Iterable[Candidate]
) -> Sequence[NodeId]:
    """Return the nodes that should hold a share, the preferred one first.

    Uses rendezvous hashing over the live nodes of the slot's domain, so that a
    node that joins or leaves moves only the shares that it gains or held. If that
    domain has no live node, another domain is chosen by the same hashing.
    """
    domains: dict[DomainName, list[NodeId]] = {}
    for candidate in live:
        domains.setdefault(candidate.domain, []).append(candidate.node_id)
    domain = _choose_domain(share, layout, domains)
    ids = domains.get(domain, [])
    return sorted(ids, key=lambda node_id: _weight(share, node_id), reverse=True)


class PreferredHolders:
    """Preferred holders of the shares that the nodes of one domain should hold.

    ``get`` returns the node that ``rank_holders`` ranks first. A change of one node
    costs one hash per share instead of one per share and node.
    """

    def __init__(self, *, layout: ShareLayout, domain: DomainName) -> None:
        self._layout = layout
        self._domain = domain
        self._nodes: set[NodeId] = set()
        self._domains: set[DomainName] = set()
        self._best: dict[ShareId, NodeId] = {}

    def update(self, nodes: set[NodeId], domains: set[DomainName]) -> None:
        """Set the live nodes of the domain and the domains with live nodes."""
        self._domains = domains
        joined = nodes - self._nodes
        left = self._nodes - nodes
        self._nodes = nodes
        for share, best in list(self._best.items()):
            if best in left:
                del self._best[share]
            elif joined:
                self._best[share] = max(
                    [best, *joined], key=lambda n: _weight(share, n)
                )

    def covers(self, share: ShareId) -> bool:
        """Return whether a node of this domain should hold the share."""
        return _choose_domain(share, self._layout, self._domains) == self._domain

    def get(self, share: ShareId) -> NodeId | None:
        """Return the preferred holder, or None if the domain does not cover it."""
        if not self._nodes or not self.covers(share):
            return None
        if share not in self._best:
            self._best[share] = max(self._nodes, key=lambda n: _weight(share, n))
        return self._best[share]


def _choose_domain(
    share: ShareId, layout: ShareLayout, domains: Collection[DomainName]
) -> DomainName:
    own = layout.domains[share.slot]
    if own in domains or not domains:
        return own
    return max(domains, key=lambda domain: _weight(share, domain))


def _weight(share: ShareId, name: str) -> int:
    return hash64(f"{share.group}/{share.slot}/{name}".encode())
