"""Requests for tokens from an allowance holder, and spending of granted ones."""

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
    rank_steady_nodes,
)
from endivebeam_model import Member, NodeId
from endivebeam_wire import Heartbeat, TokenReply, TokenRequest

from ._clock import read_clock
from ._decisions import TokenDetail
from ._links import LinkLostError, LinkNotOpenError, Links
from ._state import FleetKnowledge

EXCHANGE_PERIOD_S = 0.3
# Requests that find no token share one exchange within this time.
EXCHANGE_GAP_S = 0.025
EXCHANGE_TIMEOUT_S = 0.35
# How long a request waits for tokens that were asked for on its arrival.
TOKEN_WAIT_S = 0.15
# Nodes that did not answer are asked for a sign of life this often.
PROBE_PERIOD_S = 1.0
MAX_PROBES = 3
HOLDER_KEY = "allowances"


class Spending(Enum):
    """Whether a request may go on, as far as its account's allowance is concerned."""

    ALLOWED = "allowed"
    ABOVE_RATE = "above_rate"
    UNKNOWN = "unknown"


class Allowances:
    """Tokens of client accounts at this node, and the holder's side."""

    def __init__(
        self, *, knowledge: FleetKnowledge, links: Links, tolerance: Tolerance
    ) -> None:
        self._knowledge = knowledge
        self._links = links
        self._requester = AllowanceRequester(
            node_id=knowledge.own.node_id,
            window_s=tolerance.window_s,
            started_at=read_clock(),
        )
        self._holder = AllowanceHolder(tolerance=tolerance)
        self._wanted = anyio.Event()
        self._exchanged = anyio.Event()
        self._suspects: set[NodeId] = set()
        self._exchanged_at = read_clock()
        self._lent_parts = 0.0

    @property
    def holder(self) -> NodeId | None:
        """Node that grants tokens to this one, or None."""
        return self._requester.holder

    async def spend(self, terms: AccountTerms) -> Spending:
        """Take a token for a request; wait shortly for an exchange if needed."""
        if terms.rate_per_s <= 0 or self._requester.spend(terms, read_clock()):
            return Spending.ALLOWED
        # The next periodic exchange asks for what was missing.
        if not self._requester.is_exhausted(terms):
            exchanged = self._exchanged
            self._wanted.set()
            with anyio.move_on_after(TOKEN_WAIT_S):
                await exchanged.wait()
            if self._requester.retry_spend(terms, read_clock()):
                return Spending.ALLOWED
        lent = self._requester.has_lease(read_clock())
        return Spending.ABOVE_RATE if lent else Spending.UNKNOWN

    def describe(self, terms: AccountTerms, call_id: str) -> TokenDetail:
        """Return what decided about an account's last request, for the log."""
        return TokenDetail(
            id=call_id,
            account=terms.account,
            rate_per_s=terms.rate_per_s,
            holder=self._requester.holder or "",
            demand_per_s=round(self._requester.demand_per_s(terms), 1),
            exchange_age_s=round(read_clock() - self._exchanged_at, 2),
            lent_parts=self._lent_parts,
        )

    def refund(self, terms: AccountTerms) -> None:
        """Return the token of a request that reached no target."""
        if terms.rate_per_s > 0:
            self._requester.refund(terms)

    def hold(self, node_id: NodeId, ask: TokenRequest) -> TokenReply:
        """Answer a node's request for tokens."""
        index = self._knowledge.index
        now = read_clock()
        if ask.ends_lease:
            self._holder.release(node_id, now)
            return TokenReply(request_id=ask.request_id, accepted=False, granted={})
        size = max(1, ask.fleet_size, len(self._knowledge.directory))
        granted = self._holder.renew_lease(
            LeaseRenewal(
                node_id=node_id,
                fleet_size=size,
                needs={a: TokenNeed(*need) for a, need in ask.needs.items()},
                memory_s=ask.memory_s,
                recent_spend=ask.recent_spend,
            ),
            terms=index.accounts if index else {},
            now=now,
        )
        return TokenReply(
            request_id=ask.request_id,
            accepted=index is not None,
            granted=granted.tokens,
            lent_parts=round(self._holder.lease_count(now) / size, 2),
            wants_recent_spend=granted.wants_recent_spend,
        )

    def suspect(self, node_id: NodeId) -> None:
        """Prefer other holders than a node until it answers again."""
        self._suspects.add(node_id)

    async def run(self) -> None:
        """Exchange with the holder until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._probe_suspects)
            while True:
                await self._exchange()
                self._exchanged.set()
                self._exchanged = anyio.Event()
                await anyio.sleep(EXCHANGE_GAP_S)
                with anyio.move_on_after(EXCHANGE_PERIOD_S - EXCHANGE_GAP_S):
                    await self._wanted.wait()
                self._wanted = anyio.Event()

    async def _probe_suspects(self) -> None:
        while True:
            await anyio.sleep(PROBE_PERIOD_S)
            known = [self._find(node_id) for node_id in self._suspects]
            self._suspects = {member.node_id for member in known if member}
            for member in [member for member in known if member][:MAX_PROBES]:
                if await self._answers(member):
                    self._suspects.discard(member.node_id)

    async def _answers(self, member: Member) -> bool:
        try:
            with anyio.fail_after(EXCHANGE_TIMEOUT_S):
                await self._links.ask(
                    member, lambda number: Heartbeat(request_id=number)
                )
        except (LinkNotOpenError, LinkLostError, TimeoutError):
            return False
        return True

    async def _exchange(self) -> None:
        preferred = self._prefer()
        if preferred != self._requester.holder:
            await self._withdraw()
        if self._requester.choose_holder(preferred, read_clock()):
            logger.bind(holder=preferred).info("limits: Rates are lent to a node.")
        member = self._find(self._requester.holder)
        if (
            member is None
            or member.node_id != preferred
            or self._knowledge.index is None
            or not self._knowledge.knows_members
        ):
            return
        renewal = self._requester.make_renewal(
            fleet_size=len(self._knowledge.directory), now=read_clock()
        )
        tokens = await self._lend(member, renewal)
        if tokens is not None and tokens.accepted:
            self._exchanged_at = read_clock()
            self._lent_parts = tokens.lent_parts
            self._requester.add_tokens(
                TokenGrant(tokens.granted, tokens.wants_recent_spend)
            )

    async def _withdraw(self) -> None:
        # A holder that confirms the end of the lease stops counting this node's
        # parts at once; otherwise the lease must lapse first.
        member = self._find(self._requester.holder)
        if member is None or member.node_id in self._suspects:
            return
        if await self._lend(member, None) is not None:
            self._requester.end_lease()

    def _find(self, node_id: NodeId | None) -> Member | None:
        return self._knowledge.directory.find(node_id) if node_id else None

    async def _lend(
        self, member: Member, renewal: LeaseRenewal | None
    ) -> TokenReply | None:
        """Renew the lease with a holder, or end it when there is no renewal."""

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

        if member.node_id == self._knowledge.own.node_id:
            return self.hold(member.node_id, make_request(0))
        try:
            with anyio.fail_after(EXCHANGE_TIMEOUT_S):
                reply = await self._links.ask(member, make_request)
        except LinkNotOpenError as error:
            if renewal is not None:
                self._requester.note_not_sent()
            self._note_silent(member.node_id, str(error))
            return None
        except (LinkLostError, TimeoutError) as error:
            self._note_silent(member.node_id, str(error))
            return None
        assert isinstance(reply, TokenReply)
        return reply

    def _note_silent(self, node_id: NodeId, reason: str) -> None:
        self.suspect(node_id)
        logger.bind(peer=node_id, reason=reason).warning(
            "limits: The holder of the rates did not answer."
        )

    def _prefer(self) -> NodeId | None:
        live = self._knowledge.directory.live()
        trusted = [m for m in live if m.node_id not in self._suspects]
        ranked = rank_steady_nodes(HOLDER_KEY, trusted)
        return ranked[0] if ranked else None
