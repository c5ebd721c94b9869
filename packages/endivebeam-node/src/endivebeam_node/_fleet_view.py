"""What the rate shares need to know of the fleet."""

from collections.abc import Awaitable, Callable, Mapping, Sequence

import msgspec

from endivebeam_limits import Candidate
from endivebeam_model import DomainName, Member, MemberState, NodeId
from endivebeam_wire import Reply, Request

_CANDIDATE_STATES = frozenset({MemberState.JOINING, MemberState.SERVING})

AskPeer = Callable[[Member, Callable[[int], Request]], Awaitable[Reply]]
"""Sends a request, built from its id, to a node and returns the reply.

Raises ``UnreachableError``, ``StreamLostError`` or ``StreamFullError``.
"""


class LiveCandidates(msgspec.Struct, frozen=True, kw_only=True):
    """Nodes of the own domain that may hold shares, and domains that have any."""

    nodes: set[NodeId]
    domains: set[DomainName]


class FleetView(msgspec.Struct, frozen=True, kw_only=True):
    """Functions that membership provides.

    ``live`` lists the other live nodes, ``find`` returns the record of one of
    them, ``local`` the own record.
    ``contact_ages`` has the age of the latest contact with each domain,
    counted from before the heartbeat was sent; ``store_age`` is the age of the
    latest evidence that the store answered anyone. Ages are in seconds.
    """

    local: Callable[[], Member]
    live: Callable[[], Sequence[Member]]
    find: Callable[[NodeId], Member | None]
    contact_ages: Callable[[], Mapping[DomainName, float]]
    store_age: Callable[[], float | None]

    def candidates(self) -> list[Candidate]:
        """Return the nodes that may hold shares, this one included."""
        return [
            Candidate(m.node_id, m.domain)
            for m in [*self.live(), self.local()]
            if m.state in _CANDIDATE_STATES
        ]

    def live_candidates(self) -> LiveCandidates:
        """Return the candidates of the own domain and the domains with any."""
        local = self.local()
        nodes: set[NodeId] = set()
        domains: set[DomainName] = set()
        for member in [*self.live(), local]:
            if member.state in _CANDIDATE_STATES:
                domains.add(member.domain)
                if member.domain == local.domain:
                    nodes.add(member.node_id)
        return LiveCandidates(nodes=nodes, domains=domains)
