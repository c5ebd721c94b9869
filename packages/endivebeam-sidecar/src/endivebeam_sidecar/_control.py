"""The parts by which a node shares state with the platform's store and with peers."""

from collections.abc import Awaitable, Callable

import anyio
from loguru import logger

from endivebeam_fleet import (
    PropagationTimes,
    compute_key_trust_s,
    compute_worst_case_s,
    plan_propagation,
)
from endivebeam_model import NodeId
from endivebeam_wire import ConfigReply, ConfigRequest, SyncReply, SyncRequest

from ._config_reader import ConfigReader
from ._control_store import ControlStore
from ._gossip import Gossip
from ._links import Links
from ._member_sync import MemberSync
from ._metrics import SidecarMetrics
from ._settings import Bounds
from ._state import FleetState
from ._store_access import StoreAccessLog
from ._store_eras import StoreEras
from ._store_watchers import StoreWatchers
from ._supervision import run_logged
from ._unreachable_nodes import UnreachableNodes

# Round trip between two regions for which the bound of changes is checked.
MAX_ROUND_TRIP_S = 0.1


class Control:
    """Synchronizes the configuration and the member records of ``fleet``."""

    def __init__(
        self,
        *,
        fleet: FleetState,
        store: ControlStore,
        links: Links,
        unreachable: UnreachableNodes,
        metrics: SidecarMetrics,
        bounds: Bounds,
    ) -> None:
        # Keys are trusted only while the evidence for the configuration is recent.
        key_trust_s = compute_key_trust_s(bounds.key_withdrawal_s)
        times = plan_propagation(min(bounds.propagation_s, key_trust_s))
        _check_propagation(times)
        eras = StoreEras(on_restored=self._write_again)
        access = StoreAccessLog(metrics=metrics, eras=eras)
        self.watchers = StoreWatchers(fleet=fleet, unreachable=unreachable)
        self._gossip = Gossip(
            fleet=fleet,
            links=links,
            unreachable=unreachable,
            watchers=self.watchers,
            times=times,
            eras=eras,
        )
        self._config_reader = ConfigReader(
            fleet=fleet,
            store=store,
            watchers=self.watchers,
            access=access,
            times=times,
            on_news=self._gossip.push_soon,
        )
        self._member_sync = MemberSync(
            fleet=fleet,
            store=store,
            unreachable=unreachable,
            watchers=self.watchers,
            access=access,
            on_known=self._gossip.sync_soon,
        )

    @property
    def loops(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """Background tasks that run until they are cancelled."""
        return (
            self._gossip.run,
            self._gossip.config_transfer.run,
            self._config_reader.run,
            self._member_sync.run,
        )

    def publish_own(self) -> None:
        """Send this node's changed record to peers and to the store soon."""
        self._gossip.push_soon()
        self._member_sync.write_soon()

    def _write_again(self) -> None:
        self._gossip.push_soon()
        self._member_sync.write_again_soon()

    async def announce_departure(self) -> None:
        """Send this node's last record to peers and remove its row."""
        async with anyio.create_task_group() as tasks:
            for announce in (self._gossip.push, self._member_sync.remove_own):
                tasks.start_soon(run_logged, announce)

    def handle_sync(self, node_id: NodeId, request: SyncRequest) -> SyncReply:
        """Return the state that is newer here than at the requesting node."""
        return self._gossip.handle_request(node_id, request)

    def handle_transfer(self, node_id: NodeId, request: ConfigRequest) -> ConfigReply:
        """Return the next part of this node's configuration."""
        return self._gossip.config_transfer.handle_request(node_id, request)


def _check_propagation(times: PropagationTimes) -> None:
    worst_case_s = compute_worst_case_s(times, round_trip_s=MAX_ROUND_TRIP_S)
    if worst_case_s > times.bound_s:
        logger.bind(bound_s=times.bound_s, worst_case_s=round(worst_case_s, 3)).warning(
            "config: Changes may be in force later than the bound between regions."
        )
