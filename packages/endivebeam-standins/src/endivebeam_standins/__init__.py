"""Stand-ins for the platform, targets and fleets, for tests and the demo only.

A stand-in simulates a service that the product depends on: as a process with a
real port, or in memory in virtual time.
"""

from ._fake_store import FakeStore, StoreFault
from ._fleet import Fleet, FleetNode, run_fleet, wait_for
from ._platform import PlatformState, build_platform_app
from ._virtual import VirtualFleet
from ._virtual_state import (
    VirtualConfig,
    VirtualNode,
    VirtualStore,
    make_entry,
    make_member,
)

__all__ = [
    "FakeStore",
    "Fleet",
    "FleetNode",
    "PlatformState",
    "StoreFault",
    "VirtualConfig",
    "VirtualFleet",
    "VirtualNode",
    "VirtualStore",
    "build_platform_app",
    "make_entry",
    "make_member",
    "run_fleet",
    "wait_for",
]
