"""Shares that this node holds: grants, acquisition and handover."""

import itertools
import random
from collections.abc import Callable, Mapping, Sequence

import anyio
from loguru import logger
from returns.pipeline import is_successful
from returns.result import Failure, Result

from endivebeam_limits import (
    BucketState,
    HeldShare,
    HolderLease,
    LeaseTimes,
    Reachability,
    ShareId,
    ShareLayout,
    TokenReport,
)
from endivebeam_model import (
    AccountId,
    Contract,
    GrantStatus,
    Member,
    NodeId,
    OperationId,
)
from endivebeam_store import (
    Committed,
    ShareConflict,
    ShareRecord,
    ShareWrite,
    Table,
    Unavailable,
    write_shares,
)
from endivebeam_wire import (
    BucketLevel,
    FrameError,
    GrantReply,
    GrantRequest,
    HandoverReply,
    HandoverRequest,
    StreamFullError,
    StreamLostError,
)

from ._fleet_view import AskPeer, FleetView
from ._peers import UnreachableError
from ._relays import relay_commit

HANDOVER_TIMEOUT_S = 5.0

# Evidence younger than this means that the store answers other nodes, so that
# writing through one of them can help.
RELAY_EVIDENCE_S = 5.0

# The view of contacts is computed at most this often, because each grant
# needs it.
VIEW_AGE_S = 0.1

# Grants carry half of the process token, which is enough to tell a process from
# the one before it at the same address.
GRANT_TOKEN_MASK = 0xFFFFFFFF


class ShareHolder:
    """Shares in the memory of this node.

    ``token`` is random per process start and identifies the holder in rows and
    grants, because a restarted node has the same id and incarnation.
    ``known`` names the holders of other shares that this node has seen. No
    share is held until ``layout_confirmed``, because a holder that divides
    contracts by another number of slots would grant too much.
    """

    def __init__(
        self,
        *,
        layout: ShareLayout,
        times: LeaseTimes,
        view: FleetView,
        table: Table,
        ask: AskPeer,
        contracts: Callable[[], Mapping[AccountId, Contract]],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.layout = layout
        self.times = times
        self.view = view
        self.clock = clock
        self.token = rng.getrandbits(62) + 1
        self.grant_token = self.token & GRANT_TOKEN_MASK
        self.held: dict[ShareId, HeldShare] = {}
        self.known: dict[ShareId, NodeId] = {}
        self.writing = anyio.Lock()
        self.draining = False
        self.layout_confirmed = False
        self._table = table
        self._ask = ask
        self._contracts = contracts
        self._rng = rng
        self._grant_ids = itertools.count(1)
        self._acquiring: set[ShareId] = set()
        self._around: Reachability | None = None
        self._around_at = 0.0

    def answer(self, ask: GrantRequest) -> GrantReply:
        """Answer a request for tokens."""
        share_id = ShareId(self.layout.group_of(ask.account), ask.slot)
        share = self.held.get(share_id)
        contract = self._contracts().get(ask.account)
        if share is None:
            return GrantReply(
                request_id=ask.request_id,
                status=GrantStatus.NOT_HOLDER,
                holder=self.known.get(share_id, NodeId("")),
            )
        if contract is None:
            return GrantReply(request_id=ask.request_id, status=GrantStatus.STOPPED)
        reports = ask.reports if ask.token == self.grant_token else []
        now = self.clock()
        found = share.answer(
            contract,
            need=ask.need,
            want=ask.want,
            reports=[TokenReport(r.grant_id, r.spent, r.returned) for r in reports],
            grant_ids=self._grant_ids,
            reachability=self.reachability(now),
            now=now,
        )
        return GrantReply(
            request_id=ask.request_id,
            status=found.status,
            grant_id=found.grant_id,
            tokens=shorten(found.tokens),
            level=found.level,
            token=self.grant_token,
        )

    def adopt(self) -> None:
        """Adopt the contracts that are in force now."""
        now = self.clock()
        for share in self.held.values():
            share.adopt(self._group_contracts(share.share), now)

    def reachability(self, now: float) -> Reachability:
        """Return the ages of contact, at most a tenth of a second old."""
        if self._around is None or now - self._around_at > VIEW_AGE_S:
            self._around = Reachability(
                own_domain=self.view.local().domain,
                domains=self.layout.domains,
                contact_ages=self.view.contact_ages(),
                store_age_s=self.view.store_age(),
            )
            self._around_at = now
        return self._around

    async def commit(
        self, writes: Sequence[ShareWrite]
    ) -> Result[Committed, ShareConflict | Unavailable]:
        """Write share rows, through another node when the store answers only it."""
        op_id = OperationId(f"{self._rng.getrandbits(96):024x}")
        result = await write_shares(self._table.commit, writes, op_id)
        age = self.view.store_age()
        live = self.view.live()
        match result:
            case Failure(Unavailable()) if live and age is not None:
                if age > RELAY_EVIDENCE_S:
                    return result
                member = self._rng.choice(live)
                logger.info("limits: writes leases through {}", member.node_id)
                return await write_shares(
                    lambda t: relay_commit(self._ask, member, t), writes, op_id
                )
        return result

    async def acquire(
        self,
        share_id: ShareId,
        *,
        expected: int,
        epoch: int,
        since: float | None,
        buckets: Sequence[BucketLevel] = (),
    ) -> bool:
        """Write the row with this node as holder; grant only if that succeeds."""
        if share_id in self.held or share_id in self._acquiring:
            return False
        sent_at = self.clock()
        write = self.make_write(share_id, expected, epoch)
        self._acquiring.add(share_id)
        try:
            if not is_successful(await self.commit([write])):
                return False
        finally:
            self._acquiring.discard(share_id)
        share = HeldShare(
            share=share_id,
            slots=self.layout.slots,
            epoch=epoch,
            version=expected + 1,
            lease=HolderLease(times=self.times, sent_at=sent_at),
            since=since,
        )
        states = {
            b.account: BucketState(level=b.level, outstanding=b.outstanding)
            for b in buckets
        }
        contracts = self._group_contracts(share_id)
        share.load(states, contracts, self._grant_ids, self.clock())
        share.adopt(contracts, self.clock())
        self.held[share_id] = share
        logger.info("limits: holds share {} in epoch {}", share_id, epoch)
        return True

    async def take_over(self, message: HandoverRequest) -> HandoverReply:
        """Take a share that its holder hands over, if the row can be written."""
        share_id = ShareId(message.group, message.slot)
        acquired = False
        if self.layout_confirmed and not self.draining:
            since = None
            if message.age_ms >= 0:
                since = self.clock() - message.age_ms / 1000
            acquired = await self.acquire(
                share_id,
                expected=message.version,
                epoch=message.epoch + 1,
                since=since,
                buckets=message.buckets,
            )
        return HandoverReply(request_id=message.request_id, acquired=acquired)

    async def hand_over(self, share_id: ShareId, node_id: NodeId) -> bool:
        """Hand one share to a node; return whether it holds the share now.

        This holder stops first. Unless the other one has taken the share,
        granting resumes only after a renewal, which fails if the other one's
        write took effect.
        """
        member = self.view.find(node_id)
        async with self.writing:
            share = self.held.get(share_id)
            if member is None or share is None:
                return False
            share.lease.stop()
            if not await self._send_share(member, share):
                return False
            self.drop(share, node_id)
            logger.info("limits: share {} handed over to {}", share_id, node_id)
            return True

    def drop(self, share: HeldShare, holder: NodeId) -> None:
        """Forget a share that another node holds."""
        self.held.pop(share.share, None)
        self.known[share.share] = holder

    def make_write(self, share_id: ShareId, expected: int, epoch: int) -> ShareWrite:
        """Return a write of a row with this node as holder."""
        local = self.view.local()
        return ShareWrite(
            group=share_id.group,
            slot=share_id.slot,
            expected=expected,
            record=ShareRecord(
                holder=local.node_id,
                incarnation=local.incarnation,
                token=self.token,
                epoch=epoch,
            ),
        )

    def _group_contracts(self, share_id: ShareId) -> dict[AccountId, Contract]:
        return {
            account: contract
            for account, contract in self._contracts().items()
            if self.layout.group_of(account) == share_id.group
        }

    async def _send_share(self, member: Member, share: HeldShare) -> bool:
        now = self.clock()
        buckets = [
            BucketLevel(account, state.level, state.outstanding)
            for account, state in share.export(now).items()
        ]
        age_ms = -1 if share.since is None else int((now - share.since) * 1000)

        def build(request_id: int) -> HandoverRequest:
            return HandoverRequest(
                request_id=request_id,
                group=share.share.group,
                slot=share.share.slot,
                epoch=share.epoch,
                version=share.version,
                age_ms=age_ms,
                buckets=buckets,
            )

        try:
            with anyio.fail_after(HANDOVER_TIMEOUT_S):
                reply = await self._ask(member, build)
        except (UnreachableError, StreamLostError, StreamFullError, TimeoutError):
            return False
        except FrameError as error:
            logger.error(
                "limits: share {} is too large to move: {}", share.share, error
            )
            return False
        return isinstance(reply, HandoverReply) and reply.acquired


def shorten(amount: float) -> float:
    """Return a whole amount as an integer, which is shorter on the network."""
    whole = int(amount)
    return whole if whole == amount else amount
