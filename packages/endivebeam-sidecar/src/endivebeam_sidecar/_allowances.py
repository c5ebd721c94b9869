"""Lending of this node's rates to a holder, and spending of granted tokens."""

from collections.abc import Callable

import anyio
from loguru import logger

from endivebeam_fleet import (
    AccountTerms,
    AllowanceBorrower,
    AllowanceHolder,
    TokenNeed,
    Tolerance,
    rank_for_key,
)
from endivebeam_model import AccountId, Member, NodeId
from endivebeam_wire import AllowanceTokens, LendAllowances

from ._clock import read_clock
from ._decisions import TokenDetail
from ._links import LinkLostError, LinkNotOpenError, Links
from ._state import FleetKnowledge

EXCHANGE_PERIOD_S = 0.3
# Requests that find no token share one exchange within this time.
EXCHANGE_GAP_S = 0.025
EXCHANGE_TIMEOUT_S = 0.5
# How long a request waits for tokens that were asked for on its arrival.
TOKEN_WAIT_S = 0.15
SUSPECT_S = 2.0
HOLDER_KEY = "allowances"


class Allowances:
    """Tokens of client accounts at this node, and the holder's side."""

    def __init__(
        self, *, knowledge: FleetKnowledge, links: Links, tolerance: Tolerance
    ) -> None:
        self._knowledge = knowledge
        self._links = links
        self._borrower = AllowanceBorrower()
        self._holder = AllowanceHolder(tolerance=tolerance)
        self._wanted = anyio.Event()
        self._exchanged = anyio.Event()
        self._suspects: dict[NodeId, float] = {}
        self._exchanged_at = read_clock()
        self._lent_parts = 0.0

    async def spend(self, terms: AccountTerms) -> bool:
        """Take a token for a request; wait shortly for an exchange if needed."""
        if terms.rate_per_s <= 0 or self._borrower.spend(terms):
            return True
        if self._borrower.is_dry(terms):
            # The next periodic exchange asks for what was missing.
            return False
        exchanged = self._exchanged
        self._wanted.set()
        with anyio.move_on_after(TOKEN_WAIT_S):
            await exchanged.wait()
        return self._borrower.spend_again(terms)

    def describe(self, terms: AccountTerms, call_id: str) -> TokenDetail:
        """Return what decided about an account's last request, for the log."""
        return TokenDetail(
            id=call_id,
            account=terms.account,
            rate_per_s=terms.rate_per_s,
            holder=self._borrower.holder or "",
            demand_per_s=round(self._borrower.demand_per_s(terms), 1),
            exchange_age_s=round(read_clock() - self._exchanged_at, 2),
            lent_parts=self._lent_parts,
        )

    def refund(self, terms: AccountTerms) -> None:
        """Return the token of a request that reached no target."""
        if terms.rate_per_s > 0:
            self._borrower.refund(terms)

    def hold(self, node_id: NodeId, ask: LendAllowances) -> AllowanceTokens:
        """Answer a node that lends its rates to this one."""
        index = self._knowledge.index
        if ask.withdraws:
            self._holder.release(node_id, read_clock())
            return AllowanceTokens(request_id=ask.request_id, holds=False, granted={})
        now = read_clock()
        size = max(1, ask.fleet_size, len(self._knowledge.directory))
        granted = self._holder.exchange(
            node_id=node_id,
            fleet_size=size,
            needs={a: TokenNeed(*need) for a, need in ask.needs.items()},
            terms=index.accounts if index else {},
            now=now,
        )
        return AllowanceTokens(
            request_id=ask.request_id,
            holds=index is not None,
            granted=granted,
            lent_parts=round(self._holder.lenders(now) / size, 2),
        )

    def suspect(self, node_id: NodeId) -> None:
        """Prefer other holders than a node that could not be reached."""
        self._suspects[node_id] = read_clock() + SUSPECT_S

    async def run(self) -> None:
        """Exchange with the holder until cancelled."""
        while True:
            await self._exchange()
            self._exchanged.set()
            self._exchanged = anyio.Event()
            await anyio.sleep(EXCHANGE_GAP_S)
            with anyio.move_on_after(EXCHANGE_PERIOD_S - EXCHANGE_GAP_S):
                await self._wanted.wait()
            self._wanted = anyio.Event()

    async def _exchange(self) -> None:
        now = read_clock()
        preferred = self._prefer(now)
        if preferred != self._borrower.holder:
            await self._withdraw()
        if self._borrower.choose_holder(preferred, read_clock()):
            logger.bind(holder=preferred).info("limits: Rates are lent to a node.")
        member = self._find(self._borrower.holder)
        if (
            member is None
            or member.node_id != preferred
            or self._knowledge.index is None
            or not self._knowledge.knows_members
        ):
            return
        tokens = await self._lend(member, self._borrower.lend(now))
        if tokens is not None and tokens.holds:
            self._exchanged_at = read_clock()
            self._lent_parts = tokens.lent_parts
            self._borrower.receive(tokens.granted)

    async def _withdraw(self) -> None:
        # A holder that confirms the end of the loan stops counting this node's
        # parts at once; otherwise the lease must lapse first.
        member = self._find(self._borrower.holder)
        if member is None or member.node_id in self._suspects:
            return
        if await self._lend(member, None) is not None:
            self._borrower.withdraw()

    def _find(self, node_id: NodeId | None) -> Member | None:
        return self._knowledge.directory.find(node_id) if node_id else None

    async def _lend(
        self, member: Member, needs: dict[AccountId, TokenNeed] | None
    ) -> AllowanceTokens | None:
        size = len(self._knowledge.directory)
        known = {a: (n.held, n.wanted, n.returned) for a, n in (needs or {}).items()}

        def make_request(request_id: int) -> LendAllowances:
            return LendAllowances(
                request_id=request_id,
                fleet_size=size,
                needs=known,
                withdraws=needs is None,
            )

        if member.node_id == self._knowledge.own.node_id:
            return self.hold(member.node_id, make_request(0))
        return await self._ask(member, make_request)

    async def _ask(
        self, member: Member, make_request: Callable[[int], LendAllowances]
    ) -> AllowanceTokens | None:
        try:
            with anyio.fail_after(EXCHANGE_TIMEOUT_S):
                reply = await self._links.ask(member, make_request)
        except (LinkNotOpenError, LinkLostError, TimeoutError) as error:
            self.suspect(member.node_id)
            logger.bind(peer=member.node_id, reason=str(error)).warning(
                "limits: The holder of the rates did not answer."
            )
            return None
        assert isinstance(reply, AllowanceTokens)
        return reply

    def _prefer(self, now: float) -> NodeId | None:
        self._suspects = {n: t for n, t in self._suspects.items() if t > now}
        live = [m.node_id for m in self._knowledge.directory.live()]
        trusted = [n for n in live if n not in self._suspects]
        ranked = rank_for_key(HOLDER_KEY, trusted)
        return ranked[0] if ranked else None
