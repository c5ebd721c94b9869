"""Writes emergency withdrawals to the log once the store is available again."""

from collections.abc import Callable

import anyio

from ._commits import Committer
from ._config import ConfigCopy

RETRY_PERIOD_S = 1.0


class EmergencyWriter:
    """Retries to write withdrawals that are in force but not in the log.

    The node that accepted a withdrawal writes it. One node per failure domain
    does so as well, in case the accepting node has failed.
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
        """Try once to write every withdrawal that this node should write."""
        for digest in self._config.pending():
            if self._committer.accepted_here(digest) or self._is_writer():
                await self._committer.write_pending(digest)
