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
    domain = layout.domains[share.slot]
    nodes = list(live)
    local = [c.node_id for c in nodes if c.domain == domain]
    ids = local or [c.node_id for c in nodes]
    salt = f"{share.group}/{share.slot}/"
    return sorted(ids, key=lambda node_id: _hash(salt + node_id), reverse=True)


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
