"""Hypothesis profiles: derandomized in CI, a wider randomized one by hand."""

import os

import pytest
from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=100,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile(
    "wide",
    deadline=None,
    max_examples=2000,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on the event loop that the daemon uses."""
    return "asyncio"
