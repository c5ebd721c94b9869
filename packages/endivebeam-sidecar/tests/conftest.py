"""Runs the tests of this package on asyncio and on uvloop, which nodes use."""

import pytest


@pytest.fixture(params=["asyncio", "uvloop"])
def anyio_backend(request: pytest.FixtureRequest) -> tuple[str, dict[str, bool]]:
    """Return the event loop: the standard one or uvloop."""
    return "asyncio", {"use_uvloop": request.param == "uvloop"}
