"""Goodput of a call graph with an overloaded service, with and without pressure."""

from benchmarks.call_pressure import (
    OTHER,
    URGENT,
    rate_goodput,
    rate_served,
    run_graph,
)


class TestOverloadedService:
    def test_goodput_stays_near_capacity_and_urgent_requests_go_first(self):
        """Guards against work at the front for requests that later fail.

        Without pressure, the front services admit requests whose calls the
        overloaded service then rejects.
        """
        baseline = run_graph(load=1.5, uses_pressure=False, seed=5)
        with_pressure = run_graph(load=1.5, uses_pressure=True, seed=5)
        assert rate_goodput(with_pressure) > 0.75
        assert rate_goodput(with_pressure) > 1.5 * rate_goodput(baseline)
        assert rate_served(with_pressure.outcomes[URGENT]) > 0.9
        assert rate_served(with_pressure.outcomes[OTHER]) > 0.1
