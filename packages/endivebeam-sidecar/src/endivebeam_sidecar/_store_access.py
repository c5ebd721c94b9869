"""Log and metrics of whether this node reaches the platform's store."""

from loguru import logger

from ._control_store import StoreUnavailableError
from ._metrics import SidecarMetrics


class StoreAccessLog:
    """Counts calls to the store and logs when it is lost or regained."""

    def __init__(self, *, metrics: SidecarMetrics) -> None:
        self._metrics = metrics
        self._connected: bool | None = None

    def record_available(self) -> None:
        """Record a call that the store answered."""
        self._metrics.store_calls.labels("answered").inc()
        if self._connected is not True:
            self._connected = True
            logger.info("store: The store is available.")

    def record_unavailable(self, error: StoreUnavailableError) -> None:
        """Record a call that failed."""
        self._metrics.store_calls.labels("failed").inc()
        if self._connected is not False:
            self._connected = False
            logger.bind(reason=str(error)).warning("store: The store is unavailable.")
