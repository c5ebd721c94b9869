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


class FleetView(msgspec.Struct, frozen=True, kw_only=True):
    """Functions that membership provides.

    ``live`` lists the other live nodes, ``local`` returns the own record.
    ``contact_ages`` has the age of the latest contact with each domain,
    counted from before the heartbeat was sent; ``store_age`` is the age of the
    latest evidence that the store answered anyone. Ages are in seconds.
    """

    local: Callable[[], Member]
    live: Callable[[], Sequence[Member]]
    contact_ages: Callable[[], Mapping[DomainName, float]]
    store_age: Callable[[], float | None]

    def find(self, node_id: NodeId) -> Member | None:
        """Return the record of another live node."""
        for member in self.live():
            if member.node_id == node_id:
                return member
        return None

    def candidates(self) -> list[Candidate]:
        """Return the nodes that may hold shares, this one included."""
        return [
            Candidate(m.node_id, m.domain)
            for m in [*self.live(), self.local()]
            if m.state in _CANDIDATE_STATES
        ]
