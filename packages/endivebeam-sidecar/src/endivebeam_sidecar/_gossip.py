"""Exchange of member records, and of the configuration's version and age.

A node that does not read the store itself, that the store turns away or that has just
restarted, gets from its peers what they know. Each exchange is a question and its
answer, so that the age of the evidence is counted from before the question and never
too young.
"""

import random

import anyio
from loguru import logger

from endivebeam_model import ConfigVersion, Member, NodeId
from endivebeam_wire import SyncReply, SyncRequest

from ._clock import read_clock
from ._config_transfer import ConfigSpread
from ._links import LinkLostError, LinkNotOpenError, Links
from ._state import FleetKnowledge
from ._store_watchers import Watchers
from ._unreachable_nodes import Reach

PERIOD_S = 0.5
ASK_TIMEOUT_S = 0.6
# Peers that are told at once of a change of this node's record or configuration.
MAX_TOLD = 64
# Part of the exchanges that go to any node instead of one that reads the store.
RANDOM_PART = 0.3
# Evidence that is older than this is as good as none.
MAX_AGE_S = 3600.0
# Part of the exchanges with any node that may go to one that is out of reach.
LOST_PART = 0.1


class Gossip:
    """Asks peers for what is newer, and answers such questions."""

    def __init__(
        self,
        *,
        knowledge: FleetKnowledge,
        links: Links,
        reach: Reach,
        watchers: Watchers,
    ) -> None:
        self._knowledge = knowledge
        self._links = links
        self._reach = reach
        self._watchers = watchers
        self._told = anyio.Event()
        self._next: NodeId | None = None
        self._asks_next = anyio.Event()
        self.spread = ConfigSpread(
            knowledge=knowledge, links=links, on_adopted=self._ask_soon
        )

    async def run(self) -> None:
        """Exchange with peers until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._tell)
            while True:
                member = self._pick()
                if member is not None:
                    tasks.start_soon(self._exchange, member)
                self._next = None
                with anyio.move_on_after(PERIOD_S * random.uniform(0.8, 1.2)):
                    await self._asks_next.wait()
                self._asks_next = anyio.Event()

    def tell_soon(self) -> None:
        """Tell peers of a change of this node's record or configuration."""
        self._told.set()

    async def tell_all(self) -> None:
        """Tell peers of this node's state and wait for their answers."""
        others = self._others()
        async with anyio.create_task_group() as tasks:
            for member in random.sample(others, min(MAX_TOLD, len(others))):
                tasks.start_soon(self._exchange, member)

    def answer(self, node_id: NodeId, ask: SyncRequest) -> SyncReply:
        """Return what is newer here than at the asking node."""
        for member in ask.members:
            self._knowledge.adopt_member(member)
        knowledge = self._knowledge
        version = knowledge.config_version
        self.spread.hear(node_id, ask.config_version)
        digest = knowledge.directory.digest()
        members: list[Member] = []
        if ask.versions:
            members = knowledge.directory.newer_than(ask.versions)
        else:
            for member in ask.members:
                known = knowledge.directory.find(member.node_id)
                if known is not None and known != member:
                    members.append(known)
        return SyncReply(
            request_id=ask.request_id,
            config_version=ConfigVersion(version),
            config_age_ms=self._config_age_ms()
            if version == ask.config_version
            else -1,
            directory_digest=digest,
            members=tuple(members),
        )

    def _config_age_ms(self) -> int:
        age_s = self._knowledge.freshness.age_s(read_clock())
        return int(age_s * 1000) + 1 if age_s < MAX_AGE_S else -1

    def _ask_soon(self, node_id: NodeId) -> None:
        """Begin an exchange with a node at once, for the evidence that it has."""
        self._next = node_id
        self._asks_next.set()

    async def _tell(self) -> None:
        while True:
            await self._told.wait()
            self._told = anyio.Event()
            await self.tell_all()

    def _pick(self) -> Member | None:
        """Return the next node to ask: mostly one that reads the store."""
        if self._next is not None:
            return self._knowledge.directory.find(self._next)
        watchers = self._watchers.others()
        asks_any = self._watchers.includes_own() or random.random() < RANDOM_PART
        if watchers and not asks_any:
            return random.choice(watchers)
        others = self._others()
        if random.random() >= LOST_PART:
            others = [m for m in others if not self._reach.is_lost(m.node_id)] or others
        return random.choice(others) if others else None

    def _others(self) -> list[Member]:
        own = self._knowledge.own.node_id
        return [m for m in self._knowledge.directory.live() if m.node_id != own]

    async def _exchange(self, member: Member) -> None:
        try:
            with anyio.fail_after(ASK_TIMEOUT_S):
                digest = await self._ask(member, {})
                if digest != self._knowledge.directory.digest():
                    await self._ask(member, self._knowledge.directory.versions())
            self._knowledge.knows_members = True
        except (LinkNotOpenError, LinkLostError, TimeoutError) as error:
            logger.bind(peer=member.node_id, reason=str(error)).debug(
                "peers: An exchange of states failed."
            )

    async def _ask(
        self, member: Member, versions: dict[NodeId, tuple[int, int]]
    ) -> int:
        knowledge = self._knowledge
        asked_at = read_clock()

        def make_request(request_id: int) -> SyncRequest:
            return SyncRequest(
                request_id=request_id,
                config_version=ConfigVersion(knowledge.config_version),
                directory_digest=knowledge.directory.digest(),
                versions=versions,
                members=(knowledge.own,),
            )

        reply = await self._links.ask(member, make_request)
        assert isinstance(reply, SyncReply)
        self._adopt(member.node_id, reply, asked_at)
        return reply.directory_digest

    def _adopt(self, node_id: NodeId, state: SyncReply, asked_at: float) -> None:
        knowledge = self._knowledge
        for member in state.members:
            knowledge.adopt_member(member)
        self.spread.hear(node_id, state.config_version)
        if state.config_age_ms >= 0 and (
            state.config_version == knowledge.config_version
        ):
            knowledge.freshness.note_peer(
                asked_at=asked_at, age_s=state.config_age_ms / 1000
            )
