"""Components for operators: configuration, versions, metrics, request counts."""

import random
from collections.abc import Callable

import anyio
from starlette.applications import Starlette

from endivebeam_model import Address, ConfigVersion, DomainName
from endivebeam_store import ConfigLog, HttpObjects
from endivebeam_wire import PeerStream, WriteCountsReply, WriteCountsRequest

from ._admin import build_admin_app
from ._burn import CountBatch, MinuteCounter
from ._burn_sync import BurnReporter, send_batch
from ._commits import Committer, OnCommitted, OnWithdrawn
from ._config import ConfigCopy
from ._emergency import EmergencyWriter
from ._members import Members
from ._metrics import Metrics, RequestStats
from ._peers import Peers
from ._settings import Settings
from ._versions import ReportedVersions


class Operations:
    """Components of a node that serve its operators."""

    def __init__(
        self,
        *,
        settings: Settings,
        config: ConfigCopy,
        members: Members,
        peers: Peers,
        log: ConfigLog,
        objects: HttpObjects,
        on_committed: OnCommitted,
        on_withdrawn: OnWithdrawn,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._config = config
        self._members = members
        self._peers = peers
        self._log = log
        self._objects = objects
        self.versions = ReportedVersions()
        self.metrics = Metrics()
        self._committer = Committer(
            config=config,
            log=log,
            on_committed=on_committed,
            on_withdrawn=on_withdrawn,
        )
        self._emergency = EmergencyWriter(
            config=config,
            committer=self._committer,
            is_writer=lambda: members.is_first(1),
        )
        self._counter = MinuteCounter(node_id=settings.node_id)
        self._burn = BurnReporter(
            counter=self._counter,
            domain=DomainName(settings.domain),
            find_writer=self._find_writer,
            send=self._send_batch,
            read=objects.read,
            write=objects.write,
            rng=rng,
        )

    def record(self, stats: RequestStats) -> None:
        """Count one request that ended."""
        self.metrics.record(stats)
        self._counter.record(stats)

    def record_stream_version(self, stream: PeerStream, version: ConfigVersion) -> None:
        """Record the configuration version of the peer of a stream."""
        if stream.remote is not None:
            now = anyio.current_time()
            self.versions.record(stream.remote.node_id, version, now)

    def receive_counts(self, request: WriteCountsRequest) -> WriteCountsReply:
        """Receive the request counts of another node of this failure domain."""
        batch = CountBatch(
            sender=request.sender, minute=request.minute, counts=tuple(request.counts)
        )
        stored = self._burn.collector.receive(batch, anyio.current_time())
        return WriteCountsReply(request_id=request.request_id, stored=stored)

    async def run(self) -> None:
        """Run the background tasks until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._emergency.run)
            tasks.start_soon(self._burn.run)

    async def finish(self) -> None:
        """Send the remaining request counts before the node stops."""
        await self._burn.finish()

    def build_app(self, on_drain: Callable[[], None]) -> Starlette:
        """Return the administration API."""
        return build_admin_app(
            operators=self._settings.operators,
            config=self._config,
            members=self._members,
            log=self._log,
            committer=self._committer,
            versions=self.versions,
            on_drain=on_drain,
            render_metrics=self.metrics.render,
            read_object=self._objects.read,
        )

    def _find_writer(self) -> Address | None:
        first = self._members.first_of_domain()
        return None if first is None else self._members.find_address(first)

    async def _send_batch(self, address: Address, batch: CountBatch) -> bool:
        return await send_batch(self._peers, address, batch)
