"""Membership information that rate limits use."""

from collections.abc import Awaitable, Callable, Mapping, Sequence

import msgspec

from endivebeam_limits import Candidate
from endivebeam_model import DomainName, Member, MemberState, NodeId
from endivebeam_wire import Reply, Request

_CANDIDATE_STATES = frozenset({MemberState.JOINING, MemberState.SERVING})

SendRequest = Callable[[Member, Callable[[int], Request]], Awaitable[Reply]]
"""Sends a request, built from its id, to a node and returns the reply.

Raises ``UnreachableError``, ``StreamLostError`` or ``StreamFullError``.
"""


class LiveCandidates(msgspec.Struct, frozen=True, kw_only=True):
    """Nodes of the local domain that may hold shares, and domains with such nodes."""

    nodes: set[NodeId]
    domains: set[DomainName]


class FleetView(msgspec.Struct, frozen=True, kw_only=True):
    """Functions that membership provides.

    ``local`` returns the record of this node, ``live`` the records of the other
    live nodes, ``find`` the record of one of these. ``contact_ages`` returns the
    age of the latest contact with each domain, counted from before the heartbeat
    was sent. ``store_age`` returns the age of the latest evidence that the store
    answered any node. Ages are in seconds.
    """

    local: Callable[[], Member]
    live: Callable[[], Sequence[Member]]
    find: Callable[[NodeId], Member | None]
    contact_ages: Callable[[], Mapping[DomainName, float]]
    store_age: Callable[[], float | None]

    def candidates(self) -> list[Candidate]:
        """Return the nodes that may hold shares, including this node."""
        return [
            Candidate(m.node_id, m.domain)
            for m in [*self.live(), self.local()]
            if m.state in _CANDIDATE_STATES
        ]

    def live_candidates(self) -> LiveCandidates:
        """Return the candidates of the local domain and the domains with any."""
        local = self.local()
        nodes: set[NodeId] = set()
        domains: set[DomainName] = set()
        for member in [*self.live(), local]:
            if member.state in _CANDIDATE_STATES:
                domains.add(member.domain)
                if member.domain == local.domain:
                    nodes.add(member.node_id)
        return LiveCandidates(nodes=nodes, domains=domains)
