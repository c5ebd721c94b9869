"""Stand-ins of the platform and of targets, for tests and the demo only."""

from ._fake_store import FakeStore, StoreFault
from ._fleet import Fleet, FleetNode, run_fleet, wait_for
from ._platform import PlatformState, build_platform_app

__all__ = [
    "FakeStore",
    "Fleet",
    "FleetNode",
    "PlatformState",
    "StoreFault",
    "build_platform_app",
    "run_fleet",
    "wait_for",
]
