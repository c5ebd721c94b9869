"""Admission of calls to the target beside a node.

The node is the only sender to its target, so it knows exactly how many calls are
in progress there. Calls above the target's concurrency limit wait in a queue ordered
by urgency. A call is rejected as soon as it could only start too late to be useful.
"""

import math
from collections.abc import Callable

from ._target_rate_limit import TargetRateLimit
from ._tickets import CallKind, Ticket, TicketState, WaitingCalls

# Fraction of the announced slots that is used, because some targets slow down when
# nearly all of them are busy.
USED_SLOT_FRACTION = 0.94
# Further factor during a cold start: a target that has just started is slower by
# about this factor.
COLD_SLOT_FRACTION = 0.6
# Maximum wait as a fraction of the latency objective. A call that is rejected early
# can still be served by another target or by the caller's own retry.
WAIT_FRACTION = 0.25
# Maximum wait of an internal call as a fraction of the time to its deadline. It is
# larger because a rejection wastes the work already done for the request.
INTERNAL_WAIT_FRACTION = 0.5
INITIAL_HOLD_S = 0.05
HOLD_EWMA_WEIGHT = 0.05
# Number of waiting calls that are no sign of overload.
SHORT_QUEUE = 2
# Calls that run until the first answer of a target that was running before its node. It
# may have named a limit to the node's earlier process.
UNCONFIRMED_LIMIT = 4
# Maximum number of waiting calls of one kind.
MAX_WAITING = 256
# Calls count for the served part of their kind for about this long.
SERVED_WINDOW_S = 3.0
# A kind whose served part is below this fraction of that of all calls goes first.
MIN_SERVED_RATIO = 0.65
# The callers of internal calls are asked for fewer of them from this fraction on. A
# rejected internal call costs a whole request, a request of a caller only itself.
FAIR_SERVED_RATIO = 0.8
# A smaller part that was admitted before a call arrived counts as this, so that the
# target's own requests aren't starved to make up for what others reject.
MIN_ADMITTED_PART = 0.3


class _ServedPart:
    """Part of the recent calls that were not rejected."""

    __slots__ = ("_offered", "_rejected", "_updated_at")

    def __init__(self) -> None:
        self._offered = 0.0
        self._rejected = 0.0
        self._updated_at = 0.0

    def record_offer(self, now: float, demand: float) -> None:
        """Count a call that arrived; older ones lose weight with time.

        ``demand`` is the number of requests of which one was admitted before.
        """
        weight = math.exp((self._updated_at - now) / SERVED_WINDOW_S)
        self._updated_at = now
        self._offered = self._offered * weight + demand
        self._rejected = self._rejected * weight + demand - 1.0

    def record_rejection(self) -> None:
        """Count a call that was rejected."""
        self._rejected += 1.0

    def weight(self, now: float) -> float:
        """Return the number of recent calls, which falls with time."""
        return self._offered * math.exp((self._updated_at - now) / SERVED_WINDOW_S)

    @property
    def part(self) -> float:
        """Calls that were not rejected as a part of the offered ones; 1 without any."""
        return 1.0 - self._rejected / self._offered if self._offered else 1.0


class _Group:
    """Running and waiting calls of one kind, and their mean hold time.

    The hold time of a call is how long it occupies a slot of the target.
    """

    __slots__ = ("demand", "hold_s", "running", "served", "waiting")

    def __init__(self) -> None:
        self.running = 0
        self.demand = 0.0
        self.waiting = WaitingCalls()
        self.hold_s = INITIAL_HOLD_S
        self.served = _ServedPart()


class AdmissionQueue:
    """Queue and concurrency limit of the calls to the local target.

    Calls of a kind that is rejected much more often than the others start first, so
    that many calls of one kind cannot starve another.
    """

    def __init__(self) -> None:
        self._served = _ServedPart()
        self._groups: dict[CallKind, _Group] = {}
        self._warm_limit = 0
        self._cold_limit = 0
        self._running = 0
        self._waiting = 0
        self._rank_sum = 0.0
        self._cold_until = 0.0
        self._is_confirmed = True
        self.rate_limit = TargetRateLimit()

    @property
    def running(self) -> int:
        """Number of running calls."""
        return self._running

    @property
    def waiting(self) -> int:
        """Number of waiting calls."""
        return self._waiting

    @property
    def hold_s(self) -> float:
        """Mean hold time of the running calls in seconds.

        Without running calls, it is the longest mean hold time of any kind.
        """
        running = self.running
        if not running:
            holds_s = [group.hold_s for group in self._groups.values()]
            return max(holds_s, default=INITIAL_HOLD_S)
        groups = self._groups.values()
        return sum(group.running * group.hold_s for group in groups) / running

    @property
    def longest_hold_s(self) -> float:
        """Longest mean hold time of any kind of caller requests, in seconds."""
        return max(
            (g.hold_s for kind, g in self._groups.items() if not kind.internal),
            default=0.0,
        )

    @property
    def mean_rank(self) -> float | None:
        """Mean rank of the running calls; None when none is running.

        The target's own calls do not identify the request that they belong to, so
        their rank is estimated by this mean.
        """
        running = self.running
        return self._rank_sum / running if running else None

    def mean_admitted_part(self, calls_per_run: Callable[[CallKind], float]) -> float:
        """Return which part of the requests was admitted whose calls the target makes.

        It is the mean over the running calls, as for the rank, but each kind counts by
        the calls that one run of it makes.
        """
        running = demand = 0.0
        for kind, group in self._groups.items():
            if group.running:
                calls = calls_per_run(kind)
                running += calls * group.running
                demand += calls * group.demand
        return running / demand if demand else 1.0

    def running_of(self, kind: CallKind) -> int:
        """Return the number of running calls of a kind."""
        return self._group(kind).running

    def limit(self, now: float) -> int:
        """Return how many calls may run at once."""
        slots = self._cold_limit if now < self._cold_until else self._warm_limit
        return slots if self._is_confirmed else min(slots, UNCONFIRMED_LIMIT)

    def usable_limit(self, now: float) -> int:
        """Return how many calls run at once if the target gets all that it takes."""
        running = self.rate_limit.running_at(self.hold_s)
        return max(1, int(min(self.limit(now), running)))

    def start_lifetime(self, *, confirmed: bool) -> None:
        """Forget what the target named in an earlier lifetime.

        Few calls run until ``confirm`` if it may have named a limit that isn't known.
        """
        self._is_confirmed = confirmed
        self.rate_limit.reset()

    def confirm(self) -> None:
        """Record that the target has answered in this lifetime."""
        self._is_confirmed = True

    def next_start_s(self, now: float) -> float | None:
        """Return the time in seconds until the rate limit lets a waiting call start.

        None if no call waits, or if those that wait need a slot.
        """
        if not self._waiting or self._running >= self.limit(now):
            return None
        return self.rate_limit.wait_s(now)

    def configure(self, *, slots: int, cold_left_s: float, now: float) -> None:
        """Set the announced slots and the remaining time of the cold start."""
        self._warm_limit = _limit_of_slots(slots, USED_SLOT_FRACTION)
        self._cold_limit = _limit_of_slots(
            slots, USED_SLOT_FRACTION * COLD_SLOT_FRACTION
        )
        self._cold_until = now + cold_left_s

    def expected_wait_s(self, now: float, urgency: float, kind: CallKind) -> float:
        """Estimate the wait in seconds of a call of that urgency and kind."""
        own = self._group(kind)
        groups = (own,) if self._is_underserved(own) else self._groups.values()
        ahead = sum(group.waiting.count_ahead(urgency) for group in groups)
        limit = max(1, self.limit(now))
        excess = self._running + ahead + 1 - limit
        for_slot_s = max(0.0, excess * self.hold_s / limit)
        return max(for_slot_s, self.rate_limit.wait_s(now, ahead=ahead))

    def unfairness(self, now: float) -> float:
        """Return from 0 to 1 how much less of some kind of requests is served.

        The comparison is with a fair fraction of the common served part; 0 means that
        each kind has it. The callers of internal calls get this as pressure.
        """
        fair = FAIR_SERVED_RATIO * self._served.part
        if fair <= 0.0:
            return 0.0
        least = min(
            (
                group.served.part
                for kind, group in self._groups.items()
                if not kind.internal and group.served.weight(now) >= 1.0
            ),
            default=fair,
        )
        return min(1.0, max(0.0, 1.0 - least / fair))

    def backlog_s(self, now: float) -> float:
        """Estimate the time in seconds until the calls of a long queue have started.

        Running calls and a short queue don't count: where a target has few slots, all
        of them are often busy, and a call or two wait, although there is capacity.
        """
        excess = max(0, self._waiting - SHORT_QUEUE)
        return excess * self.hold_s / self.usable_limit(now)

    def arrive(self, ticket: Ticket, now: float) -> None:
        """Start, queue or reject a call, and set its state accordingly."""
        group = self._group(ticket.kind)
        demand = _demand_of(ticket) if ticket.kind.internal else 1.0
        group.served.record_offer(now, demand)
        self._served.record_offer(now, demand)
        ticket.latest_start = self._latest_start(ticket, group)
        # With a rate limit, room comes with time, before anybody has started those that
        # wait for it.
        is_limited = self.rate_limit.rate is not None
        is_next = not (self._waiting if is_limited else group.waiting)
        if is_next and self._has_room(now):
            self._start(ticket, group, now)
            return
        expected_s = self.expected_wait_s(now, ticket.urgency, ticket.kind)
        is_full = len(group.waiting) >= MAX_WAITING
        if is_full or now + expected_s > ticket.latest_start:
            self._reject(ticket, group)
            return
        group.waiting.add(ticket)
        self._waiting += 1

    def release(self, ticket: Ticket, now: float, *, ran_to_end: bool) -> None:
        """End a call, whether it is waiting or running.

        ``ran_to_end`` includes its hold time in the mean of its kind.
        """
        group = self._group(ticket.kind)
        state, ticket.state = ticket.state, TicketState.DONE
        if state is TicketState.WAITING:
            group.waiting.decrement()
            self._waiting -= 1
        elif state is TicketState.RUNNING:
            group.running -= 1
            self._running -= 1
            self._rank_sum -= ticket.rank
            group.demand -= _demand_of(ticket)
            if ran_to_end:
                held_s = now - ticket.started_at
                group.hold_s += HOLD_EWMA_WEIGHT * (held_s - group.hold_s)

    def reject(self, ticket: Ticket) -> None:
        """Reject a waiting call that is overdue."""
        group = self._group(ticket.kind)
        group.waiting.decrement()
        self._waiting -= 1
        self._reject(ticket, group)

    def next_changes(self, now: float) -> list[Ticket]:
        """Start waiting calls or reject overdue ones; return those that changed."""
        changed: list[Ticket] = []
        while self._waiting and (ticket := self._next_ticket(now)) is not None:
            group = self._group(ticket.kind)
            group.waiting.pop_first()
            self._waiting -= 1
            if now > ticket.latest_start:
                self._reject(ticket, group)
            else:
                self._start(ticket, group, now)
            changed.append(ticket)
        return changed

    def reject_all(self) -> list[Ticket]:
        """Reject all waiting calls, because the target accepts no more work."""
        tickets = [
            ticket
            for group in self._groups.values()
            for ticket in group.waiting.clear()
        ]
        self._waiting = 0
        for ticket in tickets:
            ticket.state = TicketState.REFUSED
        return tickets

    def _next_ticket(self, now: float) -> Ticket | None:
        """Return the most urgent call that may start or is overdue."""
        has_room = self._has_room(now)
        ready = [
            (not self._is_underserved(group), ticket.urgency, ticket)
            for group in self._groups.values()
            if (ticket := group.waiting.first()) is not None
            and (has_room or now > ticket.latest_start)
        ]
        return min(ready, key=_sort_key)[2] if ready else None

    def _has_room(self, now: float) -> bool:
        has_slot = self._running < self.limit(now)
        return has_slot and self.rate_limit.wait_s(now) <= 0.0

    def _is_underserved(self, group: _Group) -> bool:
        return group.served.part < MIN_SERVED_RATIO * self._served.part

    def _latest_start(self, ticket: Ticket, group: _Group) -> float:
        if ticket.kind.internal:
            wait_s = INTERNAL_WAIT_FRACTION * (ticket.deadline - ticket.arrived_at)
        else:
            wait_s = WAIT_FRACTION * ticket.objective_s
        return min(ticket.arrived_at + wait_s, ticket.deadline - group.hold_s)

    def _start(self, ticket: Ticket, group: _Group, now: float) -> None:
        ticket.state = TicketState.RUNNING
        ticket.started_at = now
        self.rate_limit.spend(now)
        group.running += 1
        self._running += 1
        self._rank_sum += ticket.rank
        group.demand += _demand_of(ticket)

    def _reject(self, ticket: Ticket, group: _Group) -> None:
        ticket.state = TicketState.REFUSED
        group.served.record_rejection()
        self._served.record_rejection()

    def _group(self, kind: CallKind) -> _Group:
        group = self._groups.get(kind)
        if group is None:
            group = self._groups[kind] = _Group()
        return group


def _demand_of(ticket: Ticket) -> float:
    return 1.0 / min(1.0, max(MIN_ADMITTED_PART, ticket.admitted_part))


def _limit_of_slots(slots: int, fraction: float) -> int:
    return max(1, round(slots * fraction)) if slots else 0


def _sort_key(ready: tuple[bool, float, Ticket]) -> tuple[bool, float]:
    return ready[:2]
