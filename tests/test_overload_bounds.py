"""Goals of section 1.2 of docs/design.md under overload, in virtual time."""

import pytest
from benchmarks.overload import (
    ADAPTIVE,
    NO_CONTROL,
    OPRAVNA,
    SCENARIOS,
    Scenario,
    run_scenario,
)
from benchmarks.overload_model import Deployment, Tier

SMALL = Deployment(
    name="small",
    tiers=(
        Tier(targets=2, slots=30, work_s=0.005),
        Tier(targets=2, slots=30, work_s=0.005),
        Tier(targets=3, slots=10, work_s=0.06),
    ),
    weights=(0.4, 0.3, 0.2, 0.1),
)
MIN_FAIR_SHARE_RATIO = 0.95
MAX_RECOVERY_S = 2.0


def find_scenario(name: str) -> Scenario:
    return next(s for s in SCENARIOS if s.name == name)


class TestOverload:
    @pytest.mark.parametrize("name", ["1x", "2x", "one account at 5x"])
    def test_goals_hold_at_the_sizes_of_a_deployment(self, name: str):
        """Guards against overload that reduces goodput, fairness or recovery."""
        figures = run_scenario(find_scenario(name), OPRAVNA, ADAPTIVE, 1)
        assert figures.goodput >= 0.95
        assert figures.worst >= MIN_FAIR_SHARE_RATIO
        assert figures.recovery_s <= MAX_RECOVERY_S
        assert figures.wrongful == 0.0
        assert figures.critical == 1.0

    def test_ten_times_the_demand(self):
        """Guards against loss of goodput and critical calls at 10 times the demand."""
        figures = run_scenario(find_scenario("10x"), SMALL, ADAPTIVE, 1)
        assert figures.goodput >= 0.9
        assert figures.recovery_s <= MAX_RECOVERY_S
        assert figures.critical == 1.0

    def test_small_targets_reject_nothing_wrongly(self):
        """Guards against rejections while targets with few slots have free ones."""
        figures = run_scenario(find_scenario("one account at 5x"), SMALL, ADAPTIVE, 2)
        assert figures.wrongful == 0.0

    def test_goals_fail_without_control(self):
        """Guards against a model in which the goals hold without any control."""
        figures = run_scenario(find_scenario("2x"), SMALL, NO_CONTROL, 1)
        assert figures.goodput < 0.9
        assert figures.recovery_s > MAX_RECOVERY_S
