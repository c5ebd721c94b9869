"""Spends rate tokens of client accounts, cached here or granted by share holders."""

import math
from collections.abc import Callable, Iterator, Sequence

import anyio

from endivebeam_limits import GrantCache, HolderKey, ShareId, rank_holders
from endivebeam_model import (
    AccountId,
    Contract,
    GrantStatus,
    NodeId,
    Refusal,
    RefusalReason,
)
from endivebeam_wire import (
    GrantReply,
    GrantReport,
    GrantRequest,
    StreamFullError,
    StreamLostError,
)

from ._fleet_view import SendRequest
from ._holder import ShareHolder, compact
from ._peers import UnreachableError

REQUEST_TIMEOUT_S = 0.5
TOKEN_TIMEOUT_S = 2.0
REPORT_PERIOD_S = 0.02
RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 3600.0
MAX_HOPS = 3
MIN_FRACTION = 1e-3

# After no holder of a share was reached, the share is skipped for this long.
UNREACHABLE_SKIP_S = 0.25

# If the store is not known to have answered any node within this time, refusals
# name it as unavailable.
STORE_EVIDENCE_S = 10.0

_HOLDER_STATUSES = frozenset({GrantStatus.GRANTED, GrantStatus.DECLINED})


class _KnownHolder:
    """Last known holder of a share, and the token of its process."""

    __slots__ = ("node_id", "process_token", "skip_until")

    def __init__(self) -> None:
        self.node_id: NodeId | None = None
        self.skip_until = -math.inf
        self.process_token = 0


class _Account:
    """Cached tokens of one account.

    ``levels`` holds the last reported level of the bucket in each slot and the
    time of the report, ``waiting`` the number of calls that wait for a token.
    """

    __slots__ = (
        "burst_share",
        "cache",
        "contract",
        "group",
        "levels",
        "lock",
        "rate_share",
        "slot_order",
        "waiting",
    )

    def __init__(self, *, group: int, slot_order: Sequence[int], now: float) -> None:
        self.cache = GrantCache(now=now)
        self.group = group
        self.slot_order = slot_order
        self.levels: dict[int, tuple[float, float]] = {}
        self.lock = anyio.Lock()
        self.waiting = 0
        self.contract: Contract | None = None
        self.rate_share = 0.0
        self.burst_share = 0.0

    def update_contract(self, contract: Contract, slots: int) -> None:
        """Set the contract in force; each slot has an equal part of it."""
        self.contract = contract
        self.rate_share = contract.rate_per_s / slots
        self.burst_share = contract.burst / slots
        self.cache.burst_share = self.burst_share

    def level_at(self, slot: int, now: float) -> float:
        """Return the estimated level of a bucket.

        The estimate assumes no grants to other nodes since the last report.
        """
        known = self.levels.get(slot)
        if known is None:
            return math.inf
        level, at = known
        return min(self.burst_share, level + self.rate_share * (now - at))


class TokenRequester:
    """Spends one token per call that enters the fleet at this node.

    A call with a cached token does not wait. Otherwise this node requests
    tokens from the holder in its own failure domain first, then from the
    others. It sends no request to holders whose bucket is estimated to be too
    low, so that calls above the rate cost no messages. ``spawn`` starts a
    coroutine function in the background.
    """

    def __init__(
        self,
        *,
        holder: ShareHolder,
        send_request: SendRequest,
        spawn: Callable[..., object],
    ) -> None:
        self._holder = holder
        self._layout = holder.layout
        self._view = holder.view
        self._clock = holder.clock
        self._send_request = send_request
        self._spawn = spawn
        self._accounts: dict[AccountId, _Account] = {}
        self._active: dict[AccountId, _Account] = {}
        self._known_holders: dict[ShareId, _KnownHolder] = {}
        self._wake = anyio.Event()

    async def spend_token(self, contract: Contract) -> Refusal | None:
        """Spend one token; return a refusal with its cause when there is none."""
        now = self._clock()
        account = self._accounts.get(contract.account)
        if account is None:
            account = self._add_account(contract.account, now)
        if account.contract is not contract:
            account.update_contract(contract, self._layout.slots)
        cache = account.cache
        cache.count_demand(now)
        if not cache.spend(now):
            return await self._wait_for_token(account, contract)
        if not account.lock.locked() and cache.prefetch_tokens(now):
            self._spawn(self._prefetch, account, contract)
        return None

    async def run(self) -> None:
        """Report spent tokens and return unused ones until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            while self._active:
                await anyio.sleep(REPORT_PERIOD_S)
                self._send_reports(self._clock())

    def _add_account(self, account_id: AccountId, now: float) -> _Account:
        for known, account in list(self._accounts.items()):
            if account.cache.is_idle(now) and not account.waiting:
                del self._accounts[known]
        group = self._layout.group_of(account_id)
        slot_order = self._layout.order_slots(self._view.local().domain, group)
        account = _Account(group=group, slot_order=slot_order, now=now)
        self._accounts[account_id] = account
        return account

    async def _wait_for_token(
        self, account: _Account, contract: Contract
    ) -> Refusal | None:
        account.waiting += 1
        try:
            async with account.lock:
                if account.cache.spend(self._clock()):
                    return None
                with anyio.move_on_after(TOKEN_TIMEOUT_S):
                    await self._request_tokens(account, contract.account)
                if account.cache.spend(self._clock()):
                    return None
                return self._rate_refusal(account)
        finally:
            account.waiting -= 1

    async def _prefetch(self, account: _Account, contract: Contract) -> None:
        if account.lock.locked():
            return
        async with account.lock:
            want = account.cache.prefetch_tokens(self._clock())
            if want:
                await self._try_each_slot(account, contract.account, 1.0, want)

    async def _request_tokens(self, account: _Account, account_id: AccountId) -> None:
        now = self._clock()
        need = account.cache.missing_tokens(now)
        want = max(account.cache.target_tokens(now), account.waiting, need)
        if await self._try_each_slot(account, account_id, need, want):
            return
        await self._combine_slots(account, account_id)

    async def _try_each_slot(
        self, account: _Account, account_id: AccountId, need: float, want: float
    ) -> bool:
        """Request a whole token from the holder of one slot after the other."""
        for slot in account.slot_order:
            now = self._clock()
            if (
                self._is_skipped(account, slot, now)
                or account.level_at(slot, now) < need
            ):
                continue
            if await self._request_slot(account, account_id, slot, need, want):
                return True
        return False

    async def _combine_slots(self, account: _Account, account_id: AccountId) -> None:
        """Combine fractions from several slots when no bucket has a whole token."""
        now = self._clock()
        slots = self._reachable_slots(account, now)
        if sum(
            account.level_at(slot, now) for slot in slots
        ) < account.cache.missing_tokens(now):
            return
        slots.sort(key=lambda slot: account.level_at(slot, now), reverse=True)
        for slot in slots:
            missing = account.cache.missing_tokens(self._clock())
            fraction = min(account.level_at(slot, self._clock()), missing)
            if fraction > MIN_FRACTION or fraction == missing:
                await self._request_slot(account, account_id, slot, fraction, fraction)
            if account.cache.missing_tokens(self._clock()) <= 0:
                return
        # Fractions that make no whole token are returned for use by other nodes.
        account.cache.return_all(self._clock())

    async def _request_slot(
        self,
        account: _Account,
        account_id: AccountId,
        slot: int,
        need: float,
        want: float,
    ) -> bool:
        share_id = ShareId(account.group, slot)
        requested_at = self._clock()
        grant = await self._request_holder(share_id, account, account_id, need, want)
        now = self._clock()
        if grant is None:
            self._known_holder(share_id).skip_until = now + UNREACHABLE_SKIP_S
            account.levels.pop(slot, None)
            return False
        account.levels[slot] = (grant.level, now)
        account.cache.add(
            HolderKey(slot, grant.token),
            grant_id=grant.grant_id,
            tokens=grant.tokens,
            requested_at=requested_at,
        )
        self._active[account_id] = account
        self._wake.set()
        return grant.tokens > 0

    async def _request_holder(
        self,
        share_id: ShareId,
        account: _Account,
        account_id: AccountId,
        need: float,
        want: float,
    ) -> GrantReply | None:
        """Return the reply of the holder, or None when no holder was reached."""
        known = self._known_holder(share_id)
        tried: set[NodeId] = set()
        remaining = self._iter_holders(share_id, known)
        node_id = next(remaining, None)
        while node_id is not None and len(tried) < MAX_HOPS:
            tried.add(node_id)
            request = self._make_request(account, account_id, share_id.slot, need, want)
            grant = await self._send(node_id, request)
            status = None if grant is None else grant.status
            if grant is not None and status in _HOLDER_STATUSES:
                known.node_id = node_id
                known.process_token = grant.token
                return grant
            if status is GrantStatus.STOPPED:
                return None
            known.node_id = None
            hint = None if grant is None else grant.holder
            if hint and hint not in tried:
                node_id = hint
            else:
                node_id = next((n for n in remaining if n not in tried), None)
        return None

    def _iter_holders(self, share_id: ShareId, known: _KnownHolder) -> Iterator[NodeId]:
        if known.node_id is not None:
            yield known.node_id
        yield from rank_holders(share_id, self._layout, self._view.candidates())

    def _make_request(
        self,
        account: _Account,
        account_id: AccountId,
        slot: int,
        need: float,
        want: float,
    ) -> GrantRequest:
        token = self._known_holder(ShareId(account.group, slot)).process_token
        reports = account.cache.reports(HolderKey(slot, token)) if token else []
        return GrantRequest(
            request_id=0,
            account=account_id,
            slot=slot,
            need=compact(need),
            want=compact(want),
            token=token,
            reports=[
                GrantReport(r.grant_id, compact(r.spent), compact(r.returned))
                for r in reports
            ],
        )

    async def _send(self, node_id: NodeId, request: GrantRequest) -> GrantReply | None:
        if node_id == self._view.local().node_id:
            return self._holder.handle_request(request)
        member = self._view.find(node_id)
        if member is None:
            return None

        def build(request_id: int) -> GrantRequest:
            return GrantRequest(
                request_id=request_id,
                account=request.account,
                slot=request.slot,
                need=request.need,
                want=request.want,
                token=request.token,
                reports=request.reports,
            )

        try:
            with anyio.fail_after(REQUEST_TIMEOUT_S):
                reply = await self._send_request(member, build)
        except (UnreachableError, StreamLostError, StreamFullError, TimeoutError):
            return None
        return reply if isinstance(reply, GrantReply) else None

    def _send_reports(self, now: float) -> None:
        for account_id, account in list(self._active.items()):
            for key in account.cache.reports_due(now):
                share_id = ShareId(account.group, key.slot)
                known = self._known_holder(share_id)
                if known.process_token != key.token or known.node_id is None:
                    account.cache.reports(key)
                    continue
                request = self._make_request(account, account_id, key.slot, 0.0, 0.0)
                self._spawn(self._send, known.node_id, request)
            if account.cache.is_empty():
                del self._active[account_id]

    def _rate_refusal(self, account: _Account) -> Refusal:
        now = self._clock()
        slots = self._reachable_slots(account, now)
        if not slots:
            return self._unreachable_refusal()
        missing = account.cache.missing_tokens(now)
        missing -= sum(account.level_at(slot, now) for slot in slots)
        rate = account.rate_share * len(slots)
        wait_s = missing / rate if rate > 0 else MAX_RETRY_AFTER_S
        return Refusal(
            reason=RefusalReason.RATE_EXCEEDED,
            message="the rate and burst of the contract are used up; retry after "
            "the given time, or ask the operator for a higher rate",
            retry_after_s=min(MAX_RETRY_AFTER_S, max(0.001, wait_s)),
        )

    def _unreachable_refusal(self) -> Refusal:
        age = self._view.store_age()
        reason = RefusalReason.OVERLOADED
        message = "no node that counts this account's rate can be reached; retry"
        if age is None or age > STORE_EVIDENCE_S:
            reason = RefusalReason.STORE_UNAVAILABLE
            message = "the rate cannot be counted while the store is down; retry"
        return Refusal(reason=reason, message=message, retry_after_s=RETRY_AFTER_S)

    def _reachable_slots(self, account: _Account, now: float) -> list[int]:
        return [
            slot
            for slot in account.slot_order
            if slot in account.levels and not self._is_skipped(account, slot, now)
        ]

    def _is_skipped(self, account: _Account, slot: int, now: float) -> bool:
        return self._known_holder(ShareId(account.group, slot)).skip_until > now

    def _known_holder(self, share_id: ShareId) -> _KnownHolder:
        known = self._known_holders.get(share_id)
        if known is None:
            known = self._known_holders[share_id] = _KnownHolder()
        return known
