"""Synchronization of member records and of the configuration's version and age.

A node that does not read the store, that the store rejects or that has just restarted
receives this state from its peers. Each synchronization is a request and its reply:
the age of the evidence counts from before the request and is never underestimated.
"""

import random

import anyio
from loguru import logger

from endivebeam_fleet import PropagationTimes
from endivebeam_model import ConfigVersion, Member, NodeId
from endivebeam_wire import SyncReply, SyncRequest

from ._clock import read_clock
from ._config_transfer import ConfigTransfer
from ._links import LinkLostError, LinkNotOpenError, Links
from ._signal import Signal
from ._state import FleetState
from ._store_eras import StoreEras
from ._store_watchers import StoreWatchers
from ._unreachable_nodes import UnreachableNodes

SYNC_TIMEOUT_S = 0.6
# Peers to which a change of this node's record or configuration is sent at once.
MAX_PUSH_PEERS = 64
# Probability of synchronizing with any node instead of one that watches the store.
ANY_PEER_PROBABILITY = 0.3
# Older evidence counts as none.
MAX_EVIDENCE_AGE_S = 3600.0
# Probability that an unreachable node may be picked among all nodes.
UNREACHABLE_PROBABILITY = 0.1


class Gossip:
    """Requests newer state from peers and replies to such requests."""

    def __init__(
        self,
        *,
        fleet: FleetState,
        links: Links,
        unreachable: UnreachableNodes,
        watchers: StoreWatchers,
        times: PropagationTimes,
        eras: StoreEras,
    ) -> None:
        self._fleet = fleet
        self._links = links
        self._unreachable = unreachable
        self._watchers = watchers
        self._times = times
        self._eras = eras
        self._push_wanted = anyio.Event()
        self._next_peer: NodeId | None = None
        self._sync_wanted = Signal()
        self.config_transfer = ConfigTransfer(
            fleet=fleet, links=links, on_adopted=self._sync_soon
        )

    async def run(self) -> None:
        """Synchronize with peers until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._push_changes)
            while True:
                member = self._pick_peer()
                if member is not None:
                    tasks.start_soon(self._sync_with, member)
                self._next_peer = None
                period_s = self._times.sync_period_s * random.uniform(0.8, 1.2)
                await self._sync_wanted.wait(period_s)
                self._sync_wanted = Signal()

    def push_soon(self) -> None:
        """Send a change of this node's record or configuration to peers soon."""
        self._push_wanted.set()

    def sync_soon(self) -> None:
        """Synchronize with a peer at once."""
        self._sync_wanted.set()

    async def push(self) -> None:
        """Synchronize with random peers at once and wait for their replies."""
        others = self._others()
        async with anyio.create_task_group() as tasks:
            for member in random.sample(others, min(MAX_PUSH_PEERS, len(others))):
                tasks.start_soon(self._sync_with, member)

    def handle_request(self, node_id: NodeId, request: SyncRequest) -> SyncReply:
        """Return the state that is newer here than at the requesting node."""
        for member in request.members:
            self._fleet.adopt_member(member)
        fleet = self._fleet
        version = fleet.config_version
        self._eras.record(request.store_era)
        self.config_transfer.record_peer_version(node_id, request.config_version)
        if request.config_version == version and request.config_age_ms >= 0:
            self._consider_evidence(node_id, request.config_age_ms / 1000)
        digest = fleet.directory.digest()
        members: list[Member] = []
        if request.versions:
            members = fleet.directory.newer_than(request.versions)
        else:
            for member in request.members:
                known = fleet.directory.find(member.node_id)
                if known is not None and known != member:
                    members.append(known)
        return SyncReply(
            request_id=request.request_id,
            config_version=ConfigVersion(version),
            config_age_ms=self._config_age_ms()
            if version == request.config_version
            else -1,
            directory_digest=digest,
            members=tuple(members),
            config_reader=fleet.freshness.reader or NodeId(""),
            config_era=fleet.freshness.era,
            store_era=self._eras.current,
            is_informed=fleet.is_informed,
        )

    def _consider_evidence(self, node_id: NodeId, age_s: float) -> None:
        """Synchronize with a node at once if it has newer evidence than this one."""
        own_age_s = self._fleet.freshness.age_s(read_clock())
        is_old = own_age_s > self._times.first_takeover_s / 2
        if is_old and age_s + self._times.watch_s < own_age_s:
            self._sync_soon(node_id)

    def _config_age_ms(self) -> int:
        age_s = self._fleet.freshness.age_s(read_clock())
        return int(age_s * 1000) + 1 if age_s < MAX_EVIDENCE_AGE_S else -1

    def _sync_soon(self, node_id: NodeId) -> None:
        """Synchronize with a node at once to receive its evidence."""
        self._next_peer = node_id
        self._sync_wanted.set()

    async def _push_changes(self) -> None:
        while True:
            await self._push_wanted.wait()
            self._push_wanted = anyio.Event()
            await self.push()

    def _pick_peer(self) -> Member | None:
        """Return the next peer, usually one that watches the store.

        With evidence that a watcher would have renewed, any node may have newer one.
        """
        if self._next_peer is not None:
            return self._fleet.directory.find(self._next_peer)
        watchers = self._watchers.others()
        if watchers and not self._picks_any_peer():
            return random.choice(watchers)
        others = self._others()
        if random.random() >= UNREACHABLE_PROBABILITY:
            others = [
                m for m in others if not self._unreachable.includes(m.node_id)
            ] or others
        return random.choice(others) if others else None

    def _picks_any_peer(self) -> bool:
        if self._watchers.includes_self():
            return True
        age_s = self._fleet.freshness.age_s(read_clock())
        if age_s > self._times.first_takeover_s:
            return True
        if age_s > self._times.first_takeover_s / 2:
            return False
        return random.random() < ANY_PEER_PROBABILITY

    def _others(self) -> list[Member]:
        own = self._fleet.own.node_id
        return [m for m in self._fleet.directory.live() if m.node_id != own]

    async def _sync_with(self, member: Member) -> None:
        try:
            with anyio.fail_after(SYNC_TIMEOUT_S):
                digest = await self._request_sync(member, {})
                if digest != self._fleet.directory.digest():
                    await self._request_sync(member, self._fleet.directory.versions())
            self._fleet.knows_members = True
        except (LinkNotOpenError, LinkLostError, TimeoutError) as error:
            logger.bind(peer=member.node_id, reason=str(error)).debug(
                "peers: A state synchronization failed."
            )

    async def _request_sync(
        self, member: Member, versions: dict[NodeId, tuple[int, int]]
    ) -> int:
        fleet = self._fleet
        requested_at = read_clock()

        def make_request(request_id: int) -> SyncRequest:
            return SyncRequest(
                request_id=request_id,
                config_version=ConfigVersion(fleet.config_version),
                directory_digest=fleet.directory.digest(),
                versions=versions,
                members=(fleet.own,),
                config_age_ms=self._config_age_ms(),
                store_era=self._eras.current,
            )

        reply = await self._links.send_request(member, make_request)
        assert isinstance(reply, SyncReply)
        self._apply_reply(member.node_id, reply, requested_at)
        return reply.directory_digest

    def _apply_reply(
        self, node_id: NodeId, reply: SyncReply, requested_at: float
    ) -> None:
        fleet = self._fleet
        for member in reply.members:
            fleet.adopt_member(member)
        self._eras.record(reply.store_era)
        self.config_transfer.record_peer_version(node_id, reply.config_version)
        fleet.heard_others.record_reply(node_id, is_informed=reply.is_informed)
        is_newest = reply.config_version == fleet.config_version == fleet.known_version
        if is_newest and reply.config_age_ms >= 0:
            self._record_evidence(node_id, reply, requested_at)

    def _record_evidence(
        self, node_id: NodeId, reply: SyncReply, requested_at: float
    ) -> None:
        freshness = self._fleet.freshness
        previous_era = freshness.era
        freshness.record_peer_age(
            requested_at=requested_at,
            age_s=reply.config_age_ms / 1000,
            reader=reply.config_reader or None,
            era=reply.config_era,
        )
        if freshness.era != previous_era:
            logger.bind(
                peer=node_id, era=freshness.era, previous_era=previous_era
            ).info("config: The evidence is from another era of the store.")
