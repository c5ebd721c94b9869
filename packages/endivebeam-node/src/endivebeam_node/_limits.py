"""Rate limits of one node: the shares it holds and the tokens its calls spend."""

import random
import time
from collections.abc import Callable

import anyio
import anyio.abc

from endivebeam_limits import LeaseTimes, ShareLayout
from endivebeam_model import Contract, DomainName, Member, Refusal
from endivebeam_store import Table
from endivebeam_wire import (
    GrantReply,
    GrantRequest,
    HandoverReply,
    HandoverRequest,
    RelayReply,
    RelayRequest,
    Reply,
    Request,
)

from ._config import ConfigCopy
from ._fleet_view import FleetView
from ._holder import ShareHolder
from ._leases import LeaseManager
from ._peers import Peers
from ._relays import serve_relay
from ._settings import Settings
from ._token_requester import TokenRequester

HAND_OVER_ALL_TIMEOUT_S = 5.0


class RateLimits:
    """Combines the share holder, its leases and the token requester."""

    def __init__(
        self,
        *,
        settings: Settings,
        view: FleetView,
        config: ConfigCopy,
        peers: Peers,
        table: Table,
        tasks: anyio.abc.TaskGroup,
        rng: random.Random,
    ) -> None:
        self._peers = peers
        self._table = table
        self._holder = ShareHolder(
            layout=share_layout(settings),
            times=lease_times(settings),
            view=view,
            table=table,
            send_request=self._send_request,
            contracts=lambda: config.snapshot.contracts,
            clock=time.monotonic,
            rng=rng,
        )
        self._leases = LeaseManager(holder=self._holder, table=table)
        self._token_requester = TokenRequester(
            holder=self._holder, send_request=self._send_request, spawn=tasks.start_soon
        )
        config.add_listener(lambda _: self._holder.update_contracts())

    async def run(self) -> None:
        """Maintain leases and report spent tokens until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._leases.run)
            tasks.start_soon(self._token_requester.run)

    async def spend_token(self, contract: Contract) -> Refusal | None:
        """Spend one rate token; return a refusal when there is none."""
        return await self._token_requester.spend_token(contract)

    async def handle_request(
        self, request: GrantRequest | HandoverRequest | RelayRequest
    ) -> GrantReply | HandoverReply | RelayReply:
        """Return the reply to a request of another node."""
        match request:
            case GrantRequest():
                return self._holder.handle_request(request)
            case HandoverRequest():
                return await self._holder.receive_handover(request)
            case RelayRequest():
                return await serve_relay(self._table, request)

    async def hand_over_all(self) -> None:
        """Hand all shares over before a planned stop, within a time limit."""
        with anyio.move_on_after(HAND_OVER_ALL_TIMEOUT_S):
            await self._leases.hand_over_all()

    async def _send_request(
        self, member: Member, build: Callable[[int], Request]
    ) -> Reply:
        stream = await self._peers.connect(member.address)
        return await stream.send_request(build(stream.next_id()))


def share_layout(settings: Settings) -> ShareLayout:
    """Return the layout of shares, which has one slot per failure domain."""
    domains = settings.domains or [settings.domain]
    return ShareLayout(
        groups=settings.share_groups,
        domains=tuple(DomainName(name) for name in sorted(domains)),
    )


def lease_times(settings: Settings) -> LeaseTimes:
    """Return the lease times; leases with a short lifetime are renewed more often."""
    default = LeaseTimes()
    scale = min(1.0, settings.share_ttl_s / default.ttl_s)
    return LeaseTimes(ttl_s=settings.share_ttl_s, renew_s=default.renew_s * scale)
