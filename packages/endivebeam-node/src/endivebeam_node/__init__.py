"""The endivebeam node daemon."""

from ._daemon import Ports, run_daemon
from ._main import main
from ._settings import Operator, SeedAddress, Settings
from ._settings_load import SettingsError, load_settings

__all__ = [
    "Operator",
    "Ports",
    "SeedAddress",
    "Settings",
    "SettingsError",
    "load_settings",
    "main",
    "run_daemon",
]
