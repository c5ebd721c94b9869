"""Virtual time for the parts of a node that read its clock."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import anyio
import pytest

from endivebeam_sidecar import (
    _config_reader,
    _config_transfer,
    _gossip,
    _member_sync,
    _state,
    _unreachable_nodes,
)
from endivebeam_standins.virtual_loop import VirtualLoop

_CLOCK_USERS = (
    _config_reader,
    _config_transfer,
    _gossip,
    _member_sync,
    _state,
    _unreachable_nodes,
)


def read_virtual_clock() -> float:
    """Return the time of the running event loop."""
    return asyncio.get_running_loop().time()


def run_in_virtual_time(
    monkeypatch: pytest.MonkeyPatch, run: Callable[[], Awaitable[None]], *, seed: int
) -> None:
    """Run a coroutine function in virtual time, with the given random numbers."""
    random.seed(seed)
    for module in _CLOCK_USERS:
        monkeypatch.setattr(module, "read_clock", read_virtual_clock)
    anyio.run(run, backend="asyncio", backend_options={"loop_factory": VirtualLoop})
