"""What one call costs its nodes in tasks, timers and writes, whatever the machine.

Each of them costs more than most decisions about a call. A layer that adds one at
every call is not noticed otherwise.
"""

import sys
from collections import Counter
from pathlib import Path
from types import FrameType

import pytest

from ._fleet import Fleet, run_fleet

pytestmark = pytest.mark.anyio

CALLS = 20
# Files with background work, which goes on while the calls are counted.
BACKGROUND = frozenset(
    {
        "_allowances.py",
        "_gossip.py",
        "_config_reader.py",
        "_member_sync.py",
        "_config_transfer.py",
    }
)
COUNTED = frozenset({"create_task", "call_later", "create_future", "write"})


class CostCounter:
    """Counts builtin calls of the packages, by name and by the calling file."""

    def __init__(self) -> None:
        self.by_name: Counter[str] = Counter()
        self.places: Counter[tuple[str, str]] = Counter()

    def record(self, frame: FrameType, event: str, argument: object) -> None:
        if event != "c_call":
            return
        name = getattr(argument, "__name__", "")
        path = Path(frame.f_code.co_filename)
        is_ours = "endivebeam_" in str(path.parent) and path.name not in BACKGROUND
        if name in COUNTED and is_ours:
            self.by_name[name] += 1
            self.places[name, path.name] += 1


async def count_costs(fleet: Fleet, target: str, method: str) -> CostCounter:
    """Return what ``CALLS`` sequential calls on one connection cost in all."""
    counter = CostCounter()
    async with fleet.nodes[0].connect() as connection:
        await connection.call(target, method=method)
        sys.setprofile(counter.record)
        try:
            for _ in range(CALLS):
                await connection.call(target, method=method)
        finally:
            sys.setprofile(None)
    return counter


def per_call(counter: CostCounter, name: str) -> float:
    return counter.by_name[name] / CALLS


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    """Use the loop of the nodes, whose functions are builtin."""
    return "asyncio", {"use_uvloop": True}


class TestForwardedCall:
    """A call that enters at one node and runs at the target of another one."""

    async def test_starts_one_task_at_each_hop(self):
        """Its hops are two nodes and the target, which is a server of this package."""
        async with run_fleet(("stock", "vans")) as fleet:
            counter = await count_costs(fleet, "/vans/x", "GET")
            assert per_call(counter, "create_task") <= 3.1, counter.places

    async def test_has_one_timer_for_each_wait(self):
        """It waits for the other node and for the target."""
        async with run_fleet(("stock", "vans")) as fleet:
            counter = await count_costs(fleet, "/vans/x", "GET")
            assert per_call(counter, "call_later") <= 2.1, counter.places

    async def test_is_written_once_at_each_hop_and_back(self):
        """Entry to node, node to target, and the three replies."""
        async with run_fleet(("stock", "vans")) as fleet:
            counter = await count_costs(fleet, "/vans/x", "GET")
            assert per_call(counter, "write") <= 5.1, counter.places


class TestLocalCall:
    """A call that runs at the target of the node that it enters at."""

    async def test_costs_no_task_of_its_own(self):
        async with run_fleet(("stock", "vans")) as fleet:
            counter = await count_costs(fleet, "/look/x", "GET")
            assert per_call(counter, "create_task") <= 2.1, counter.places
            assert per_call(counter, "write") <= 3.1, counter.places
