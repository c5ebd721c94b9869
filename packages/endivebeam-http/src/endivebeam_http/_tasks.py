"""Background tasks for handling calls, owned by the object that started them."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from loguru import logger

T = TypeVar("T")


class TaskSet:
    """A set of ``asyncio`` tasks that are cancelled when their owner closes it.

    Starting a task in an ``anyio`` task group costs eight times as much, and each
    hop of a call starts one task. Cancellation reaches a task at once: a shielded
    ``anyio.CancelScope`` does not delay it.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()
        self._loop: asyncio.AbstractEventLoop | None = None

    def spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Start a task; an exception that it raises is logged."""
        if self._loop is None:
            # asyncio.get_running_loop() makes a system call each time.
            self._loop = asyncio.get_running_loop()
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    async def close(self) -> None:
        """Cancel all tasks and wait until they have finished."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finish(self, task: "asyncio.Task[Any]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error(
                "calls: A background task failed."
            )
