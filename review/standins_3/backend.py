"""A sound application backend on the machine of a node."""

import asyncio
import json
import time
from collections.abc import Callable

from .http1 import Connection, Message, encode, serve

PING_S = 1.5
PING_TIMEOUT_S = 1.0
RETRY_S = 0.3
# Longest step in which a backend works equally fast.
WORK_STEP_S = 0.05


class Backend:
    """One lifetime of a backend, from its start to its end.

    It runs requests in its slots, ``work_s`` seconds each, ``cold_x`` times as long
    while it is cold and ``slow_x`` times while it is slow. ``limit`` is the rate that
    it names in its answers.
    """

    def __init__(
        self,
        *,
        machine: "object",
        instance: str,
        slots: int,
        work_s: float,
        log: Callable[..., None],
        cold_s: float = 0.0,
        cold_x: float = 2.0,
        limit: float | None = None,
    ) -> None:
        self.machine = machine
        self.instance = instance
        self.slots = slots
        self.work_s = work_s
        self.limit = limit
        self.slow_x = 1.0
        self.leaving = False
        self.state = "ready"
        self.left_acked_at: float | None = None
        self.runs: list[tuple[float, str]] = []
        self.started = time.monotonic()
        self._log = log
        self._cold_s = cold_s
        self._cold_x = cold_x
        self._free = asyncio.Semaphore(slots)
        self._born_ms = time.time_ns() // 1_000_000
        self._seq = 0
        self._server: asyncio.Server | None = None
        self._pinging: asyncio.Task[None] | None = None

    @property
    def cold_left_s(self) -> float:
        """How much longer the backend is slow after its start."""
        return max(0.0, self.started + self._cold_s - time.monotonic())

    async def start(self) -> None:
        """Serve and send pings."""
        self.started = time.monotonic()
        host, port = self.machine.ip, self.machine.app_port
        self._server = await serve(host, port, self._handle, cancel_on_close=True)
        self._log("start", instance=self.instance, born=self._born_ms)
        self._pinging = asyncio.create_task(self._ping_forever())

    def stop_pings(self) -> None:
        """Send no more pings."""
        if self._pinging is not None:
            self._pinging.cancel()

    async def end(self) -> None:
        """Exit."""
        self.stop_pings()
        if self._server is not None:
            self._server.close()
        self._log("exit", instance=self.instance)

    def make_ping(self) -> bytes:
        """Return the bytes of the next ping."""
        self._seq += 1
        body = {
            "address": f"{self.machine.ip}:{self.machine.app_port}",
            "born": self._born_ms,
            "info": {
                "service": self.machine.service,
                "version": "v1",
                "zone": self.machine.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "seq": self._seq,
                "coldLeftS": round(self.cold_left_s, 3),
            },
        }
        fields = {"host": "node", "content-type": "application/json"}
        start = f"PUT /instances/{self.instance} HTTP/1.1"
        return encode(start, fields, json.dumps(body).encode())

    async def send(self, data: bytes) -> int:
        """Send a ping or a leave message to the node; return the status, 0 for none."""
        connection = Connection(self.machine.ip, self.machine.control_port)
        try:
            response = await connection.exchange(data, timeout_s=PING_TIMEOUT_S)
        except (OSError, TimeoutError):
            return 0
        finally:
            connection.close()
        return response.status

    async def ping(self) -> int:
        """Send a ping; return the status of its ack, 0 for none."""
        status = await self.send(self.make_ping())
        self._log(
            "ping",
            instance=self.instance,
            state=self.state,
            seq=self._seq,
            cold_left_s=round(self.cold_left_s, 2),
            status=status,
        )
        return status

    async def drain(self) -> None:
        """Say that the backend leaves, until it is acknowledged."""
        self.stop_pings()
        self.leaving, self.state = True, "draining"
        while not 200 <= await self.ping() < 300:
            await asyncio.sleep(RETRY_S)
        self.left_acked_at = time.monotonic()
        self._pinging = asyncio.create_task(self._ping_forever())

    async def leave(self) -> None:
        """Send the leave message until it is acknowledged."""
        self.stop_pings()
        self.leaving = True
        start = f"DELETE /instances/{self.instance} HTTP/1.1"
        while True:
            status = await self.send(encode(start, {"host": "node"}))
            self._log("leave", instance=self.instance, status=status)
            if 200 <= status < 300:
                break
            await asyncio.sleep(RETRY_S)
        if self.left_acked_at is None:
            self.left_acked_at = time.monotonic()

    async def _ping_forever(self) -> None:
        while True:
            acked = 200 <= await self.ping() < 300
            await asyncio.sleep(PING_S if acked else RETRY_S)

    async def _work(self) -> None:
        """Do the work of a request; it goes on faster when the backend is."""
        left_s = self.work_s
        while left_s > 0:
            cold_x = self._cold_x if self.cold_left_s > 0 else 1.0
            x = self.slow_x * cold_x
            step_s = min(WORK_STEP_S, left_s * x)
            await asyncio.sleep(step_s)
            left_s -= step_s / x

    async def _handle(self, request: Message) -> bytes | None:
        call_id = request.fields.get("x-request-id", "")
        fields = {"x-request-id": call_id, "keep-alive": "timeout=10"}
        if self.limit is not None:
            fields["server-limit"] = str(self.limit)
        if self.leaving:
            fields["server-leaving"] = "1"
        if request.fields.get("x-expect-instance", self.instance) != self.instance:
            fields["x-instance-id"] = self.instance
            return encode("HTTP/1.1 421 X", fields)
        async with self._free:
            self.runs.append((time.monotonic(), call_id))
            self._log("run", id=call_id, instance=self.instance)
            await self._work()
        fields["x-server-stamp"] = f"{self.instance}.{call_id}"
        return encode("HTTP/1.1 200 X", fields, f"body of {call_id}".encode())
