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

from ._call_metrics import BUCKETS_S, CallCollector

_OUTCOME_NAMES = {outcome: outcome.name.lower() for outcome in ForwardOutcome}


class SidecarMetrics:
    """All metrics of a node; every label has a fixed set of values."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        self._calls = CallCollector()
        self.registry.register(self._calls)
        self.observe_request = self._calls.observe_request
        self.observe_target_latency = self._calls.target_latency.observe
        self.cancelled_calls = Counter(
            "endivebeam_withdrawn_calls",
            "Calls to the local target that nobody waited for any more.",
            registry=self.registry,
        )
        self.rejected_input = Counter(
            "endivebeam_rejected_input",
            "Requests rejected while they were received, by status.",
            ["status"],
            registry=self.registry,
        )
        self.loop_lag = Histogram(
            "endivebeam_loop_lag_seconds",
            "How late the event loop ran a timer, sampled twice a second.",
            buckets=BUCKETS_S,
            registry=self.registry,
        )
        self.running = self._gauge("running_calls", "Calls at the local target.")
        self.waiting = self._gauge("waiting_calls", "Calls waiting for the target.")
        self.held_bytes = self._gauge(
            "held_response_bytes", "Bytes of responses that callers have not taken."
        )
        self.budget_used = self._gauge(
            "budget_used_bytes", "Bytes held for callers, targets and other nodes."
        )
        self.members = self._gauge("members", "Nodes known and not gone.")
        self.config_version = self._gauge("config_version", "Version in force.")
        self.config_age = self._gauge(
            "config_age_seconds", "Age of the evidence that the version is the newest."
        )
        self.config_era = self._gauge(
            "config_era", "Era of the platform's store in which the evidence was read."
        )
        self.store_calls = Counter(
            "endivebeam_store_calls",
            "Calls to the platform's store by result.",
            ["result"],
            registry=self.registry,
        )

    def count_attempt(self, outcome: ForwardOutcome) -> None:
        """Count an attempt to send a call to a target."""
        self._calls.attempts[_OUTCOME_NAMES[outcome]] += 1

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"endivebeam_{name}", text, registry=self.registry)

    async def handle(self, exchange: Exchange) -> Response:
        """Return the metrics in the Prometheus text format."""
        return Response(
            status=200,
            fields=[Field(b"content-type", b"text/plain; version=0.0.4")],
            body=generate_latest(self.registry),
        )
