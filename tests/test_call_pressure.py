"""Goodput of an overloaded call graph with and without backpressure."""

from benchmarks.call_pressure import (
    OTHER,
    URGENT,
    relative_goodput,
    run_graph,
    served_fraction,
)


class TestOverloadedDeepService:
    def test_goodput_stays_near_the_capacity_and_urgent_requests_are_preferred(self):
        """Guards against requests that run at the front and fail at the deep service.

        Without pressure the front service admits requests by its own slots alone.
        """
        naive = run_graph(load=1.5, uses_pressure=False, seed=5)
        graph = run_graph(load=1.5, uses_pressure=True, seed=5)
        assert relative_goodput(graph) > 0.75
        assert relative_goodput(graph) > 1.5 * relative_goodput(naive)
        assert served_fraction(graph.outcomes[URGENT]) > 0.9
        assert served_fraction(graph.outcomes[OTHER]) > 0.1
