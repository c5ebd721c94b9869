"""The loops on which connections are tested."""

import pytest


@pytest.fixture(params=["asyncio", "uvloop"])
def anyio_backend(request: pytest.FixtureRequest) -> tuple[str, dict[str, bool]]:
    """Return both loops; they report the end of a connection differently."""
    return "asyncio", {"use_uvloop": request.param == "uvloop"}
