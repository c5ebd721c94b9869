"""Choice of the target for each call."""

from collections.abc import Callable, Sequence
from enum import Enum
from random import Random
from statistics import median

from endivebeam_model import DomainName, Member, NodeId, RegionName

from ._domains import Domains
from ._health import TargetHealth

MAX_PROBES_AT_ONCE = 8
PROBE_LIMIT_S = 1.0


class Result(Enum):
    """How a call to a target ended, as far as routing is concerned."""

    ANSWERED = "answered"
    FAILED = "failed"
    DEPARTING = "departing"
    UNKNOWN = "unknown"


class Router:
    """Health of the targets that this node uses, and the choice among them.

    Each ``choose`` that returns a member is followed by one ``finish`` for it,
    because the choice counts the call as outstanding.
    """

    def __init__(
        self, *, local: NodeId, domain: DomainName, region: RegionName, rng: Random
    ) -> None:
        self._local = local
        self._domain = domain
        self._region = region
        self._rng = rng
        self._targets: dict[NodeId, TargetHealth] = {}
        self._members: dict[NodeId, Member] = {}
        self._domains = Domains()
        self._gone: set[NodeId] = set()

    def choose(self, candidates: Sequence[Member], now: float) -> Member | None:
        """Return the target for a call among the serving targets of a service."""
        usable = [m for m in candidates if self._usable(m, now)]
        group = self._group(usable, now)
        if not group:
            return None
        chosen = self._pick(group, now)
        self._targets[chosen.node_id].outstanding += 1
        return chosen

    def finish(
        self,
        node_id: NodeId,
        result: Result,
        now: float,
        latency_s: float = 0.0,
    ) -> None:
        """Note how the call to a chosen target ended."""
        health = self._targets.get(node_id)
        if health is None:
            return
        health.outstanding = max(0, health.outstanding - 1)
        match result:
            case Result.ANSWERED:
                health.succeed(latency_s, now)
                self._domains.succeed(self._members[node_id].domain)
            case Result.FAILED:
                health.fail(now)
            case Result.DEPARTING:
                health.depart(now)
            case Result.UNKNOWN:
                pass
        if node_id in self._gone and not health.outstanding:
            self._forget(node_id)

    def lose(self, node_id: NodeId, now: float) -> None:
        """Note that a node could not be reached or went silent.

        This comes beside ``finish`` when it happened during a call.
        """
        health = self._targets.get(node_id)
        if health is not None and not health.down:
            health.lose(now, self._rng)
            self._domains.fail(self._members[node_id].domain, node_id)

    def report(self, node_id: NodeId, in_use: int, limit: int, now: float) -> None:
        """Take a load report of a target."""
        health = self._targets.get(node_id)
        if health is not None:
            health.report(in_use, limit, now)

    def update(self, member: Member, *, serving: bool, now: float) -> None:
        """Take a changed member record; a new life of a target starts cold."""
        old = self._members.get(member.node_id)
        if old is None:
            return
        self._members[member.node_id] = member
        if not serving:
            self._gone.add(member.node_id)
            if not self._targets[member.node_id].outstanding:
                self._forget(member.node_id)
            return
        self._gone.discard(member.node_id)
        if (member.incarnation, member.state) != (old.incarnation, old.state):
            self._targets[member.node_id].restart_ramp(now)

    @property
    def has_lost_targets(self) -> bool:
        """Whether any target gets only probes."""
        return any(health.down for health in self._targets.values())

    def probes_due(self, now: float) -> list[Member]:
        """Return the targets to probe now, a few at a time."""
        due: list[Member] = []
        for node_id, health in self._targets.items():
            member = self._members[node_id]
            if not health.down or now < health.next_probe_at:
                continue
            if not self._domains.may_probe(member.domain, now):
                continue
            if health.start_probe(now, PROBE_LIMIT_S):
                due.append(member)
            if len(due) >= MAX_PROBES_AT_ONCE:
                break
        return due

    def finish_probe(self, node_id: NodeId, *, answered: bool, now: float) -> None:
        """Take the result of a probe.

        An answer makes the whole domain reachable again, and each of its
        targets ramps up from there.
        """
        health = self._targets.get(node_id)
        if health is None:
            return
        health.finish_probe(answered, now, self._rng)
        domain = self._members[node_id].domain
        if answered and self._domains.succeed(domain):
            for other, member in self._members.items():
                if member.domain == domain:
                    self._targets[other].restart_ramp(now)

    def _usable(self, member: Member, now: float) -> bool:
        health = self._targets.get(member.node_id)
        if health is None:
            health = self._targets[member.node_id] = TargetHealth(now=now)
        self._members[member.node_id] = member
        if member.node_id == self._local:
            return True
        return health.usable(now) and not self._domains.unreachable(member.domain)

    def _group(self, usable: Sequence[Member], now: float) -> Sequence[Member]:
        own = [m for m in usable if m.domain == self._domain]
        others = [m for m in usable if m.domain != self._domain]
        if not own:
            return self._nearest(others)
        if any(self._has_spare(m, now) for m in own):
            return own
        # Only targets that themselves report spare slots relieve a full domain.
        # Without that, an overload would travel from domain to domain.
        relief = [
            m
            for m in others
            if self._targets[m.node_id].reports_spare(now) and self._has_spare(m, now)
        ]
        return self._nearest(relief) or own

    def _nearest(self, members: Sequence[Member]) -> Sequence[Member]:
        return [m for m in members if m.region == self._region] or members

    def _has_spare(self, member: Member, now: float) -> bool:
        # Without the ramp: to a node that just started every target looks cold,
        # and its calls would cross domains for that alone.
        health = self._targets[member.node_id]
        return health.load(now) < health.limit(member.slots, now)

    def _pick(self, group: Sequence[Member], now: float) -> Member:
        if len(group) == 1:
            return group[0]
        score = self._scorer(group, now)
        local = next((m for m in group if m.node_id == self._local), None)
        if local is not None:
            other = self._rng.choice([m for m in group if m is not local])
            return local if score(local) <= score(other) else other
        first, second = self._rng.sample(group, 2)
        return first if score(first) <= score(second) else second

    def _scorer(self, group: Sequence[Member], now: float) -> Callable[[Member], float]:
        known = [
            latency_s
            for m in group
            if (latency_s := self._targets[m.node_id].latency_s) is not None
        ]
        usual_latency_s = median(known) if len(known) > 1 else None

        def score(member: Member) -> float:
            health = self._targets[member.node_id]
            capacity = health.limit(member.slots, now) * health.ramp(now)
            trust = health.trust(now, usual_latency_s)
            return (health.load(now) + 1.0) / (capacity * trust)

        return score

    def _forget(self, node_id: NodeId) -> None:
        del self._targets[node_id]
        del self._members[node_id]
        self._gone.discard(node_id)
