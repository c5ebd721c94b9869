"""The endivebeam node daemon."""

from ._fleet_view import FleetView
from ._holder import ShareHolder
from ._leases import LeaseManager
from ._listening import Ports
from ._main import main, run_daemon
from ._peers import UnreachableError
from ._relays import serve_relay
from ._settings import Operator, SeedAddress, Settings
from ._settings_load import SettingsError, load_settings
from ._token_requester import TokenRequester

__all__ = [
    "FleetView",
    "LeaseManager",
    "Operator",
    "Ports",
    "SeedAddress",
    "Settings",
    "SettingsError",
    "ShareHolder",
    "TokenRequester",
    "UnreachableError",
    "load_settings",
    "main",
    "run_daemon",
    "serve_relay",
]
