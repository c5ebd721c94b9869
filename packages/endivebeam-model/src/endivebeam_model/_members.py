"""Member records, which each node stores about all nodes."""

from typing import Annotated

import msgspec

from ._ids import DomainName, NodeId, RegionName, ServiceName
from ._states import MemberState

# Far below the integers that messages can carry, as nodes raise received ones.
MAX_COUNTER = 1 << 62
Counter = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNTER)]


class Address(msgspec.Struct, frozen=True, array_like=True):
    """IP address and TCP port."""

    host: str
    port: Annotated[int, msgspec.Meta(ge=0, le=65535)]


class Member(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One node with the target beside it.

    The pair (``incarnation``, ``sequence``) orders versions of a record; only
    the node itself raises its incarnation. ``service`` is empty for a node
    whose target has not announced itself.
    """

    node_id: NodeId
    incarnation: Counter
    sequence: Counter
    address: Address
    region: RegionName
    domain: DomainName
    service: ServiceName
    slots: Counter
    state: MemberState


class AgedMember(msgspec.Struct, frozen=True, array_like=True):
    """A member record and the seconds since its node last changed or refreshed it.

    The age is sent with the record, so that all nodes remove an old record at about
    the same time without comparing wall clocks.
    """

    member: Member
    age_s: float
