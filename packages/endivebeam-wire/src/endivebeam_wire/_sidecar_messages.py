"""Messages between the sidecar nodes of a fleet."""

from enum import Enum
from typing import Annotated

import msgspec

from endivebeam_model import (
    UNKNOWN_ERA,
    AccountId,
    ConfigVersion,
    Member,
    NodeId,
    Semantics,
    ServiceName,
    StoreEra,
)

from ._base import Body, PathText, PeerMessage, ShortText

# Incarnation and sequence of a member record.
RecordVersion = tuple[int, int]
CONFIG_PART_BYTES = 16 << 10
ConfigPartBytes = Annotated[bytes, msgspec.Meta(max_length=CONFIG_PART_BYTES)]
MAX_SOURCES = 8


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """Calls that run at a target or wait for it, and how many may run.

    ``makes_calls`` tells whether the target calls other services itself.
    ``pressure`` is from 0 to 1. It follows from the time that a call would wait here,
    or from the services that the target calls if their pressure is higher.
    """

    running: int
    waiting: int
    limit: int
    makes_calls: bool = False
    pressure: float = 0.0


class ForwardOutcome(Enum):
    """Outcome of a forwarded call.

    ``ANSWERED``: the target sent its complete response. ``REFUSED``: the node
    rejected the call before sending it to its target. ``NOT_EXECUTED``: the target
    itself reported that it did not run the call. ``UNKNOWN``: the call was sent and
    may have run.
    """

    ANSWERED = 0
    REFUSED = 1
    NOT_EXECUTED = 2
    UNKNOWN = 3


class ForwardRequest(PeerMessage, frozen=True, kw_only=True, tag=60):
    """A call for the target of the receiving node.

    ``encoded_fields`` has the header fields as they are sent on, each with its line
    end, so that no node between the caller and the target decodes them again.
    ``call_id`` identifies the caller's attempt. ``budget_ms`` is the time left
    until the final response is due. ``internal`` calls are made by a target while
    it runs a request. ``shed_order`` ranks the other calls from 0, shed last, to 1,
    shed first. A lower ``rank`` is more urgent. ``objective_ms`` is the latency
    objective of the route. ``send_id`` is unique to this send of an at-most-once call
    and 0 for other calls. ``admitted_part`` is the part of the requests like that of an
    internal call that was admitted where they entered.
    """

    request_id: int
    call_id: ShortText
    service: ServiceName
    method: ShortText
    path: PathText
    encoded_fields: bytes
    body: Body
    account: AccountId
    semantics: Semantics
    rank: float
    internal: bool
    shed_order: float
    budget_ms: int
    objective_ms: int
    send_id: int = 0
    admitted_part: float = 1.0


class OutcomeQuery(PeerMessage, frozen=True, kw_only=True, tag=68):
    """Requests the outcome of an at-most-once call whose stream was lost.

    ``process_token`` is that of the process to which the call was sent
    ``sent_age_ms`` ago. The reply is a ``ForwardReply``, once the call has ended.
    """

    request_id: int
    send_id: int
    process_token: int
    sent_age_ms: int


class ForwardReply(PeerMessage, frozen=True, kw_only=True, tag=61):
    """Outcome of a forwarded call, with the target's header fields as they are sent on.

    ``retry_after_ms`` estimates when the target has free capacity, ``reason`` is for
    logs, and ``leaving`` means that the node accepts no more calls. ``shed`` means that
    services lack capacity that all targets of this service call.
    """

    request_id: int
    outcome: ForwardOutcome
    load: TargetLoad
    status: int = 0
    encoded_fields: bytes = b""
    body: Body = b""
    reason: ShortText = ""
    retry_after_ms: int = 0
    leaving: bool = False
    shed: bool = False


class SyncRequest(PeerMessage, frozen=True, kw_only=True, tag=62):
    """Compares the state of two nodes.

    ``versions`` has the versions of the sender's member records; it is empty unless
    the digests differ. ``config_age_ms`` is the age of the sender's evidence that
    ``config_version`` is the newest, -1 without evidence. The time that the request
    travels is unknown, so the receiver only learns that a reply to a request of its own
    may bring newer evidence. ``store_era`` is the highest era of the store that the
    sender knows.
    """

    request_id: int
    config_version: ConfigVersion
    directory_digest: int
    versions: dict[NodeId, RecordVersion] = {}
    members: tuple[Member, ...] = ()
    config_age_ms: int = -1
    store_era: StoreEra = UNKNOWN_ERA


class SyncReply(PeerMessage, frozen=True, kw_only=True, tag=63):
    """Reply to a ``SyncRequest``, with the member records that are newer here.

    ``config_age_ms`` is the age of the evidence that ``config_version`` is the
    newest, -1 without evidence or when the requesting node has an older version.
    ``config_reader`` is the node that has this evidence from the store, or empty, and
    ``config_era`` the era of the store then; an earlier version of a node sends none.
    ``store_era`` is the highest era of the store that the sender knows.
    ``is_informed`` is unset while the sender has just started and has not heard of the
    versions that the other nodes know, or not received the newest of them.
    """

    request_id: int
    config_version: ConfigVersion
    config_age_ms: int
    directory_digest: int
    members: tuple[Member, ...] = ()
    config_reader: NodeId = NodeId("")
    config_era: StoreEra = UNKNOWN_ERA
    store_era: StoreEra = UNKNOWN_ERA
    is_informed: bool = True


class ConfigRequest(PeerMessage, frozen=True, kw_only=True, tag=66):
    """Requests a part of the encoded configuration of the other node.

    ``version`` is the version of the parts received so far and ``offset`` their
    length in bytes; a transfer begins with an offset of 0.
    """

    request_id: int
    version: ConfigVersion
    offset: int


class ConfigReply(PeerMessage, frozen=True, kw_only=True, tag=67):
    """A part of an encoded configuration of ``total_bytes``.

    The part begins at ``offset``, which is 0 when the requested version is no longer
    the newest. A node that already serves too many others sets ``is_busy``, sends no
    part and lists in ``sources`` nodes that received the version recently.
    """

    request_id: int
    version: ConfigVersion
    offset: int
    total_bytes: int
    data: ConfigPartBytes = b""
    is_busy: bool = False
    sources: Annotated[tuple[NodeId, ...], msgspec.Meta(max_length=MAX_SOURCES)] = ()


class TokenRequest(PeerMessage, frozen=True, kw_only=True, tag=64):
    """Renews the lease of this node's parts of all allowances and requests tokens.

    ``needs`` has the tokens held, wanted and returned of each account.
    ``recent_spend`` has the ages and numbers of the tokens that the node spent in
    the last ``memory_s`` seconds; it is sent at the start of a lease and when the
    holder requests it. ``ends_lease`` ends the lease instead.
    """

    request_id: int
    fleet_size: int
    needs: dict[AccountId, tuple[float, float, float]]
    ends_lease: bool = False
    memory_s: float = 0.0
    recent_spend: dict[AccountId, list[tuple[float, float]]] | None = None


class TokenReply(PeerMessage, frozen=True, kw_only=True, tag=65):
    """Tokens granted for each account.

    ``accepted`` is false when the lease is rejected or ended. ``lent_parts`` is the
    fraction of each allowance that is leased to the holder. With
    ``wants_recent_spend`` the holder requests a report of recent spending.
    """

    request_id: int
    accepted: bool
    granted: dict[AccountId, float]
    lent_parts: float = 0.0
    wants_recent_spend: bool = False
