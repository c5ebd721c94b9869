"""Health of targets from own observations, and the choice of a target."""

from ._domains import FAILED_TARGETS_LIMIT, Domains
from ._health import RAMP_S, TargetHealth
from ._router import Result, Router

__all__ = [
    "FAILED_TARGETS_LIMIT",
    "RAMP_S",
    "Domains",
    "Result",
    "Router",
    "TargetHealth",
]
