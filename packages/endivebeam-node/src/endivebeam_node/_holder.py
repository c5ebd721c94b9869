"""Rate shares that this node holds: grants, acquisition and handover."""

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

from ._fleet_view import FleetView, SendRequest
from ._peers import UnreachableError
from ._relays import relay_commit

HANDOVER_TIMEOUT_S = 5.0

# If the store answered any node within this time, a write relayed through another
# node may succeed.
RELAY_EVIDENCE_S = 5.0

# Reachability is cached this long, because every grant reads it.
REACHABILITY_MAX_AGE_S = 0.1

# Grants carry the low 32 bits of the process token, which suffice to distinguish
# a process from its predecessor at the same address.
GRANT_TOKEN_MASK = 0xFFFFFFFF


class ShareHolder:
    """Holds rate shares in memory and grants tokens from them.

    ``process_token`` is random per process start and identifies the holder in rows and
    grants, because a restarted node has the same id and incarnation.
    ``known_holders`` maps other shares to their last known holders. The node
    holds no share until ``layout_confirmed``, because a holder that divides
    contracts by another number of slots would grant too many tokens.
    ``write_lock`` serializes renewals and handovers.
    """

    def __init__(
        self,
        *,
        layout: ShareLayout,
        times: LeaseTimes,
        view: FleetView,
        table: Table,
        send_request: SendRequest,
        contracts: Callable[[], Mapping[AccountId, Contract]],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.layout = layout
        self.times = times
        self.view = view
        self.clock = clock
        self.process_token = rng.getrandbits(62) + 1
        self.grant_token = self.process_token & GRANT_TOKEN_MASK
        self.held: dict[ShareId, HeldShare] = {}
        self.known_holders: dict[ShareId, NodeId] = {}
        self.write_lock = anyio.Lock()
        self.draining = False
        self.layout_confirmed = False
        self._table = table
        self._send_request = send_request
        self._contracts = contracts
        self._rng = rng
        self._grant_ids = itertools.count(1)
        self._acquiring: set[ShareId] = set()
        self._reachability: Reachability | None = None
        self._reachability_at = 0.0

    def handle_request(self, request: GrantRequest) -> GrantReply:
        """Return the reply to a request for tokens."""
        share_id = ShareId(self.layout.group_of(request.account), request.slot)
        share = self.held.get(share_id)
        contract = self._contracts().get(request.account)
        if share is None:
            return GrantReply(
                request_id=request.request_id,
                status=GrantStatus.NOT_HOLDER,
                holder=self.known_holders.get(share_id, NodeId("")),
            )
        if contract is None:
            return GrantReply(request_id=request.request_id, status=GrantStatus.STOPPED)
        reports = request.reports if request.token == self.grant_token else []
        now = self.clock()
        found = share.grant(
            contract,
            need=request.need,
            want=request.want,
            reports=[TokenReport(r.grant_id, r.spent, r.returned) for r in reports],
            grant_ids=self._grant_ids,
            reachability=self.reachability(now),
            now=now,
        )
        return GrantReply(
            request_id=request.request_id,
            status=found.status,
            grant_id=found.grant_id,
            tokens=compact(found.tokens),
            level=found.level,
            token=self.grant_token,
        )

    def update_contracts(self) -> None:
        """Adopt the contracts in force in all held shares."""
        now = self.clock()
        for share in self.held.values():
            share.update_contracts(self._group_contracts(share.share), now)

    def reachability(self, now: float) -> Reachability:
        """Return the reachability of domains and store, at most 0.1 s old."""
        if (
            self._reachability is None
            or now - self._reachability_at > REACHABILITY_MAX_AGE_S
        ):
            self._reachability = Reachability(
                own_domain=self.view.local().domain,
                domains=self.layout.domains,
                contact_ages=self.view.contact_ages(),
                store_age_s=self.view.store_age(),
            )
            self._reachability_at = now
        return self._reachability

    async def commit(
        self, writes: Sequence[ShareWrite]
    ) -> Result[Committed, ShareConflict | Unavailable]:
        """Write share rows, relayed through another node if the store fails here.

        The write is relayed only if the store is known to answer some node.
        """
        op_id = OperationId(f"{self._rng.getrandbits(96):024x}")
        result = await write_shares(self._table.commit, writes, op_id)
        age = self.view.store_age()
        live = self.view.live()
        match result:
            case Failure(Unavailable()) if live and age is not None:
                if age > RELAY_EVIDENCE_S:
                    return result
                member = self._rng.choice(live)
                logger.info("limits: relaying lease writes through {}", member.node_id)
                return await write_shares(
                    lambda t: relay_commit(self._send_request, member, t), writes, op_id
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
        """Write the share's row with this node as holder; hold the share on success.

        Returns whether the write succeeded; ``expected`` is the version that
        the row must have.
        """
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
        share.update_contracts(contracts, self.clock())
        self.held[share_id] = share
        logger.info("limits: acquired share {} in epoch {}", share_id, epoch)
        return True

    async def receive_handover(self, message: HandoverRequest) -> HandoverReply:
        """Acquire a share that its holder hands over, if its row can be written."""
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

        This node stops granting first. If the receiver does not confirm that
        it acquired the share, granting resumes only after a renewal, which
        fails if the receiver's write took effect.
        """
        member = self.view.find(node_id)
        async with self.write_lock:
            share = self.held.get(share_id)
            if member is None or share is None:
                return False
            share.lease.stop()
            if not await self._send_handover(member, share):
                return False
            self.drop(share, node_id)
            logger.info("limits: handed over share {} to {}", share_id, node_id)
            return True

    def drop(self, share: HeldShare, holder: NodeId) -> None:
        """Remove a share that another node holds now."""
        self.held.pop(share.share, None)
        self.known_holders[share.share] = holder

    def make_write(self, share_id: ShareId, expected: int, epoch: int) -> ShareWrite:
        """Return the write of a share's row with this node as holder."""
        local = self.view.local()
        return ShareWrite(
            group=share_id.group,
            slot=share_id.slot,
            expected=expected,
            record=ShareRecord(
                holder=local.node_id,
                incarnation=local.incarnation,
                token=self.process_token,
                epoch=epoch,
            ),
        )

    def _group_contracts(self, share_id: ShareId) -> dict[AccountId, Contract]:
        return {
            account: contract
            for account, contract in self._contracts().items()
            if self.layout.group_of(account) == share_id.group
        }

    async def _send_handover(self, member: Member, share: HeldShare) -> bool:
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
                reply = await self._send_request(member, build)
        except (UnreachableError, StreamLostError, StreamFullError, TimeoutError):
            return False
        except FrameError as error:
            logger.error(
                "limits: share {} is too large to hand over: {}", share.share, error
            )
            return False
        return isinstance(reply, HandoverReply) and reply.acquired


def compact(amount: float) -> float:
    """Return a whole number as an integer, which has a shorter encoding."""
    whole = int(amount)
    return whole if whole == amount else amount
