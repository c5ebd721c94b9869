"""Prometheus metrics of a node."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from endivebeam_http import Exchange, Field, Response
from endivebeam_wire import ForwardOutcome

_BUCKETS_S = (0.002, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class SidecarMetrics:
    """All metrics of a node; every label has a fixed set of values."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        self._requests: dict[str, tuple[Counter, Histogram]] = {}
        self.requests = Counter(
            "endivebeam_requests",
            "Requests of callers by how they ended.",
            ["outcome"],
            registry=self.registry,
        )
        self.attempts = Counter(
            "endivebeam_attempts",
            "Calls offered to targets by outcome.",
            ["outcome"],
            registry=self.registry,
        )
        self.latency = Histogram(
            "endivebeam_request_seconds",
            "Time from a request's arrival to its answer.",
            ["outcome"],
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.target_latency = Histogram(
            "endivebeam_target_seconds",
            "Time that the local target took for a call.",
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.cancelled_calls = Counter(
            "endivebeam_withdrawn_calls",
            "Calls to the local target that nobody waited for any more.",
            registry=self.registry,
        )
        self.loop_lag = Histogram(
            "endivebeam_loop_lag_seconds",
            "How late the event loop ran a timer, sampled twice a second.",
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.running = self._gauge("running_calls", "Calls at the local target.")
        self.waiting = self._gauge("waiting_calls", "Calls waiting for the target.")
        self.members = self._gauge("members", "Nodes known and not gone.")
        self.config_version = self._gauge("config_version", "Version in force.")
        self.config_age = self._gauge(
            "config_age_seconds", "Age of the evidence that the version is the newest."
        )
        self.store_calls = Counter(
            "endivebeam_store_calls",
            "Calls to the platform's store by result.",
            ["result"],
            registry=self.registry,
        )

        self._attempts = {
            outcome: self.attempts.labels(outcome.name.lower())
            for outcome in ForwardOutcome
        }

    def count_attempt(self, outcome: ForwardOutcome) -> None:
        """Count an attempt to send a call to a target."""
        self._attempts[outcome].inc()

    def observe_request(self, outcome: str, took_s: float) -> None:
        """Count a request of a caller by outcome and observe its duration."""
        # Looking up a label costs more than counting.
        labelled = self._requests.get(outcome)
        if labelled is None:
            labelled = (self.requests.labels(outcome), self.latency.labels(outcome))
            self._requests[outcome] = labelled
        counter, histogram = labelled
        counter.inc()
        histogram.observe(took_s)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"endivebeam_{name}", text, registry=self.registry)

    async def handle(self, exchange: Exchange) -> Response:
        """Return the metrics in the Prometheus text format."""
        return Response(
            status=200,
            fields=[Field(b"content-type", b"text/plain; version=0.0.4")],
            body=generate_latest(self.registry),
        )
