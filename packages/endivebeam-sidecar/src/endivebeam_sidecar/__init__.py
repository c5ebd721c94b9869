"""The node beside one target: forwards the calls from and to the target."""

from ._clock import read_clock
from ._control_store import (
    ConfigReadResult,
    ControlStore,
    HistoryLostError,
    MemberReadResult,
    StoredMember,
    StoreUnavailableError,
)
from ._daemon import Sidecar
from ._decisions import AttemptDetail, Decision, DecisionLog
from ._logs import LineBudget, LineWriter, Logs, configure_logging, flush_forever
from ._resources import Resources
from ._settings import Bounds, HeaderNames, SidecarSettings

__all__ = [
    "AttemptDetail",
    "Bounds",
    "ConfigReadResult",
    "ControlStore",
    "Decision",
    "DecisionLog",
    "HeaderNames",
    "HistoryLostError",
    "LineBudget",
    "LineWriter",
    "Logs",
    "MemberReadResult",
    "Resources",
    "Sidecar",
    "SidecarSettings",
    "StoreUnavailableError",
    "StoredMember",
    "configure_logging",
    "flush_forever",
    "read_clock",
]
