"""Prometheus metrics of one node.

They count complete requests, refusals (by reason, and by whether the request was
within its account's rate) and outcomes per client account, and measure latency.
Only requests that enter the fleet at this node are counted, so sums over all nodes
count each request once.
"""

from collections.abc import Callable
from enum import Enum
from typing import Generic, TypeVar

import msgspec
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from endivebeam_model import (
    AccountId,
    Objectives,
    Refusal,
    RefusalReason,
    RunStatus,
    ServiceName,
    Snapshot,
)

MAX_LABEL_VALUES = 200
OTHER_LABEL = "other"
OPEN_LABEL = "open"
LATENCY_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)

T = TypeVar("T")


class RequestOutcome(Enum):
    """Outcome of a request, as counted for the caller's account."""

    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED_WITHIN_RATE = "refused_within_rate"
    REFUSED_OVER_RATE = "refused_over_rate"
    REJECTED = "rejected"
    CANCELLED = "cancelled"


_CALLER_FAULTS = frozenset(
    {
        RefusalReason.BAD_REQUEST,
        RefusalReason.CONTEXT_MISSING,
        RefusalReason.CHAIN_TOO_DEEP,
        RefusalReason.KEY_MISSING,
        RefusalReason.KEY_UNKNOWN,
        RefusalReason.KEY_WITHDRAWN,
        RefusalReason.SERVICE_NOT_ALLOWED,
        RefusalReason.NO_ROUTE,
        RefusalReason.REQUEST_TIMEOUT,
        RefusalReason.CALL_IN_PROGRESS,
        RefusalReason.BODY_TOO_LARGE,
        RefusalReason.HEADERS_TOO_LARGE,
        RefusalReason.KEY_REUSED,
        RefusalReason.IDEMPOTENCY_KEY_REQUIRED,
    }
)


class RequestStats(msgspec.Struct, kw_only=True):
    """Statistics of one request at the caller port.

    ``status`` is None if the request ended with a refusal or the caller
    disconnected before the response.
    """

    service: ServiceName = ServiceName("")
    account: AccountId = AccountId("")
    objectives: Objectives | None = None
    status: int | None = None
    refusal: Refusal | None = None
    latency_s: float = 0.0

    @property
    def outcome(self) -> RequestOutcome:
        """Outcome of the request."""
        if self.refusal is not None:
            return classify_refusal(self.refusal)
        if self.status is None:
            return RequestOutcome.CANCELLED
        if self.status >= 500:
            return RequestOutcome.FAILED
        return RequestOutcome.COMPLETE

    @property
    def slow(self) -> bool:
        """Whether a complete response took longer than the objective."""
        if self.objectives is None:
            return False
        return self.latency_s * 1000 > self.objectives.latency_ms


def classify_refusal(refusal: Refusal) -> RequestOutcome:
    """Return the outcome that a refused request is counted under.

    Only refusals by the rate limit concern requests over the rate. Every other
    refusal that is not the caller's fault rejects a request within the rate; it
    counts as failed if the call may have run.
    """
    if refusal.reason is RefusalReason.RATE_EXCEEDED:
        return RequestOutcome.REFUSED_OVER_RATE
    if refusal.reason in _CALLER_FAULTS:
        return RequestOutcome.REJECTED
    if refusal.run is RunStatus.NOT_RUN:
        return RequestOutcome.REFUSED_WITHIN_RATE
    return RequestOutcome.FAILED


_WITHIN_RATE = {
    RequestOutcome.REFUSED_OVER_RATE: "no",
    RequestOutcome.REJECTED: "not_counted",
}


class _BoundedChildren(Generic[T]):
    """Children of a metric by label value.

    Label values after the first ``MAX_LABEL_VALUES`` share the child ``other``.
    """

    def __init__(self, create: Callable[[str], T]) -> None:
        self._create = create
        self._children: dict[str, T] = {}

    def get(self, value: str) -> T:
        child = self._children.get(value)
        if child is not None:
            return child
        if len(self._children) >= MAX_LABEL_VALUES:
            value = OTHER_LABEL
        return self._children.setdefault(value, self._create(value))


class Metrics:
    """Counters of this node; ``record`` is called once for each request."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        complete = Counter(
            "endivebeam_requests_complete",
            "Requests that got a complete response of a target.",
            ["service"],
            registry=self._registry,
        )
        refusals = Counter(
            "endivebeam_refusals",
            "Refused requests; within_rate tells wrongful ones apart.",
            ["reason", "within_rate"],
            registry=self._registry,
        )
        latency = Histogram(
            "endivebeam_request_seconds",
            "Time from the whole request to the whole response.",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        outcomes = Counter(
            "endivebeam_account_outcomes",
            "Requests of a client account by how they ended.",
            ["account", "outcome"],
            registry=self._registry,
        )
        slow = Counter(
            "endivebeam_account_slow",
            "Complete responses slower than the account's latency objective.",
            ["account"],
            registry=self._registry,
        )
        self._objective = Gauge(
            "endivebeam_account_objective",
            "Availability objective of a client account.",
            ["account"],
            registry=self._registry,
        )
        self._refusals = refusals
        self._complete = _BoundedChildren(lambda name: complete.labels(name))
        self._latency = _BoundedChildren(lambda name: latency.labels(name))
        self._slow = _BoundedChildren(lambda name: slow.labels(name))
        self._outcomes = {
            outcome: _BoundedChildren(_label_outcome(outcomes, outcome))
            for outcome in RequestOutcome
        }

    def record(self, stats: RequestStats) -> None:
        """Count one request that ended."""
        outcome = stats.outcome
        account = stats.account or OPEN_LABEL
        self._outcomes[outcome].get(account).inc()
        if outcome is RequestOutcome.COMPLETE:
            # Complete requests had a route, so callers cannot add label values by
            # sending unknown service names.
            self._complete.get(stats.service).inc()
            self._latency.get(stats.service).observe(stats.latency_s)
            if stats.slow:
                self._slow.get(account).inc()
        if stats.refusal is not None:
            within = _WITHIN_RATE.get(outcome, "yes")
            self._refusals.labels(stats.refusal.reason.value, within).inc()

    def set_objectives(self, snapshot: Snapshot) -> None:
        """Export the objectives of the contracts in force, for burn-rate alerts."""
        self._objective.clear()
        for account in sorted(snapshot.contracts)[:MAX_LABEL_VALUES]:
            objectives = snapshot.contracts[account].objectives
            self._objective.labels(account).set(objectives.availability)

    def add_gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read at each scrape."""
        gauge = Gauge(f"endivebeam_{name}", text, registry=self._registry)
        gauge.set_function(read)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)


def _label_outcome(
    outcomes: Counter, outcome: RequestOutcome
) -> Callable[[str], Counter]:
    return lambda account: outcomes.labels(account, outcome.value)
