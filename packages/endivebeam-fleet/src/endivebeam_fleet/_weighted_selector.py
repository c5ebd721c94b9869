"""Weighted choice between the services of a route."""

from collections.abc import Sequence

from endivebeam_model import ServiceName

from ._config import Destination

# Fractional part of the golden ratio. Its multiples modulo 1 are evenly distributed
# for any number of steps, so that the weights hold over short periods too.
_GOLDEN_STEP = 0.6180339887498949


class WeightedSelector:
    """Distributes the requests of a route to its services by weight.

    ``start`` is the initial position from 0 to 1. Each node starts at a random
    position; otherwise all nodes would send their first requests to the same service.
    """

    def __init__(self, *, start: float) -> None:
        self._position = start % 1.0

    def next_service(self, destinations: Sequence[Destination]) -> ServiceName:
        """Return the service for the next request."""
        if len(destinations) == 1:
            return destinations[0].service
        self._position = (self._position + _GOLDEN_STEP) % 1.0
        total = sum(destination.weight for destination in destinations)
        remaining = self._position * total
        for destination in destinations:
            remaining -= destination.weight
            if remaining < 0:
                return destination.service
        return destinations[-1].service
