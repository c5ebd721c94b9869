"""Log lines about the pressure at a target and what its node admits."""

import math
from collections.abc import Callable

from loguru import logger

from endivebeam_fleet import CallPressure, KindAdmission

# Time between two lines while there is pressure.
LOG_PERIOD_S = 1.0
# Pressure below this is not logged unless requests are shed.
MIN_LOGGED_PRESSURE = 0.05


def make_pressure_log(pressure: CallPressure) -> Callable[[float], None]:
    """Return a function that logs the pressure at a time, at most once a period.

    Nothing is logged while there is no pressure and all requests are admitted.
    """
    next_at = -math.inf

    def log_pressure(now: float) -> None:
        nonlocal next_at
        if now < next_at:
            return
        kinds = pressure.describe()
        sheds = any(kind.part < 1.0 for kind in kinds)
        if pressure.pressure < MIN_LOGGED_PRESSURE and not sheds:
            return
        next_at = now + LOG_PERIOD_S
        logger.bind(
            pressure=round(pressure.pressure, 3), kinds=[_encode(k) for k in kinds]
        ).warning("target: The services that the target calls report pressure.")

    return log_pressure


def _encode(admission: KindAdmission) -> dict[str, object]:
    return {
        "internal": admission.kind.internal,
        "shed_order": admission.kind.shed_order,
        "part": round(admission.part, 3),
        "calls_per_run": round(admission.calls_per_run, 2),
    }
