"""Small accounts get what they are entitled to, wherever their requests arrive.

Guards against tokens that lie at many nodes where no request needs them: an account at
four times its rate got 0.3 of its allowance with 195 nodes.
"""

import random

import pytest
from benchmarks.small_accounts import simulate

# Requests that arrive while tokens of others wait for their renewal are refused.
MIN_ADMITTED = 0.9


class TestSmallAccounts:
    @pytest.mark.parametrize("demand", [1.0, 1.5, 4.0])
    @pytest.mark.parametrize(("nodes", "rate"), [(15, 25.0), (89, 25.0), (195, 25.0)])
    def test_get_their_allowance_at_many_nodes(
        self, nodes: int, rate: float, demand: float
    ):
        admitted, _ = simulate(
            nodes=nodes, rate=rate, demand=demand, rng=random.Random(1)
        )
        assert admitted >= MIN_ADMITTED
