"""The node that runs beside one target and carries its calls and those to it."""

from ._clock import read_clock
from ._daemon import Sidecar, wait_for_stop_signal
from ._decisions import AttemptDetail, Decision, DecisionLog
from ._logs import LineBudget, LineWriter, Logs, flush_forever, set_up_logs
from ._settings import Bounds, HeaderNames, SidecarSettings
from ._store_port import (
    ConfigReading,
    ControlStore,
    HistoryLostError,
    MemberReading,
    StoredMember,
    StoreUnavailableError,
)

__all__ = [
    "AttemptDetail",
    "Bounds",
    "ConfigReading",
    "ControlStore",
    "Decision",
    "DecisionLog",
    "HeaderNames",
    "HistoryLostError",
    "LineBudget",
    "LineWriter",
    "Logs",
    "MemberReading",
    "Sidecar",
    "SidecarSettings",
    "StoreUnavailableError",
    "StoredMember",
    "flush_forever",
    "read_clock",
    "set_up_logs",
    "wait_for_stop_signal",
]
