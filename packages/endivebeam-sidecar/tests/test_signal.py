"""Tests of signals with a timeout."""

import asyncio
import sys
from types import FrameType

import anyio
import pytest

from endivebeam_sidecar._signal import Signal

pytestmark = pytest.mark.anyio
LONG_S = 10.0


class TestSignal:
    async def test_wakes_all_waiting_tasks(self):
        signal = Signal()
        results: list[bool] = []

        async def wait() -> None:
            results.append(await signal.wait(LONG_S))

        with anyio.fail_after(LONG_S):
            async with anyio.create_task_group() as tasks:
                for _ in range(3):
                    tasks.start_soon(wait)
                await anyio.wait_all_tasks_blocked()
                signal.set()
        assert results == [True, True, True]

    async def test_set_before_the_wait_counts(self):
        signal = Signal()
        signal.set()
        assert await signal.wait(LONG_S)

    async def test_returns_false_after_the_timeout(self):
        assert not await Signal().wait(0.001)

    async def test_cancelled_wait_is_forgotten(self):
        signal = Signal()
        task = asyncio.create_task(signal.wait(LONG_S))
        await anyio.wait_all_tasks_blocked()
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        signal.set()

    async def test_expired_wait_costs_one_timer(self):
        """Guards against a timer that starts again until the clock has moved."""
        timers = 0

        def count(frame: FrameType, event: str, argument: object) -> None:
            nonlocal timers
            if event == "c_call" and getattr(argument, "__name__", "") in (
                "call_later",
                "call_at",
            ):
                timers += 1

        sys.setprofile(count)
        try:
            for _ in range(20):
                await Signal().wait(0.0015)
        finally:
            sys.setprofile(None)
        assert timers <= 20
