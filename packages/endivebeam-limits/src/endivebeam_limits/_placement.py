"""Which share an account belongs to and which node should hold a share."""

import hashlib
from collections.abc import Iterable, Sequence

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

    Rendezvous hashing over the live nodes of the slot's domain, or over all
    live nodes when that domain has none: a node that joins or leaves moves
    only the shares that it gains or held.
    """
    ids = _pool(share, layout, list(live))
    return sorted(ids, key=lambda node_id: _weigh(share, node_id), reverse=True)


class PreferredHolders:
    """The preferred holder of shares, kept up to date as members change.

    Equal to the first of ``rank_holders``. One node that joins or leaves costs
    one hash per share that it can hold, not one per share and node.
    """

    def __init__(self, *, layout: ShareLayout) -> None:
        self._layout = layout
        self._live: dict[NodeId, DomainName] = {}
        self._best: dict[ShareId, NodeId] = {}

    def update(self, live: Iterable[Candidate]) -> None:
        """Take the live nodes that can hold shares."""
        new = {c.node_id: c.domain for c in live}
        old, self._live = self._live, new
        if new == old:
            return
        filled = set(old.values()) ^ set(new.values())
        joined = [(n, d) for n, d in new.items() if old.get(n) != d]
        left = {n for n, d in old.items() if new.get(n) != d}
        for share, best in list(self._best.items()):
            domain = self._layout.domains[share.slot]
            if domain in filled or best in left:
                del self._best[share]
                continue
            everywhere = domain not in new.values()
            ids = [n for n, d in joined if everywhere or d == domain]
            self._best[share] = max([best, *ids], key=lambda n: _weigh(share, n))

    def get(self, share: ShareId) -> NodeId | None:
        """Return the preferred holder of a share, None when no node is live."""
        if share not in self._best:
            live = [Candidate(n, d) for n, d in self._live.items()]
            ids = _pool(share, self._layout, live)
            if not ids:
                return None
            self._best[share] = max(ids, key=lambda n: _weigh(share, n))
        return self._best[share]

    def has_nodes(self, domain: DomainName) -> bool:
        """Return whether a domain has a live node."""
        return domain in self._live.values()


def _pool(
    share: ShareId, layout: ShareLayout, live: Sequence[Candidate]
) -> Sequence[NodeId]:
    domain = layout.domains[share.slot]
    local = [c.node_id for c in live if c.domain == domain]
    return local or [c.node_id for c in live]


def _weigh(share: ShareId, node_id: NodeId) -> int:
    return _hash(f"{share.group}/{share.slot}/{node_id}")


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
