"""Interface of the platform's store that a node uses."""

from typing import Protocol

import msgspec

from endivebeam_fleet import FleetConfig
from endivebeam_model import Member, NodeId, StorePosition


class StoreUnavailableError(Exception):
    """The store did not respond or rejected the request."""


class HistoryLostError(StoreUnavailableError):
    """The store no longer has the changes that follow the given position.

    It has discarded them, or it came back from an older copy since and gives out
    the versions after the position again.
    """


class ConfigReadResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of reading or watching the configuration.

    ``config`` is None when the response contains none or one that cannot be decoded;
    ``is_newest`` is false in the second case. ``position`` is where the next watch
    continues. ``store_now`` is the time of the store's monotonic clock in seconds.
    """

    config: FleetConfig | None
    position: StorePosition
    store_now: float
    is_newest: bool = True


class StoredMember(msgspec.Struct, frozen=True, kw_only=True):
    """A member's row and the position at which it was written."""

    node_id: NodeId
    member: Member
    position: StorePosition


class MemberReadResult(msgspec.Struct, frozen=True, kw_only=True):
    """The rows of all members in the store, and where they were read."""

    position: StorePosition
    rows: tuple[StoredMember, ...]


class ControlStore(Protocol):
    """The platform's store as a node uses it.

    Every method raises ``StoreUnavailableError`` when the store does not respond.
    ``timeout_s`` limits the time for a response, in addition to that of a watch.
    A write without a response may have taken effect, or may do so later.
    """

    async def read_config(self, *, timeout_s: float) -> ConfigReadResult:
        """Return the newest configuration."""

    async def watch_config(
        self, position: StorePosition, *, wait_s: float, timeout_s: float
    ) -> ConfigReadResult:
        """Wait for a change of the configuration; may raise ``HistoryLostError``."""

    async def read_members(self) -> MemberReadResult:
        """Return the rows of all members."""

    async def write_member(self, member: Member) -> StorePosition:
        """Write this node's own row; return where it was written."""

    async def remove_member(self, node_id: NodeId, *, position: StorePosition) -> bool:
        """Remove a row if it still has the version of ``position``; return whether.

        The store doesn't compare the era: in a later one, another row may have it.
        """
