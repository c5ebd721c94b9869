"""Selection of target nodes by the router, and probes of lost targets."""

import random

import anyio
import anyio.abc

from endivebeam_model import Member, MemberState, NodeId, ServiceName
from endivebeam_routing import CallOutcome, Router
from endivebeam_wire import PeerStream

from ._clock import read_clock
from ._members import Members
from ._peers import Peers
from ._ports import Observation

PROBE_PERIOD_S = 0.1
IDLE_PERIOD_S = 0.5


class TargetSelector:
    """Implements ``ChooseTarget`` and ``Observe`` with a ``Router``."""

    def __init__(
        self,
        *,
        members: Members,
        peers: Peers,
        tasks: anyio.abc.TaskGroup,
        rng: random.Random,
    ) -> None:
        self._members = members
        self._peers = peers
        self._tasks = tasks
        local = members.local
        self._router = Router(
            local=local.node_id, domain=local.domain, region=local.region, rng=rng
        )
        members.add_listener(self._update)

    def choose(
        self, service: ServiceName, excluded: frozenset[NodeId]
    ) -> Member | None:
        """Return a node whose target serves a service, or None."""
        serving = self._members.serving(service)
        candidates = [m for m in serving if m.node_id not in excluded]
        return self._router.choose(candidates, read_clock())

    def observe(self, node_id: NodeId, observation: Observation) -> None:
        """Record the observation of a call to a chosen node."""
        now = read_clock()
        if observation.unreachable:
            self._router.record_lost(node_id, now)
            return
        load = observation.load
        if load is not None:
            self._router.record_load(node_id, load.in_use, load.limit, now)
        latency_s = observation.latency_s or 0.0
        self._router.record_result(node_id, _to_result(observation), now, latency_s)

    def record_lost(self, stream: PeerStream) -> None:
        """Record that the stream to a node was reset or timed out."""
        if stream.remote is not None:
            self._router.record_lost(stream.remote.node_id, read_clock())

    async def run(self) -> None:
        """Probe lost targets until cancelled."""
        while True:
            for member in self._router.probes_due(read_clock()):
                self._tasks.start_soon(self._probe, member)
            has_down = self._router.has_down_targets
            await anyio.sleep(PROBE_PERIOD_S if has_down else IDLE_PERIOD_S)

    async def _probe(self, member: Member) -> None:
        hello = await self._peers.probe(member.address)
        answered = hello is not None and hello.node_id == member.node_id
        now = read_clock()
        self._router.finish_probe(member.node_id, answered=answered, now=now)

    def _update(self, member: Member) -> None:
        serving = member.state is MemberState.SERVING
        self._router.update(member, serving=serving, now=read_clock())


def _to_result(observation: Observation) -> CallOutcome:
    if observation.departing:
        return CallOutcome.DEPARTING
    if observation.failed:
        return CallOutcome.FAILED
    if observation.latency_s is not None:
        return CallOutcome.ANSWERED
    return CallOutcome.UNKNOWN
