"""Transfer of the configuration between nodes in parts requested by the receiver.

A transfer has at most one part in flight and a node serves few transfers at once, so
that calls on the same links are hardly delayed. A busy node names others that already
have the configuration.
"""

import random
from collections.abc import Callable

import anyio
from loguru import logger

from endivebeam_fleet import (
    ConfigAssembler,
    TransferSlots,
    UnreadableConfigError,
    decode_config,
    encode_config,
)
from endivebeam_model import ConfigVersion, Member, NodeId
from endivebeam_wire import CONFIG_PART_BYTES, ConfigReply, ConfigRequest

from ._clock import read_clock
from ._links import LinkLostError, LinkNotOpenError, Links
from ._state import FleetState

# Short, so that several sources may fail before a version must be in force.
PART_TIMEOUT_S = 0.5
# Delay before the next request after one that brought no configuration.
RETRY_MIN_S = 0.02
RETRY_MAX_S = 0.06


class ConfigTransfer:
    """Fetches newer configurations from peers and serves this node's own to them.

    ``on_adopted`` is called with the source after a configuration was adopted.
    """

    def __init__(
        self,
        *,
        fleet: FleetState,
        links: Links,
        on_adopted: Callable[[NodeId], None],
    ) -> None:
        self._fleet = fleet
        self._links = links
        self._on_adopted = on_adopted
        self._slots = TransferSlots()
        self._sources: dict[NodeId, ConfigVersion] = {}
        self._newer_known = anyio.Event()
        self._encoded: tuple[int, bytes] = (0, b"")

    def record_peer_version(self, node_id: NodeId, version: ConfigVersion) -> None:
        """Record the version of a peer, which is fetched if it is newer."""
        fleet = self._fleet
        fleet.record_peer_version(version)
        if version > fleet.config_version and node_id != fleet.own.node_id:
            self._sources[node_id] = version
            self._newer_known.set()

    def handle_request(self, node_id: NodeId, request: ConfigRequest) -> ConfigReply:
        """Return the next part of this node's configuration."""
        version = ConfigVersion(self._fleet.config_version)
        if not version or not self._slots.admit(node_id, read_clock()):
            return ConfigReply(
                request_id=request.request_id,
                version=version,
                offset=0,
                total_bytes=0,
                is_busy=True,
                sources=self._slots.sources(version),
            )
        data = self._encode_own()
        continues = request.version == version and 0 <= request.offset < len(data)
        offset = request.offset if continues else 0
        end = offset + CONFIG_PART_BYTES
        if end >= len(data):
            self._slots.finish(node_id, version)
        return ConfigReply(
            request_id=request.request_id,
            version=version,
            offset=offset,
            total_bytes=len(data),
            data=data[offset:end],
        )

    async def run(self) -> None:
        """Fetch newer configurations until cancelled."""
        while True:
            await self._newer_known.wait()
            self._newer_known = anyio.Event()
            while (source := self._pick_source()) is not None:
                if not await self._fetch(source):
                    await anyio.sleep(random.uniform(RETRY_MIN_S, RETRY_MAX_S))

    def _pick_source(self) -> Member | None:
        """Return a node with a newer version, in the same domain if there is one."""
        newest = self._fleet.config_version
        self._sources = {n: v for n, v in self._sources.items() if v > newest}
        known = [self._fleet.directory.find(n) for n in self._sources]
        members = [member for member in known if member is not None]
        domain = self._fleet.own.domain
        near = [member for member in members if member.domain == domain]
        return random.choice(near or members) if members else None

    async def _fetch(self, source: Member) -> bool:
        """Fetch the configuration of a node; return whether a newer one was adopted."""
        assembler = ConfigAssembler()
        data = None
        try:
            while data is None:
                part = await self._request_part(source, assembler)
                if part.version <= self._fleet.config_version:
                    # The source was restarted after it reported a newer version.
                    self._sources.pop(source.node_id, None)
                    return False
                if part.is_busy:
                    for node_id in part.sources:
                        self.record_peer_version(node_id, part.version)
                    return False
                data = assembler.add(
                    part.version,
                    offset=part.offset,
                    total_bytes=part.total_bytes,
                    data=part.data,
                )
            config = decode_config(data)
        except (
            LinkNotOpenError,
            LinkLostError,
            TimeoutError,
            ValueError,
            UnreadableConfigError,
        ) as error:
            self._sources.pop(source.node_id, None)
            logger.bind(peer=source.node_id, reason=repr(error)).warning(
                "config: A version could not be fetched from a peer."
            )
            return False
        adopted = self._fleet.adopt_config(config, source=source.node_id)
        if adopted:
            self._on_adopted(source.node_id)
        return adopted

    async def _request_part(
        self, source: Member, assembler: ConfigAssembler
    ) -> ConfigReply:
        def make_request(request_id: int) -> ConfigRequest:
            return ConfigRequest(
                request_id=request_id,
                version=assembler.version,
                offset=assembler.offset,
            )

        reply = await self._links.send_request(
            source, make_request, timeout_s=PART_TIMEOUT_S
        )
        assert isinstance(reply, ConfigReply)
        return reply

    def _encode_own(self) -> bytes:
        index = self._fleet.index
        assert index is not None
        version, data = self._encoded
        if version != index.config.version:
            data = encode_config(index.config)
            self._encoded = (index.config.version, data)
        return data
