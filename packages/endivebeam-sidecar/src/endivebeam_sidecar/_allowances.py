"""Requests to the allowance holder for tokens, and spending of granted tokens."""

from enum import Enum

import anyio
from loguru import logger

from endivebeam_fleet import (
    AccountTerms,
    AllowanceHolder,
    AllowanceRequester,
    LeaseRenewal,
    TokenGrant,
    TokenNeed,
    Tolerance,
    rank_by_incarnation,
)
from endivebeam_model import Member, NodeId
from endivebeam_wire import Heartbeat, TokenReply, TokenRequest

from ._clock import read_clock
from ._decisions import RateLimitDetail
from ._links import LinkLostError, LinkNotOpenError, Links
from ._signal import Signal
from ._state import FleetState

RENEWAL_PERIOD_S = 0.3
# Requests that find no token within this time share one renewal.
RENEWAL_GAP_S = 0.025
RENEWAL_TIMEOUT_S = 0.35
# How long a request waits for tokens that were requested on its arrival.
TOKEN_WAIT_S = 0.15
# Nodes that did not reply are probed this often.
PROBE_PERIOD_S = 1.0
MAX_PROBES = 3
# Key of the rendezvous hash that ranks the candidates for the allowance holder.
HOLDER_KEY = "allowances"


class SpendResult(Enum):
    """Whether an account's allowance permits a request.

    ``UNKNOWN``: no holder has a lease, so this node may not spend tokens.
    """

    ALLOWED = "allowed"
    ABOVE_RATE = "above_rate"
    UNKNOWN = "unknown"


class Allowances:
    """Tokens of client accounts at this node, and its role as allowance holder."""

    def __init__(
        self, *, fleet: FleetState, links: Links, tolerance: Tolerance
    ) -> None:
        self._fleet = fleet
        self._links = links
        self._requester = AllowanceRequester(
            node_id=fleet.own.node_id,
            window_s=tolerance.window_s,
            started_at=read_clock(),
        )
        self._holder = AllowanceHolder(tolerance=tolerance)
        self._tokens_wanted = Signal()
        self._renewed = Signal()
        self._suspects: set[NodeId] = set()
        self._renewed_at = read_clock()
        self._leased_parts = 0.0

    @property
    def holder(self) -> NodeId | None:
        """Node that grants tokens to this one, or None."""
        return self._requester.holder

    async def spend(self, terms: AccountTerms) -> SpendResult:
        """Spend a token for a request; wait briefly for a lease renewal if needed."""
        if terms.rate_per_s <= 0 or self._requester.spend(terms, read_clock()):
            return SpendResult.ALLOWED
        if self._requester.await_token(terms, read_clock()):
            renewed = self._renewed
            self._tokens_wanted.set()
            await renewed.wait(TOKEN_WAIT_S)
            if self._requester.spend_after_wait(terms, read_clock()):
                return SpendResult.ALLOWED
        leased = self._requester.has_lease(read_clock())
        return SpendResult.ABOVE_RATE if leased else SpendResult.UNKNOWN

    def describe(self, terms: AccountTerms, call_id: str) -> RateLimitDetail:
        """Return the state that led to the rejection of a request, for the log."""
        return RateLimitDetail(
            id=call_id,
            account=terms.account,
            rate_per_s=terms.rate_per_s,
            holder=self._requester.holder or "",
            demand_per_s=round(self._requester.demand_per_s(terms), 1),
            exchange_age_s=round(read_clock() - self._renewed_at, 2),
            lent_parts=self._leased_parts,
        )

    def refund(self, terms: AccountTerms) -> None:
        """Refund the token of a request that reached no target."""
        if terms.rate_per_s > 0:
            self._requester.refund(terms)

    def handle_request(self, node_id: NodeId, request: TokenRequest) -> TokenReply:
        """Renew or end the lease of a node and return the tokens granted to it."""
        index = self._fleet.index
        now = read_clock()
        if request.ends_lease:
            self._holder.release(node_id, now)
            return TokenReply(request_id=request.request_id, accepted=False, granted={})
        size = max(1, request.fleet_size, len(self._fleet.directory))
        granted = self._holder.renew_lease(
            LeaseRenewal(
                node_id=node_id,
                fleet_size=size,
                needs={a: TokenNeed(*need) for a, need in request.needs.items()},
                memory_s=request.memory_s,
                recent_spend=request.recent_spend,
            ),
            terms=index.accounts if index else {},
            now=now,
        )
        return TokenReply(
            request_id=request.request_id,
            accepted=index is not None,
            granted=granted.tokens,
            lent_parts=round(self._holder.lease_count(now) / size, 2),
            wants_recent_spend=granted.wants_recent_spend,
        )

    def suspect(self, node_id: NodeId) -> None:
        """Choose holders other than a node until it replies again."""
        self._suspects.add(node_id)

    async def run(self) -> None:
        """Renew the lease with the holder until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._probe_suspects)
            while True:
                await self._renew_lease()
                self._renewed.set()
                self._renewed = Signal()
                await self._wait_for_renewal(read_clock())
                self._tokens_wanted = Signal()

    async def _wait_for_renewal(self, renewed_at: float) -> None:
        """Wait until tokens are wanted, or for a period."""
        await self._tokens_wanted.wait(RENEWAL_PERIOD_S)
        early_s = renewed_at + RENEWAL_GAP_S - read_clock()
        if early_s > 0:
            await anyio.sleep(early_s)

    async def _probe_suspects(self) -> None:
        while True:
            await anyio.sleep(PROBE_PERIOD_S)
            known = [self._find(node_id) for node_id in self._suspects]
            self._suspects = {member.node_id for member in known if member}
            for member in [member for member in known if member][:MAX_PROBES]:
                if await self._responds(member):
                    self._suspects.discard(member.node_id)

    async def _responds(self, member: Member) -> bool:
        try:
            with anyio.fail_after(RENEWAL_TIMEOUT_S):
                await self._links.send_request(
                    member, lambda number: Heartbeat(request_id=number)
                )
        except (LinkNotOpenError, LinkLostError, TimeoutError):
            return False
        return True

    async def _renew_lease(self) -> None:
        preferred = self._preferred_holder()
        if preferred != self._requester.holder:
            await self._end_lease()
        if self._requester.choose_holder(preferred, read_clock()):
            logger.bind(holder=preferred).info("limits: The allowance holder changed.")
        member = self._find(self._requester.holder)
        if (
            member is None
            or member.node_id != preferred
            or self._fleet.index is None
            or not self._fleet.knows_members
        ):
            return
        renewal = self._requester.make_renewal(
            fleet_size=len(self._fleet.directory), now=read_clock()
        )
        tokens = await self._send_renewal(member, renewal)
        if tokens is not None and tokens.accepted:
            self._renewed_at = read_clock()
            self._leased_parts = tokens.lent_parts
            self._requester.add_tokens(
                TokenGrant(tokens.granted, tokens.wants_recent_spend), read_clock()
            )

    async def _end_lease(self) -> None:
        # A holder that confirms the end of the lease stops granting from this node's
        # part at once; otherwise the lease must expire first.
        member = self._find(self._requester.holder)
        if member is None or member.node_id in self._suspects:
            return
        if await self._send_renewal(member, None) is not None:
            self._requester.end_lease()

    def _find(self, node_id: NodeId | None) -> Member | None:
        return self._fleet.directory.find(node_id) if node_id else None

    async def _send_renewal(
        self, member: Member, renewal: LeaseRenewal | None
    ) -> TokenReply | None:
        """Send a renewal of the lease to a holder; None ends the lease."""

        def make_request(request_id: int) -> TokenRequest:
            if renewal is None:
                return TokenRequest(
                    request_id=request_id, fleet_size=0, needs={}, ends_lease=True
                )
            return TokenRequest(
                request_id=request_id,
                fleet_size=renewal.fleet_size,
                needs={
                    account: (need.held, need.wanted, need.returned)
                    for account, need in renewal.needs.items()
                },
                memory_s=renewal.memory_s,
                recent_spend=dict(renewal.recent_spend)
                if renewal.recent_spend is not None
                else None,
            )

        if member.node_id == self._fleet.own.node_id:
            return self.handle_request(member.node_id, make_request(0))
        try:
            with anyio.fail_after(RENEWAL_TIMEOUT_S):
                reply = await self._links.send_request(member, make_request)
        except LinkNotOpenError as error:
            if renewal is not None:
                self._requester.record_not_sent()
            self._handle_no_reply(member.node_id, str(error))
            return None
        except (LinkLostError, TimeoutError) as error:
            self._handle_no_reply(member.node_id, str(error))
            return None
        assert isinstance(reply, TokenReply)
        return reply

    def _handle_no_reply(self, node_id: NodeId, reason: str) -> None:
        self.suspect(node_id)
        logger.bind(peer=node_id, reason=reason).warning(
            "limits: The allowance holder did not reply."
        )

    def _preferred_holder(self) -> NodeId | None:
        live = self._fleet.directory.live()
        trusted = [m for m in live if m.node_id not in self._suspects]
        ranked = rank_by_incarnation(HOLDER_KEY, trusted)
        return ranked[0] if ranked else None
