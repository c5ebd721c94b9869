"""The era of the platform's store, as responses and other nodes tell it."""

from collections.abc import Callable

from loguru import logger

from endivebeam_model import UNKNOWN_ERA, StoreEra


class StoreEras:
    """Highest era that this node knows.

    ``on_restored`` is called when it rises: the store came back from an older copy and
    may lack what nodes had written there. The first era that a node hears of tells
    nothing of the kind.
    """

    def __init__(self, *, on_restored: Callable[[], None]) -> None:
        self._on_restored = on_restored
        self.current = UNKNOWN_ERA

    def record(self, era: StoreEra) -> None:
        """Record an era that the store or another node told."""
        previous = self.current
        if era <= previous:
            return
        self.current = era
        if previous == UNKNOWN_ERA:
            return
        logger.bind(era=era, previous_era=previous).info(
            "store: Writing again what an older copy may lack."
        )
        self._on_restored()
