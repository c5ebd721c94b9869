"""Which share an account belongs to and which node should hold a share."""

import hashlib
from collections.abc import Collection, Iterable, Sequence

import msgspec

from endivebeam_model import AccountId, DomainName, NodeId


class ShareId(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Group of accounts and slot of one share."""

    group: int
    slot: int


class Candidate(msgspec.Struct, frozen=True):
    """A live node that can hold shares."""

    node_id: NodeId
    domain: DomainName


class ShareLayout(msgspec.Struct, frozen=True, kw_only=True):
    """Numbers of groups and slots; must be equal on all nodes.

    There is one slot per failure domain, in the order of ``domains``.
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
        return _hash(f"account/{account}") % self.groups

    def order_slots(self, own: DomainName, group: int) -> list[int]:
        """Return all slots, the one of the own domain first.

        The others follow in an order that differs between groups, which
        spreads the load of requests that the first one declined.
        """
        start = self.domains.index(own) if own in self.domains else group
        return [(start + i) % self.slots for i in range(self.slots)]


def rank_holders(
    share: ShareId, layout: ShareLayout, live: Iterable[Candidate]
) -> Sequence[NodeId]:
    """Return the nodes that should hold a share, the preferred one first.

    Rendezvous hashing over the live nodes of the slot's domain: a node that
    joins or leaves moves only the shares that it gains or held. When that domain
    has no live node, another domain is chosen by the same hashing.
    """
    domains: dict[DomainName, list[NodeId]] = {}
    for candidate in live:
        domains.setdefault(candidate.domain, []).append(candidate.node_id)
    domain = _choose_domain(share, layout, domains)
    ids = domains.get(domain, [])
    return sorted(ids, key=lambda node_id: _weigh(share, node_id), reverse=True)


class PreferredHolders:
    """Preferred holders of the shares that the nodes of one domain should hold.

    Equal to the first of ``rank_holders``, but a node that joins or leaves costs
    one hash per share and not one per share and node.
    """

    def __init__(self, *, layout: ShareLayout, domain: DomainName) -> None:
        self._layout = layout
        self._domain = domain
        self._nodes: set[NodeId] = set()
        self._domains: set[DomainName] = set()
        self._best: dict[ShareId, NodeId] = {}

    def update(self, nodes: set[NodeId], domains: set[DomainName]) -> None:
        """Take the live nodes of the domain and the domains with live nodes."""
        self._domains = domains
        joined = nodes - self._nodes
        left = self._nodes - nodes
        self._nodes = nodes
        for share, best in list(self._best.items()):
            if best in left:
                del self._best[share]
            elif joined:
                self._best[share] = max([best, *joined], key=lambda n: _weigh(share, n))

    def covers(self, share: ShareId) -> bool:
        """Return whether nodes of this domain should hold a share."""
        return _choose_domain(share, self._layout, self._domains) == self._domain

    def get(self, share: ShareId) -> NodeId | None:
        """Return the preferred holder of a share that is covered."""
        if not self._nodes or not self.covers(share):
            return None
        if share not in self._best:
            self._best[share] = max(self._nodes, key=lambda n: _weigh(share, n))
        return self._best[share]


def _choose_domain(
    share: ShareId, layout: ShareLayout, domains: Collection[DomainName]
) -> DomainName:
    own = layout.domains[share.slot]
    if own in domains or not domains:
        return own
    return max(domains, key=lambda domain: _weigh(share, domain))


def _weigh(share: ShareId, name: str) -> int:
    return _hash(f"{share.group}/{share.slot}/{name}")


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
