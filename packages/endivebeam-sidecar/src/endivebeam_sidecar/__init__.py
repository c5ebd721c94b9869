"""The node that runs beside one target and carries its calls and those to it."""

from ._clock import read_clock
from ._control_store import (
    ConfigReadResult,
    ControlStore,
    HistoryLostError,
    MemberReadResult,
    StoredMember,
    StoreUnavailableError,
)
from ._daemon import Sidecar, wait_for_stop_signal
from ._decisions import AttemptDetail, Decision, DecisionLog
from ._logs import LineBudget, LineWriter, Logs, configure_logging, flush_forever
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
    "Sidecar",
    "SidecarSettings",
    "StoreUnavailableError",
    "StoredMember",
    "configure_logging",
    "flush_forever",
    "read_clock",
    "wait_for_stop_signal",
]
