"""Health of targets from this node's own calls, and target selection."""

from ._domains import FAILED_TARGETS_LIMIT, DomainHealth
from ._health import RAMP_S, TargetHealth
from ._router import CallOutcome, Router

__all__ = [
    "FAILED_TARGETS_LIMIT",
    "RAMP_S",
    "CallOutcome",
    "DomainHealth",
    "Router",
    "TargetHealth",
]
