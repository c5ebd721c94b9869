"""Writes emergency withdrawals to the log when the store is back."""

from collections.abc import Callable

import anyio

from ._commits import Committer
from ._config import ConfigCopy

RETRY_PERIOD_S = 1.0


class EmergencyWriter:
    """Retries withdrawals that are in force but not in the log.

    The node that accepted a withdrawal writes it, and one node per failure
    domain does so too, in case the accepting node is gone.
    """

    def __init__(
        self,
        *,
        config: ConfigCopy,
        committer: Committer,
        is_writer: Callable[[], bool],
    ) -> None:
        self._config = config
        self._committer = committer
        self._is_writer = is_writer

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await anyio.sleep(RETRY_PERIOD_S)
            await self.write_pending()

    async def write_pending(self) -> None:
        """Try once to write every withdrawal that this node is to write."""
        for digest in self._config.pending():
            if self._committer.accepted_here(digest) or self._is_writer():
                await self._committer.write_pending(digest)
