"""Selection of the target for each call."""

import math
from collections.abc import Sequence
from enum import Enum
from random import Random
from statistics import median

from endivebeam_model import DomainName, Member, NodeId, RegionName

from ._domains import DomainHealth
from ._health import TargetHealth

MAX_PROBES_AT_ONCE = 8
PROBE_TIMEOUT_S = 1.0
# The median latency of a group of targets is computed again after this time.
MEDIAN_PERIOD_S = 0.25
# Lists of candidates whose targets in the own domain are remembered.
MAX_REMEMBERED_LISTS = 64


class CallOutcome(Enum):
    """Outcome of a call to a target for the purpose of routing."""

    ANSWERED = "answered"
    FAILED = "failed"
    DEPARTING = "departing"
    UNKNOWN = "unknown"


class _OwnGroup:
    """The candidates in the domain of this node, of one list of candidates."""

    __slots__ = ("candidates", "local", "median_at", "median_latency_s", "members")

    def __init__(
        self,
        *,
        candidates: Sequence[Member],
        members: list[Member],
        local: Member | None,
    ) -> None:
        self.candidates = candidates
        self.members = members
        self.local = local
        self.median_latency_s: float | None = None
        self.median_at = -math.inf


class Router:
    """Tracks the health of the targets that this node uses and selects among them.

    The caller must call ``record_result`` once for each member that ``choose`` returns,
    because ``choose`` counts the call as outstanding.
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
        self._domains = DomainHealth()
        # Targets that no longer serve, kept until their outstanding calls end.
        self._removed: set[NodeId] = set()
        self._own_groups: dict[int, _OwnGroup] = {}

    def choose(self, candidates: Sequence[Member], now: float) -> Member | None:
        """Select a target among the serving targets of a service.

        Returns None if no target is usable.
        """
        chosen = self._choose_quickly(candidates, now)
        if chosen is None:
            group = self._preferred_group(candidates, now)
            if not group:
                return None
            chosen = self._select(group, now)
        self._targets[chosen.node_id].outstanding += 1
        return chosen

    def record_result(
        self,
        node_id: NodeId,
        result: CallOutcome,
        now: float,
        latency_s: float = 0.0,
    ) -> None:
        """Record the outcome of a call to a chosen target."""
        health = self._targets.get(node_id)
        if health is None:
            return
        health.outstanding = max(0, health.outstanding - 1)
        match result:
            case CallOutcome.ANSWERED:
                health.record_success(latency_s, now)
                self._domains.record_success(self._members[node_id].domain)
            case CallOutcome.FAILED:
                health.record_failure(now)
            case CallOutcome.DEPARTING:
                health.mark_departing(now)
            case CallOutcome.UNKNOWN:
                pass
        if node_id in self._removed and not health.outstanding:
            self._remove(node_id)

    def record_lost(self, node_id: NodeId, now: float) -> None:
        """Record that a node could not be reached or stopped responding.

        If this happened during a call, ``record_result`` must be called as well.
        """
        health = self._targets.get(node_id)
        if health is not None and not health.down:
            health.mark_down(now, self._rng)
            self._domains.record_failure(self._members[node_id].domain, node_id)

    def record_load(self, node_id: NodeId, in_use: int, limit: int, now: float) -> None:
        """Record a load report from a target."""
        health = self._targets.get(node_id)
        if health is not None:
            health.record_load(in_use, limit, now)

    def update(self, member: Member, *, serving: bool, now: float) -> None:
        """Apply a changed member record.

        A target with a new incarnation or state starts cold.
        """
        old = self._members.get(member.node_id)
        if old is None:
            return
        self._members[member.node_id] = member
        if not serving:
            self._removed.add(member.node_id)
            if not self._targets[member.node_id].outstanding:
                self._remove(member.node_id)
            return
        self._removed.discard(member.node_id)
        if (member.incarnation, member.state) != (old.incarnation, old.state):
            self._targets[member.node_id].restart_ramp(now)

    @property
    def has_down_targets(self) -> bool:
        """Whether any target is down and gets only probes."""
        return any(health.down for health in self._targets.values())

    def probes_due(self, now: float) -> list[Member]:
        """Return the targets to probe now, at most ``MAX_PROBES_AT_ONCE``."""
        due: list[Member] = []
        for node_id, health in self._targets.items():
            member = self._members[node_id]
            if not health.down or now < health.next_probe_at:
                continue
            if not self._domains.may_probe(member.domain, now):
                continue
            if health.start_probe(now, PROBE_TIMEOUT_S):
                due.append(member)
            if len(due) >= MAX_PROBES_AT_ONCE:
                break
        return due

    def finish_probe(self, node_id: NodeId, *, answered: bool, now: float) -> None:
        """Record the result of a probe.

        A successful probe makes the whole domain reachable. If the domain was
        unreachable, all of its targets start a new ramp.
        """
        health = self._targets.get(node_id)
        if health is None:
            return
        health.finish_probe(answered, now, self._rng)
        domain = self._members[node_id].domain
        if answered and self._domains.record_success(domain):
            for other, member in self._members.items():
                if member.domain == domain:
                    self._targets[other].restart_ramp(now)

    def _choose_quickly(
        self, candidates: Sequence[Member], now: float
    ) -> Member | None:
        """Select one of two targets of the own domain, or None if neither suits.

        The other targets are not examined, so that a choice costs the same in a domain
        of any size.
        """
        group = self._find_own_group(candidates)
        pair = self._draw_pair(group.members, group.local)
        if not pair or not all(self._is_usable(m, now) for m in pair):
            return None
        if not any(self._has_spare_slots(m, now) for m in pair):
            return None
        if now - group.median_at > MEDIAN_PERIOD_S:
            group.median_at = now
            group.median_latency_s = self._median_latency_s(group.members)
        return self._select_better(pair, group.median_latency_s, now)

    def _find_own_group(self, candidates: Sequence[Member]) -> _OwnGroup:
        group = self._own_groups.get(id(candidates))
        if group is None or group.candidates is not candidates:
            members = [m for m in candidates if m.domain == self._domain]
            local = next((m for m in members if m.node_id == self._local), None)
            group = _OwnGroup(candidates=candidates, members=members, local=local)
            if len(self._own_groups) >= MAX_REMEMBERED_LISTS:
                self._own_groups.clear()
            self._own_groups[id(candidates)] = group
        return group

    def _is_usable(self, member: Member, now: float) -> bool:
        health = self._targets.get(member.node_id)
        if health is None:
            health = self._targets[member.node_id] = TargetHealth(now=now)
        self._members[member.node_id] = member
        if member.node_id == self._local:
            return True
        return health.is_usable(now) and not self._domains.is_unreachable(member.domain)

    def _preferred_group(
        self, candidates: Sequence[Member], now: float
    ) -> Sequence[Member]:
        domain = self._domain
        own = [m for m in candidates if m.domain == domain and self._is_usable(m, now)]
        if any(self._has_spare_slots(m, now) for m in own):
            return own
        # Targets elsewhere are examined only if this domain cannot take the call.
        others = [
            m for m in candidates if m.domain != domain and self._is_usable(m, now)
        ]
        if not own:
            return self._nearest(others)
        # Other domains get calls of a full domain only at targets that report spare
        # slots themselves. Otherwise an overload would spread from domain to domain.
        overflow = [
            m
            for m in others
            if self._targets[m.node_id].reports_spare_slots(now)
            and self._has_spare_slots(m, now)
        ]
        return self._nearest(overflow) or own

    def _nearest(self, members: Sequence[Member]) -> Sequence[Member]:
        return [m for m in members if m.region == self._region] or members

    def _has_spare_slots(self, member: Member, now: float) -> bool:
        # The ramp is not applied here. To a node that has just started, every target
        # looks cold, and with the ramp its calls would leave the domain only for that.
        health = self._targets[member.node_id]
        return health.load(now) < health.limit(member.slots, now)

    def _select(self, group: Sequence[Member], now: float) -> Member:
        local = next((m for m in group if m.node_id == self._local), None)
        pair = self._draw_pair(group, local)
        return self._select_better(pair, self._median_latency_s(group), now)

    def _draw_pair(
        self, group: Sequence[Member], local: Member | None
    ) -> Sequence[Member]:
        # Power of two choices; the target of this node is always one of the two.
        if len(group) <= 1:
            return group
        if local is None:
            return self._rng.sample(group, 2)
        other = local
        while other is local:
            other = group[int(self._rng.random() * len(group))]
        return (local, other)

    def _select_better(
        self, pair: Sequence[Member], median_latency_s: float | None, now: float
    ) -> Member:
        if len(pair) == 1:
            return pair[0]
        first, second = pair
        first_score = self._score(first, median_latency_s, now)
        return (
            first
            if first_score <= self._score(second, median_latency_s, now)
            else second
        )

    def _score(
        self, member: Member, median_latency_s: float | None, now: float
    ) -> float:
        health = self._targets[member.node_id]
        capacity = health.limit(member.slots, now) * health.ramp_factor(now)
        health_factor = health.health_factor(now, median_latency_s)
        return (health.load(now) + 1.0) / (capacity * health_factor)

    def _median_latency_s(self, group: Sequence[Member]) -> float | None:
        """Return the median latency of the targets with known latency."""
        known = [self._targets.get(m.node_id) for m in group]
        latencies_s = [
            health.latency_s
            for health in known
            if health is not None and health.latency_s is not None
        ]
        return median(latencies_s) if len(latencies_s) > 1 else None

    def _remove(self, node_id: NodeId) -> None:
        del self._targets[node_id]
        del self._members[node_id]
        self._removed.discard(node_id)
