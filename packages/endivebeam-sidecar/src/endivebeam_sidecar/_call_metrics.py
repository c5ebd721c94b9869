"""Counts of requests and attempts that cost little where they are counted.

The counters of ``prometheus_client`` take a lock and several function calls for each
sample, several times a call. These are plain numbers, which a collector turns into
metrics when they are read.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Iterator

from prometheus_client.core import CounterMetricFamily, HistogramMetricFamily, Metric
from prometheus_client.registry import Collector

BUCKETS_S = (0.002, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class LatencyCounts:
    """Number of samples for each bucket of a histogram, and their sum."""

    __slots__ = ("_counts", "_sum_s")

    def __init__(self) -> None:
        self._counts = [0] * (len(BUCKETS_S) + 1)
        self._sum_s = 0.0

    def observe(self, latency_s: float) -> None:
        """Add a sample."""
        self._counts[bisect_left(BUCKETS_S, latency_s)] += 1
        self._sum_s += latency_s

    def add_to(self, family: HistogramMetricFamily, labels: list[str]) -> None:
        """Add the histogram to a metric."""
        buckets: list[tuple[str, float]] = []
        total = 0
        for bound, count in zip((*BUCKETS_S, float("inf")), self._counts, strict=True):
            total += count
            buckets.append((_format_bound(bound), total))
        family.add_metric(labels, buckets, self._sum_s)


class CallCollector(Collector):
    """Requests of callers and attempts by outcome, and the time that they took."""

    def __init__(self) -> None:
        self.attempts: Counter[str] = Counter()
        self.target_latency = LatencyCounts()
        self._requests: Counter[str] = Counter()
        self._latencies: dict[str, LatencyCounts] = {}

    def observe_request(self, outcome: str, took_s: float) -> None:
        """Count a request of a caller by outcome and observe its duration."""
        self._requests[outcome] += 1
        latency = self._latencies.get(outcome)
        if latency is None:
            latency = self._latencies[outcome] = LatencyCounts()
        latency.observe(took_s)

    def collect(self) -> Iterator[Metric]:
        """Return the metrics."""
        yield _make_counter(
            "endivebeam_requests",
            "Requests of callers by how they ended.",
            self._requests.items(),
        )
        yield _make_counter(
            "endivebeam_attempts",
            "Calls offered to targets by outcome.",
            self.attempts.items(),
        )
        latency = HistogramMetricFamily(
            "endivebeam_request_seconds",
            "Time from a request's arrival to its answer.",
            labels=["outcome"],
        )
        for outcome, counts in self._latencies.items():
            counts.add_to(latency, [outcome])
        yield latency
        target_latency = HistogramMetricFamily(
            "endivebeam_target_seconds",
            "Time that the local target took for a call.",
            labels=[],
        )
        self.target_latency.add_to(target_latency, [])
        yield target_latency


def _make_counter(
    name: str, text: str, counts: Iterable[tuple[str, int]]
) -> CounterMetricFamily:
    family = CounterMetricFamily(name, text, labels=["outcome"])
    for outcome, count in counts:
        family.add_metric([outcome], count)
    return family


def _format_bound(bound: float) -> str:
    return "+Inf" if bound == float("inf") else str(bound)
