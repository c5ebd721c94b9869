"""What a node that starts waits for before it takes the store's word."""

import anyio

from endivebeam_model import NodeId

# Replies of so many nodes that are not informed, and of none that is, tell that all
# nodes have started together.
ALL_STARTED_REPLIES = 8


class OthersHeard:
    """Whether this node has heard of the versions that the other nodes know.

    The reply of a node that has started as well, and has not heard of them or has not
    received the newest one yet, tells nothing. If only such nodes reply, nobody is left
    to wait for.
    """

    def __init__(self) -> None:
        self._complete = anyio.Event()
        self._uninformed: set[NodeId] = set()
        # Nodes beside this one in the store, once their rows were read.
        self._others: int | None = None

    @property
    def is_complete(self) -> bool:
        """Whether nothing is left to wait for."""
        return self._complete.is_set()

    def complete(self) -> None:
        """End the wait, as no informed node has replied in time."""
        self._complete.set()

    def record_others(self, count: int) -> None:
        """Record how many other nodes have a row in the store."""
        self._others = count
        self._check_uninformed()

    def record_reply(self, node_id: NodeId, *, is_informed: bool) -> None:
        """Record the reply of another node."""
        if is_informed:
            self._complete.set()
        else:
            self._uninformed.add(node_id)
            self._check_uninformed()

    async def wait(self) -> None:
        """Wait until nothing is left to wait for."""
        await self._complete.wait()

    def _check_uninformed(self) -> None:
        if self._others is None:
            return
        if len(self._uninformed) >= min(ALL_STARTED_REPLIES, self._others):
            self._complete.set()
