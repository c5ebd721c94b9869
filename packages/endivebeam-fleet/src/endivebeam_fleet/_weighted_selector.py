"""Shares of a route that is split between services."""

from collections.abc import Sequence

from endivebeam_model import ServiceName

from ._config import Destination

# Multiples of this number modulo 1 cover the unit interval evenly after any
# count of steps, so that shares are exact over short periods too.
_GOLDEN_STEP = 0.6180339887498949


class WeightedSelector:
    """Position in the sequence that spreads a route's requests by weight.

    Each node starts at its own random position. Otherwise all nodes would send
    their first requests to the same service.
    """

    def __init__(self, *, start: float) -> None:
        self._position = start % 1.0

    def next_service(self, destinations: Sequence[Destination]) -> ServiceName:
        """Return the service of the next request."""
        if len(destinations) == 1:
            return destinations[0].service
        self._position = (self._position + _GOLDEN_STEP) % 1.0
        total = sum(destination.weight for destination in destinations)
        left = self._position * total
        for destination in destinations:
            left -= destination.weight
            if left < 0:
                return destination.service
        return destinations[-1].service
