"""Log and metrics of whether this node reaches the platform's store."""

from loguru import logger

from endivebeam_model import UNKNOWN_ERA, StoreEra

from ._control_store import StoreUnavailableError
from ._metrics import SidecarMetrics
from ._store_eras import StoreEras


class StoreAccessLog:
    """Counts calls to the store and logs when it is lost or regained.

    It rejects responses of an earlier era of the store than one before had.
    """

    def __init__(self, *, metrics: SidecarMetrics, eras: StoreEras) -> None:
        self._eras = eras
        self._metrics = metrics
        self._connected: bool | None = None
        self._era = UNKNOWN_ERA

    def record_response(self, era: StoreEra) -> None:
        """Record a call that the store answered in ``era``.

        Raises ``StoreUnavailableError`` if a later era is known: the response was
        late, and what it tells belongs to a state that is gone.
        """
        if era < self._era:
            raise StoreUnavailableError(f"response of era {era} in era {self._era}")
        self._era = era
        self._eras.record(era)
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
