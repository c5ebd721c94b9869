"""Configuration and member records that the parts of a node share."""

from collections.abc import Callable

import msgspec
from loguru import logger

from endivebeam_fleet import (
    ConfigIndex,
    Directory,
    FleetConfig,
    Freshness,
    record_version,
)
from endivebeam_http import MAX_BODY_BYTES, ServerLimits
from endivebeam_model import Address, ConfigVersion, Member, MemberState, NodeId
from endivebeam_routing import Router

from ._clock import read_clock
from ._others_heard import OthersHeard
from ._settings import SidecarSettings
from ._target import LocalTarget

# Exceeds any sequence that the node itself may have reached without this node
# having received it.
DEATH_SEQUENCE_STEP = 1 << 20
# Shown in place of a greater or infinite age.
MAX_LOGGED_AGE_S = 3600.0


class FleetState:
    """The configuration and the member records that this node knows.

    The version of the configuration never decreases while the process runs.
    ``on_refuted`` is called after this node has raised its own incarnation, and
    ``on_returned`` with the id of another node that has raised its incarnation.
    """

    def __init__(
        self,
        *,
        settings: SidecarSettings,
        router: Router,
        limits: ServerLimits,
        on_refuted: Callable[[], None],
        on_returned: Callable[[NodeId], None],
    ) -> None:
        self._on_refuted = on_refuted
        self._on_returned = on_returned
        self._router = router
        self._limits = limits
        self.index: ConfigIndex | None = None
        # Set once all member records were received from the store or a peer. A node
        # that knows only itself would spend the allowances of the whole fleet.
        self.knows_members = False
        self.heard_others = OthersHeard()
        self._known_version = ConfigVersion(0)
        self.directory = Directory()
        self.freshness = Freshness()
        self.own = Member(
            node_id=settings.node_id,
            incarnation=settings.first_incarnation,
            sequence=0,
            address=Address(settings.peers.host, settings.peers.port),
            region=settings.region,
            domain=settings.domain,
            service=settings.service,
            slots=0,
            state=MemberState.JOINING,
        )
        self.directory.apply(self.own)

    @property
    def config_version(self) -> int:
        """Version in force; 0 before any configuration is known."""
        return self.index.config.version if self.index else 0

    @property
    def known_version(self) -> ConfigVersion:
        """Newest version that this node or another one has had in force."""
        return max(self._known_version, ConfigVersion(self.config_version))

    @property
    def is_informed(self) -> bool:
        """Whether it has the newest version that it knows of, and has heard others."""
        return self.heard_others.is_complete and (
            self.config_version == self.known_version
        )

    def record_peer_version(self, version: ConfigVersion) -> None:
        """Record a version that another node has in force."""
        self._known_version = max(self._known_version, version)

    def logged_config_age_s(self) -> float:
        """Return the age of the evidence for the configuration as logs show it."""
        return round(min(MAX_LOGGED_AGE_S, self.freshness.age_s(read_clock())), 3)

    def adopt_config(self, config: FleetConfig, *, source: NodeId) -> bool:
        """Apply a configuration if it is newer; return whether it was.

        ``source`` is the peer that sent it, or this node if it read the store.
        """
        if config.version <= self.config_version:
            return False
        logger.bind(
            version=config.version,
            previous=self.config_version,
            source="store" if source == self.own.node_id else "peer",
            peer=source,
            evidence_age_s=self.logged_config_age_s(),
            evidence_era=self.freshness.era,
        ).info("config: A new version is in force.")
        self.index = ConfigIndex(config)
        self._limits.max_header_bytes = config.limits.max_header_bytes
        self._limits.max_body_bytes = min(config.limits.max_body_bytes, MAX_BODY_BYTES)
        self._limits.header_timeout_s = config.limits.header_timeout_s
        self._limits.idle_timeout_s = config.limits.idle_timeout_s
        return True

    def update_own(self, target: LocalTarget, state: MemberState) -> bool:
        """Update this node's own record; return whether it changed."""
        announcement = target.record.current
        changed = msgspec.structs.replace(
            self.own,
            state=state,
            slots=announcement.slots if announcement else 0,
            service=announcement.service if announcement else self.own.service,
        )
        if changed == self.own:
            return False
        self.own = msgspec.structs.replace(changed, sequence=self.own.sequence + 1)
        self.directory.apply(self.own)
        return True

    def declare_dead(self, node_id: NodeId) -> None:
        """Mark a node as dead after its row was removed; it refutes this if it runs."""
        known = self.directory.find(node_id)
        if known is None or known.state in (MemberState.LEFT, MemberState.DEAD):
            return
        self.adopt_member(
            msgspec.structs.replace(
                known,
                state=MemberState.DEAD,
                sequence=known.sequence + DEATH_SEQUENCE_STEP,
            )
        )

    def adopt_member(self, member: Member) -> bool:
        """Apply a record from a peer or the store; return whether it was newer.

        A record of an earlier run of this node is refuted with a higher incarnation,
        so that all nodes adopt the record of the present run.
        """
        if member.node_id == self.own.node_id:
            if record_version(member) > record_version(self.own):
                self.own = msgspec.structs.replace(
                    self.own, incarnation=member.incarnation + 1, sequence=0
                )
                self.directory.apply(self.own)
                self._on_refuted()
                return True
            return False
        previous = self.directory.find(member.node_id)
        if not self.directory.apply(member):
            return False
        if previous is not None and member.incarnation > previous.incarnation:
            self._on_returned(member.node_id)
        serving = member.state is MemberState.SERVING
        self._router.update(member, serving=serving, now=read_clock())
        logger.bind(
            peer=member.node_id,
            service=member.service,
            state=member.state.value,
            incarnation=member.incarnation,
            sequence=member.sequence,
        ).info("members: A record changed.")
        return True
