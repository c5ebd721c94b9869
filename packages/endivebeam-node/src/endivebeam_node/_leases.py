"""Share leases: renewal, takeover and handover to the preferred holder."""

from collections.abc import Awaitable, Callable, Sequence

import anyio
from loguru import logger
from returns.result import Failure, Success

from endivebeam_limits import (
    HeldShare,
    PreferredHolders,
    ShareId,
    TakeoverWatch,
    rank_holders,
)
from endivebeam_model import NodeId
from endivebeam_store import (
    LayoutRecord,
    ShareConflict,
    StoredShare,
    Table,
    claim_layout,
    read_share,
)

from ._holder import ShareHolder

CHECK_PERIOD_S = 0.5
RENEW_PERIOD_S = 1.0
WATCH_PERIOD_S = 1.0
RENEW_ATTEMPTS = 3
MAX_CONCURRENT_READS = 8

# A share is handed over only to a node that has been preferred for this long, so
# that shares do not move at every change while the member table fills.
MOVE_DELAY_S = 10.0


class LeaseManager:
    """Renews, acquires and hands over the shares of one node."""

    def __init__(self, *, holder: ShareHolder, table: Table) -> None:
        self._holder = holder
        self._table = table
        self._watches: dict[ShareId, TakeoverWatch] = {}
        self._moves: dict[ShareId, tuple[NodeId, float]] = {}
        self._preferred = PreferredHolders(
            layout=holder.layout, domain=holder.view.local().domain
        )

    async def run(self) -> None:
        """Renew, watch and move shares until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_repeat, CHECK_PERIOD_S, self.check)
            tasks.start_soon(_repeat, RENEW_PERIOD_S, self.renew)
            tasks.start_soon(_repeat, WATCH_PERIOD_S, self.watch)
            tasks.start_soon(_repeat, WATCH_PERIOD_S, self.move)

    async def check(self) -> None:
        """Check all leases, to notice a pause of this process or a loss of contact."""
        now = self._holder.clock()
        reachability = self._holder.reachability(now)
        for share in self._holder.held.values():
            share.lease.may_grant(now, reachability)

    async def renew(self) -> None:
        """Renew all leases in one transaction when any of them is due."""
        held = self._holder.held
        async with self._holder.write_lock:
            for _ in range(RENEW_ATTEMPTS):
                now = self._holder.clock()
                if not any(s.lease.is_renewal_due(now) for s in held.values()):
                    return
                if not await self._renew_once(list(held.values()), now):
                    return

    async def watch(self) -> None:
        """Read the rows of shares that this node should hold; acquire vacant ones."""
        if not self._holder.layout_confirmed:
            await self._confirm_layout()
        idle = self._holder.draining or not self._holder.layout_confirmed
        wanted = set() if idle else self._find_shares_to_watch()
        for share_id in set(self._watches) - wanted:
            del self._watches[share_id]
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_READS)
        async with anyio.create_task_group() as tasks:
            for share_id in sorted(wanted):
                tasks.start_soon(self._watch_share, share_id, limiter)

    async def move(self) -> None:
        """Hand shares over to nodes preferred for at least ``MOVE_DELAY_S``."""
        now = self._holder.clock()
        local = self._holder.view.local().node_id
        for share_id in list(self._holder.held):
            preferred = self._preferred_holder(share_id)
            if preferred is None or preferred == local:
                self._moves.pop(share_id, None)
                continue
            node_id, since = self._moves.setdefault(share_id, (preferred, now))
            if node_id != preferred:
                self._moves[share_id] = (preferred, now)
            elif now - since >= MOVE_DELAY_S:
                del self._moves[share_id]
                await self._holder.hand_over(share_id, preferred)

    async def hand_over_all(self) -> None:
        """Hand all shares over before a planned stop.

        While the store is down, no other node can acquire them, so this node
        grants tokens until it stops.
        """
        self._holder.draining = True
        age = self._holder.view.store_age()
        if age is None or age > self._holder.times.renew_s:
            logger.warning("limits: the store is down; not handing over shares")
            return
        for share_id in list(self._holder.held):
            ranked = self._rank_candidates(share_id)
            for node_id in [n for n in ranked if self._holder.view.find(n)][:2]:
                if await self._holder.hand_over(share_id, node_id):
                    break

    async def _confirm_layout(self) -> None:
        layout = self._holder.layout
        own = LayoutRecord(groups=layout.groups, domains=layout.domains)
        match await claim_layout(self._table, own):
            case Success(stored) if stored == own:
                self._holder.layout_confirmed = True
            case Success(stored):
                logger.error(
                    "limits: this node holds no shares: its settings have {} groups "
                    "and domains {}, the fleet has {} and {}; correct the settings "
                    "share_groups and domains",
                    own.groups,
                    own.domains,
                    stored.groups,
                    stored.domains,
                )

    async def _renew_once(self, shares: Sequence[HeldShare], sent_at: float) -> bool:
        """Renew the leases; return whether another attempt may succeed now."""
        writes = [
            self._holder.make_write(share.share, share.version, share.epoch)
            for share in shares
        ]
        match await self._holder.commit(writes):
            case Success(_):
                for share in shares:
                    share.version += 1
                    share.lease.renew(sent_at)
                return False
            case Failure(ShareConflict(current=current)):
                self._resolve_conflict(current)
                return bool(current)
        return False

    def _resolve_conflict(self, current: Sequence[StoredShare]) -> None:
        for stored in current:
            share = self._holder.held.get(ShareId(stored.group, stored.slot))
            if share is None:
                continue
            own = stored.record.token == self._holder.process_token
            if own and stored.record.epoch == share.epoch:
                # An earlier renewal took effect although its response was lost.
                share.version = stored.version
                continue
            logger.warning("limits: lost share {} to another node", share.share)
            self._holder.drop(share, stored.record.holder)

    def _find_shares_to_watch(self) -> set[ShareId]:
        holder = self._holder
        local = holder.view.local()
        live = holder.view.live_candidates()
        self._preferred.update(live.nodes, live.domains)
        slots = [
            slot
            for slot, domain in enumerate(holder.layout.domains)
            if domain == local.domain or domain not in live.domains
        ]
        shares = [ShareId(g, s) for g in range(holder.layout.groups) for s in slots]
        return {
            share_id
            for share_id in shares
            if share_id not in holder.held
            and self._preferred.get(share_id) == local.node_id
        }

    async def _watch_share(
        self, share_id: ShareId, limiter: anyio.CapacityLimiter
    ) -> None:
        async with limiter:
            result = await read_share(self._table, share_id.group, share_id.slot)
        holder = self._holder
        now = holder.clock()
        watch = self._watches.setdefault(share_id, TakeoverWatch(times=holder.times))
        reachability = holder.reachability(now)
        match result:
            case Success(StoredShare(version=version, record=record)):
                holder.known_holders[share_id] = record.holder
                watch.observe(now, version, reachability)
                # A row with this node's token for a share that it does not hold was
                # written by an acquisition whose response was lost; no node grants
                # tokens from it.
                if watch.may_take_over(now) or record.token == holder.process_token:
                    await holder.acquire(
                        share_id, expected=version, epoch=record.epoch + 1, since=now
                    )
            case Success(None):
                watch.observe(now, 0, reachability)
                domain = holder.layout.domains[share_id.slot]
                own_slot = domain == holder.view.local().domain
                if watch.may_create(now, own_slot=own_slot):
                    await holder.acquire(share_id, expected=0, epoch=1, since=None)
            case _:
                watch.observe(now, None, reachability)

    def _preferred_holder(self, share_id: ShareId) -> NodeId | None:
        if self._preferred.covers(share_id):
            return self._preferred.get(share_id)
        # The share belongs to a domain that had no live node and has one again.
        return next(iter(self._rank_candidates(share_id)), None)

    def _rank_candidates(self, share_id: ShareId) -> Sequence[NodeId]:
        candidates = self._holder.view.candidates()
        return rank_holders(share_id, self._holder.layout, candidates)


async def _repeat(period_s: float, step: Callable[[], Awaitable[None]]) -> None:
    while True:
        await step()
        await anyio.sleep(period_s)
