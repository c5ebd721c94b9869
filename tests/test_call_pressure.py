"""Pressure of a busy service against a fleet that knows nothing of it."""

from benchmarks.call_pressure import (
    OTHER,
    URGENT,
    rate_goodput,
    rate_served,
    run_graph,
)


class TestOverloadedDepth:
    def test_goodput_stays_near_the_capacity_and_urgent_requests_go_first(self):
        # Without it, requests cost work at the front and fail at the depth.
        naive = run_graph(load=1.5, uses_pressure=False, seed=5)
        graph = run_graph(load=1.5, uses_pressure=True, seed=5)
        assert rate_goodput(graph) > 0.75
        assert rate_goodput(graph) > 1.5 * rate_goodput(naive)
        assert rate_served(graph.outcomes[URGENT]) > 0.9
        assert rate_served(graph.outcomes[OTHER]) > 0.1
