"""Times that keep the bound within which a configuration is in force everywhere.

A few nodes, the watchers, read the store for all others. A node whose evidence that its
configuration is the newest gets too old reads the store itself. All times are fractions
of the bound, so that their sum stays below it on every deployment.
"""

import math

import msgspec

# Fractions of the bound.
WATCH_FRACTION = 0.2
SYNC_FRACTION = 0.2
FIRST_TAKEOVER_FRACTION = 0.5
LAST_TAKEOVER_FRACTION = 0.7
RETRY_FRACTION = 0.05
MAX_RETRY_FRACTION = 0.3
CALL_TIMEOUT_FRACTION = 0.2
MAX_CALL_TIMEOUT_FRACTION = 0.75
# More frequent synchronization is needed only for a short bound.
MAX_SYNC_PERIOD_S = 0.5
# Delays vary by this factor, so that nodes that fail together do not retry together.
JITTER = (0.7, 1.3)
RETRY_GROWTH = 4.0
# Part of the bound on key withdrawal for which evidence about keys is trusted.
KEY_TRUST_FRACTION = 0.72
# A watch of the store may miss changes for this long.
MAX_WATCH_LAG_S = 1.0
# Time from the check of a key until its request reaches a target.
FORWARD_S = 0.2
# Round trips of a call to the store on a new connection.
ROUND_TRIPS_PER_CALL = 2
# Round trips until a peer has a configuration of two parts: the message that there is
# one, and the parts.
ROUND_TRIPS_PER_TRANSFER = 3


class PropagationTimes(msgspec.Struct, frozen=True, kw_only=True):
    """Periods, ages and timeouts in seconds that follow from one bound.

    A watcher waits ``watch_s`` for a change and each node synchronizes with a peer
    every ``sync_period_s``. A node takes over from the watchers when its evidence is
    between ``first_takeover_s`` and ``last_takeover_s`` old, depending on its rank.
    """

    bound_s: float
    watch_s: float
    sync_period_s: float
    first_takeover_s: float
    last_takeover_s: float
    min_retry_s: float
    max_retry_s: float
    min_call_timeout_s: float
    max_call_timeout_s: float


def plan_propagation(bound_s: float) -> PropagationTimes:
    """Return the times for a bound in seconds.

    >>> plan_propagation(2.0).last_takeover_s
    1.4
    """
    return PropagationTimes(
        bound_s=bound_s,
        watch_s=WATCH_FRACTION * bound_s,
        sync_period_s=min(MAX_SYNC_PERIOD_S, SYNC_FRACTION * bound_s),
        first_takeover_s=FIRST_TAKEOVER_FRACTION * bound_s,
        last_takeover_s=LAST_TAKEOVER_FRACTION * bound_s,
        min_retry_s=RETRY_FRACTION * bound_s,
        max_retry_s=MAX_RETRY_FRACTION * bound_s,
        min_call_timeout_s=CALL_TIMEOUT_FRACTION * bound_s,
        max_call_timeout_s=MAX_CALL_TIMEOUT_FRACTION * bound_s,
    )


def compute_key_trust_s(withdrawal_s: float) -> float:
    """Return the age of evidence up to which keys are accepted.

    With evidence of that age a key that was withdrawn stops working within
    ``withdrawal_s``, even if a watch missed the change. A bound that is too short for
    that is halved.

    >>> round(compute_key_trust_s(5.0), 3)
    3.6
    """
    latest_s = withdrawal_s - MAX_WATCH_LAG_S - FORWARD_S
    return min(KEY_TRUST_FRACTION * withdrawal_s, max(latest_s, withdrawal_s / 2))


def compute_worst_case_s(times: PropagationTimes, *, round_trip_s: float) -> float:
    """Return the longest time from an acknowledged change until it is in force.

    It holds for a node that reaches the store, even if the store refuses its first
    call, and for one that only reaches such a node. ``round_trip_s`` is that of a
    message between any two nodes or to the store.
    """
    call_s = ROUND_TRIPS_PER_CALL * round_trip_s
    refused_s = call_s + times.min_retry_s * JITTER[1]
    own_read_s = times.last_takeover_s + refused_s + call_s
    transfer_s = ROUND_TRIPS_PER_TRANSFER * round_trip_s
    by_peer_s = times.last_takeover_s + call_s + transfer_s
    return max(own_read_s, by_peer_s)


def compute_takeover_age_s(
    times: PropagationTimes, *, rank: int, watchers: int, nodes: int
) -> float:
    """Return the age of its evidence at which a node reads the store itself.

    ``rank`` counts from 0 among ``nodes``, of which the first are the ``watchers``. The
    number of nodes that have taken over doubles in equal steps of the age: the first of
    them renew the evidence of all others unless they have lost the store too, and a
    large fleet does not turn to the store at once.

    >>> times = plan_propagation(2.0)
    >>> [compute_takeover_age_s(times, rank=r, watchers=3, nodes=24) for r in (3, 23)]
    [1.0, 1.4]
    """
    step = _count_doublings(rank + 1, watchers)
    last_step = _count_doublings(nodes, watchers)
    if last_step <= 1:
        return times.first_takeover_s
    fraction = min(1.0, max(0, step - 1) / (last_step - 1))
    span_s = times.last_takeover_s - times.first_takeover_s
    return times.first_takeover_s + fraction * span_s


def compute_retry_delay_s(times: PropagationTimes, *, failures: int) -> float:
    """Return the delay before the next call after ``failures`` in a row."""
    delay_s = times.min_retry_s * RETRY_GROWTH ** max(0, failures - 1)
    return min(times.max_retry_s, delay_s)


def compute_call_timeout_s(times: PropagationTimes, *, failures: int) -> float:
    """Return how long to wait for a response after ``failures`` in a row.

    The timeout grows, so that a slow store still answers in the end.
    """
    return min(times.max_call_timeout_s, times.min_call_timeout_s * 2.0**failures)


def _count_doublings(nodes: int, watchers: int) -> int:
    """Return how often the watchers must double until they are ``nodes`` or more."""
    return max(0, math.ceil(math.log2(nodes / max(1, watchers))))
