"""Synchronizes the configuration with peers, the table and the object store."""

import datetime

import anyio
import anyio.abc
import msgspec
from loguru import logger
from returns.result import Failure, Result, Success

from endivebeam_membership import RumorBatch
from endivebeam_model import (
    DECODE_ERRORS,
    ConfigVersion,
    KeyDigest,
    LogEntry,
    OperationId,
    Snapshot,
    WithdrawKey,
)
from endivebeam_store import CommitError, ConfigLog, HttpObjects
from endivebeam_wire import (
    EntriesReply,
    EntriesRequest,
    PeerStream,
    SnapshotReply,
    SnapshotRequest,
    StreamFullError,
    StreamLostError,
)

from ._config import ConfigCopy
from ._members import Members

POLL_PERIOD_S = 1.0
PULL_TIMEOUT_S = 2.0
POLLERS_PER_DOMAIN = 2
SNAPSHOT_PERIOD = 500
PART_BYTES = 512 << 10
MAX_SNAPSHOT_BYTES = 256 << 20
MAX_ENTRIES = 256
MAX_SPREAD = 16
MAX_ENTRIES_BYTES = 768 << 10

_encode = msgspec.msgpack.Encoder().encode


def snapshot_name(number: int) -> str:
    """Return the object name of a snapshot.

    Snapshot ``number`` has version ``number * SNAPSHOT_PERIOD`` or a later one
    below the next multiple.

    >>> snapshot_name(3)
    'config/snapshot/000000000003'
    """
    return f"config/snapshot/{number:012d}"


class ConfigSync:
    """Pulls the configuration from peers, polls the log and stores snapshots.

    ``synced`` becomes true once this node has at least the version of a peer
    or of the table. Before that, it cannot distinguish an unknown key from a
    newly issued one.
    """

    def __init__(
        self,
        *,
        members: Members,
        config: ConfigCopy,
        log: ConfigLog,
        objects: HttpObjects,
    ) -> None:
        self._members = members
        self._config = config
        self._log = log
        self._objects = objects
        self._pulling = False
        self._encoded: tuple[ConfigVersion, bytes] = (ConfigVersion(0), b"")
        self._stored_number = 0
        self.synced = False

    async def run(self) -> None:
        """Poll the head of the log until cancelled, while this node is a poller."""
        while True:
            if self._is_poller():
                await self._poll()
            await anyio.sleep(POLL_PERIOD_S)

    def record_peer_version(self, version: ConfigVersion) -> None:
        """Record the version of a peer.

        Version 0 is ignored, because a peer without configuration may itself
        be joining.
        """
        if 0 < version <= self._config.version:
            self.synced = True

    async def pull(self, stream: PeerStream) -> None:
        """Fetch missing changes from a peer with a higher version."""
        if self._pulling:
            return
        self._pulling = True
        try:
            if not await self._pull_entries(stream):
                await self._pull_snapshot(stream)
        except (StreamLostError, StreamFullError, TimeoutError):
            return
        finally:
            self._pulling = False

    def handle_entries_request(self, request: EntriesRequest) -> EntriesReply:
        """Return a reply with recent changes; empty if they are no longer stored."""
        entries = self._config.entries_after(request.after)[:MAX_ENTRIES]
        return EntriesReply(request_id=request.request_id, entries=_fit_frame(entries))

    def handle_snapshot_request(self, request: SnapshotRequest) -> SnapshotReply:
        """Return a reply with one part of the snapshot in force."""
        version, data = self._encode()
        offset = request.offset if request.version == version else 0
        return SnapshotReply(
            request_id=request.request_id,
            version=version,
            offset=offset,
            size=len(data),
            data=data[max(0, offset) : max(0, offset) + PART_BYTES],
            withdrawn=() if offset else tuple(self._config.withdrawn),
        )

    def _is_poller(self) -> bool:
        return self._members.is_first(POLLERS_PER_DOMAIN) or (
            not self._members.has_peer()
        )

    async def _pull_entries(self, stream: PeerStream) -> bool:
        pulled = False
        while True:
            request = EntriesRequest(
                request_id=stream.next_id(), after=self._config.version
            )
            with anyio.fail_after(PULL_TIMEOUT_S):
                reply = await stream.send_request(request)
            if not isinstance(reply, EntriesReply) or not reply.entries:
                return pulled
            before = self._config.version
            self._apply_and_spread(list(reply.entries), stream)
            if self._config.version == before:
                return pulled
            pulled = True

    def _apply_and_spread(
        self, entries: list[LogEntry], stream: PeerStream | None
    ) -> None:
        sender = None
        if stream is not None and stream.remote is not None:
            sender = stream.remote.node_id
        if len(entries) > MAX_SPREAD:
            # A node that was far behind does not spread entries that others likely
            # have.
            self._config.apply(entries)
            return
        batch = RumorBatch(entries=tuple(entries))
        self._members.agent.receive(batch, sender, anyio.current_time())

    async def _pull_snapshot(self, stream: PeerStream) -> None:
        data = bytearray()
        request = SnapshotRequest(request_id=stream.next_id())
        while True:
            with anyio.fail_after(PULL_TIMEOUT_S):
                part = await stream.send_request(request)
            if not isinstance(part, SnapshotReply) or not part.data:
                return
            if part.version <= self._config.version or (part.size > MAX_SNAPSHOT_BYTES):
                return
            if part.offset != len(data):
                # The peer has a newer version now, so the transfer starts again.
                data.clear()
            data += part.data
            now = anyio.current_time()
            self._members.agent.receive(RumorBatch(withdrawn=part.withdrawn), None, now)
            if len(data) >= part.size:
                self._install(bytes(data))
                return
            request = SnapshotRequest(
                request_id=stream.next_id(), version=part.version, offset=len(data)
            )

    async def _poll(self) -> None:
        match await self._log.read_head():
            case Success(head):
                await self._read_up_to(head)
                self.synced = self.synced or head <= self._config.version
                await self._log_withdrawals()
                await self._store_snapshot()

    async def _read_up_to(self, head: ConfigVersion) -> None:
        if head - self._config.version > SNAPSHOT_PERIOD:
            await self._read_snapshot(head)
        while self._config.version < head:
            next_version = ConfigVersion(self._config.version + 1)
            match await self._log.read_entry(next_version):
                case Success(LogEntry() as entry):
                    self._apply_and_spread([entry], None)
                case _:
                    return
            if self._config.version < next_version:
                return

    async def _read_snapshot(self, head: ConfigVersion) -> None:
        newest = head // SNAPSHOT_PERIOD
        for number in (newest, newest - 1):
            match await self._objects.read(snapshot_name(number)):
                case Success(bytes() as data):
                    self._install(data)
                    return

    async def _store_snapshot(self) -> None:
        # One node per domain writes it. Snapshots under one name may differ in version,
        # but any of them is valid.
        number = self._config.version // SNAPSHOT_PERIOD
        if number <= self._stored_number or not self._members.is_first(1):
            return
        _, data = self._encode()
        match await self._objects.write(snapshot_name(number), data):
            case Success(_):
                self._stored_number = number

    async def _log_withdrawals(self) -> None:
        for digest in sorted(self._config.withdrawn):
            match await self._append_withdrawal(digest):
                case Success(entry):
                    self._apply_and_spread([entry], None)
                case Failure(_):
                    # Another node may have appended it first; the next poll reads it.
                    return

    async def _append_withdrawal(
        self, digest: KeyDigest
    ) -> Result[LogEntry, CommitError]:
        now = datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")
        return await self._log.append(
            change=WithdrawKey(digest=digest),
            expected=self._config.version,
            op_id=OperationId(f"withdraw-{digest}"),
            operator="emergency",
            at=now,
        )

    def _encode(self) -> tuple[ConfigVersion, bytes]:
        if self._encoded[0] != self._config.version:
            data = msgspec.json.encode(self._config.snapshot)
            self._encoded = (self._config.version, data)
        return self._encoded

    def _install(self, data: bytes) -> None:
        try:
            snapshot = msgspec.json.decode(data, type=Snapshot)
        except DECODE_ERRORS as error:
            logger.warning("config: ignored a malformed snapshot: {}", error)
            return
        self._config.install(snapshot)


def _fit_frame(entries: list[LogEntry]) -> list[LogEntry]:
    """Return the first entries that fit into one frame."""
    left = MAX_ENTRIES_BYTES
    fitting: list[LogEntry] = []
    for entry in entries:
        left -= len(_encode(entry))
        if left < 0 and fitting:
            break
        fitting.append(entry)
    return fitting
