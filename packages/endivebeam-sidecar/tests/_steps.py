"""Runs a coroutine with a pause after each await, for tests of interleavings."""

import asyncio
import types
from collections.abc import Callable, Coroutine, Generator
from typing import Any, TypeVar

T = TypeVar("T")
# Iterations of the event loop in which a request reaches a target of another node.
PAUSE_ITERATIONS = 200


@types.coroutine
def pause_after_awaits(
    work: Coroutine[Any, Any, T], on_pause: Callable[[], bool]
) -> Generator[Any, Any, T]:
    """Run a coroutine; after each of its awaits, let everything else run first.

    ``on_pause`` is called after an await and returns whether to pause. Cancellations
    that arrive during a pause are raised at its end.
    """
    value: Any = None
    error: Exception | asyncio.CancelledError | None = None
    while True:
        try:
            awaited = work.send(value) if error is None else work.throw(error)
        except StopIteration as end:
            return end.value
        value = error = None
        try:
            value = yield awaited
        except (Exception, asyncio.CancelledError) as raised:
            error = raised
        if not on_pause():
            continue
        for _ in range(PAUSE_ITERATIONS):
            try:
                yield
            except asyncio.CancelledError as raised:
                error = error or raised
