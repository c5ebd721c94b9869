"""Messages between the nodes of a fleet that calls through sidecars."""

from enum import Enum
from typing import Annotated

import msgspec

from endivebeam_model import (
    AccountId,
    ConfigVersion,
    Member,
    NodeId,
    Semantics,
    ServiceName,
)

from ._base import Body, Headers, PathText, PeerMessage, ShortText

RecordVersion = tuple[int, int]
CONFIG_PART_BYTES = 16 << 10
ConfigPartBytes = Annotated[bytes, msgspec.Meta(max_length=CONFIG_PART_BYTES)]
MAX_HOLDERS = 8


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """Calls that run at a target or wait for it, and how many may run.

    ``makes_calls`` says whether the target calls other services itself. ``pressure``
    tells from 0 to 1 how long the call waited here, or what the target's own calls
    meet at the services below if that is more.
    """

    running: int
    waiting: int
    limit: int
    makes_calls: bool = False
    pressure: float = 0.0


class ForwardOutcome(Enum):
    """How far a forwarded call got.

    ``ANSWERED``: the target's whole answer. ``REFUSED``: the node turned the
    call away before its target saw it. ``NOT_EXECUTED``: the target itself said
    that it did not run the call. ``UNKNOWN``: the call was sent and may have run.
    """

    ANSWERED = 0
    REFUSED = 1
    NOT_EXECUTED = 2
    UNKNOWN = 3


class ForwardRequest(PeerMessage, frozen=True, kw_only=True, tag=60):
    """A call for the target beside the receiving node.

    ``call_id`` identifies the caller's attempt. ``budget_ms`` is the time left
    until the final answer is due. ``internal`` calls are made by a target on
    behalf of a request that it runs; ``shed_order`` tells of others from 0 (last)
    to 1 (first) when they are shed.
    """

    request_id: int
    call_id: ShortText
    service: ServiceName
    method: ShortText
    path: PathText
    headers: Headers
    body: Body
    account: AccountId
    semantics: Semantics
    rank: float
    internal: bool
    shed_order: float
    budget_ms: int
    objective_ms: int


class ForwardReply(PeerMessage, frozen=True, kw_only=True, tag=61):
    """What became of a forwarded call.

    ``retry_after_ms`` estimates when the target has room, ``reason`` is for
    logs, ``leaving`` says that the node takes no more calls.
    """

    request_id: int
    outcome: ForwardOutcome
    load: TargetLoad
    status: int = 0
    headers: Headers = []
    body: Body = b""
    reason: ShortText = ""
    retry_after_ms: int = 0
    leaving: bool = False


class SyncRequest(PeerMessage, frozen=True, kw_only=True, tag=62):
    """Compares what two nodes know; ``versions`` is empty unless digests differ."""

    request_id: int
    config_version: ConfigVersion
    directory_digest: int
    versions: dict[NodeId, RecordVersion] = {}
    members: tuple[Member, ...] = ()


class SyncReply(PeerMessage, frozen=True, kw_only=True, tag=63):
    """Answers with what is newer here.

    ``config_age_ms`` is the age of the evidence that ``config_version`` is the
    newest, -1 without evidence or when the asking node has an older version.
    """

    request_id: int
    config_version: ConfigVersion
    config_age_ms: int
    directory_digest: int
    members: tuple[Member, ...] = ()


class ConfigRequest(PeerMessage, frozen=True, kw_only=True, tag=66):
    """Asks for a part of the configuration that the other node has.

    ``version`` is that of the parts received so far, and ``offset`` their length; a
    transfer begins with an offset of 0.
    """

    request_id: int
    version: ConfigVersion
    offset: int


class ConfigReply(PeerMessage, frozen=True, kw_only=True, tag=67):
    """A part of an encoded configuration of ``total_bytes``.

    The part begins at ``offset``, which is 0 when the version asked for is not the
    newest any more. A node that serves too many others ``is_busy``, sends no part and
    names nodes that got the version lately.
    """

    request_id: int
    version: ConfigVersion
    offset: int
    total_bytes: int
    data: ConfigPartBytes = b""
    is_busy: bool = False
    holders: Annotated[tuple[NodeId, ...], msgspec.Meta(max_length=MAX_HOLDERS)] = ()


class TokenRequest(PeerMessage, frozen=True, kw_only=True, tag=64):
    """Renews the lease on this node's parts of all rates and asks for tokens.

    ``needs`` has for each account the tokens held, wanted and given back. A node that
    comes to a holder adds the ages and numbers of the tokens that it spent in the last
    ``memory_s`` seconds.
    ``ends_lease`` ends the lease instead.
    """

    request_id: int
    fleet_size: int
    needs: dict[AccountId, tuple[float, float, float]]
    ends_lease: bool = False
    memory_s: float = 0.0
    recent_spend: dict[AccountId, list[tuple[float, float]]] | None = None


class TokenReply(PeerMessage, frozen=True, kw_only=True, tag=65):
    """Tokens granted for each account; ``holds`` is false when refused.

    ``lent_parts`` is the part of all rates that is leased to the holder, which asks
    with ``wants_recent_spend`` what the node spent lately.
    """

    request_id: int
    holds: bool
    granted: dict[AccountId, float]
    lent_parts: float = 0.0
    wants_recent_spend: bool = False
