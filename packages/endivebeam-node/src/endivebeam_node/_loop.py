"""Runs the event loop of the daemon on ``uvloop`` without io_uring."""

import os
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

T = TypeVar("T")


def run_loop(main: Callable[[T], Awaitable[None]], argument: T) -> None:
    """Run a coroutine function on one event loop until it returns.

    ``UV_USE_IO_URING`` must be set before the loop is created, because libuv reads
    it then; 0 prevents it from opening an io_uring.
    """
    os.environ["UV_USE_IO_URING"] = "0"
    anyio.run(main, argument, backend_options={"use_uvloop": True})
