"""Gauges of the node, which are evaluated when its metrics are read."""

from collections.abc import Sized

from ._calls import CallPath
from ._config import ConfigCopy
from ._inflight import InFlight
from ._members import Members
from ._metrics import Metrics


def add_gauges(
    metrics: Metrics,
    *,
    config: ConfigCopy,
    members: Members,
    calls: CallPath,
    in_flight: InFlight,
    connections: Sized,
) -> None:
    """Add gauges of the node's parts to its metrics."""
    gauge = metrics.add_gauge
    gauge("config_version", "Version in force.", lambda: config.version)
    gauge(
        "pending_withdrawals",
        "Withdrawals that are in force but not in the log.",
        config.count_pending,
    )
    gauge("in_flight", "Calls at the target.", lambda: len(in_flight))
    gauge("peers", "Other live nodes.", lambda: len(members.live()))
    gauge("draining", "1 while draining.", lambda: float(calls.draining))
    gauge("connections", "Open connections.", lambda: len(connections))
    config.add_listener(metrics.set_objectives)
