"""Event loops on which connections are tested."""

import pytest


@pytest.fixture(params=["asyncio", "uvloop"])
def anyio_backend(request: pytest.FixtureRequest) -> tuple[str, dict[str, bool]]:
    """Run each test on both loops, which report closed connections differently."""
    return "asyncio", {"use_uvloop": request.param == "uvloop"}
