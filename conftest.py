"""Hypothesis profiles: ``ci`` is derandomized; ``wide`` is random and larger.

``HYPOTHESIS_PROFILE`` selects the profile; the default is ``ci``.
"""

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
    """Run asynchronous tests on asyncio, as the node does."""
    return "asyncio"
