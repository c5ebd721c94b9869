"""Callers that pause while they read, on connections that are kept open.

Each caller looks something up and gets the response. It sends two more lookups on the
same connection, reads nothing for a while and then goes on. Each must be answered.
"""

import asyncio
import socket
from pathlib import Path

import anyio
from harness import HAS_TROUBLE, SETTLE_S, CaseRecord, format_address, run_case

from thistlegate_standin import (
    AccountConfig,
    Plan,
    RouteConfig,
    TargetConfig,
    _targets,
    run_deployment,
)
from thistlegate_standin._machines import Machine

# As long as the longest responses of the site.
BODY_BYTES = 36_000
CALLERS = 6
BUDGET_S = 8.0
PAUSE_S = 5.6 if HAS_TROUBLE else 2.0
# The segments of Ethernet and a small window.
SEGMENT_BYTES = 1448
WINDOW_BYTES = 4096
READ_BYTES = 16384
HEADER_END = b"\r\n\r\n"
KEY = "key-of-fit"
LOOK = RouteConfig(name="look", service="deliveries", timeout_s=BUDGET_S)
PLAN = Plan(
    services={"deliveries": 3},
    target_configs={"deliveries": TargetConfig(work_s=0.05, constant_work=True)},
    routes=(LOOK,),
    accounts=(AccountConfig(name="fit", keys=(KEY,)),),
)


def make_body(call_id: str, path: str) -> bytes:
    """Return a long body, in place of the short one of the stand-in."""
    text = f"{call_id} {path} ".encode()
    return (text * (BODY_BYTES // len(text) + 1))[:BODY_BYTES]


_targets.make_body = make_body


class Caller:
    """A caller with one connection, which it keeps open."""

    def __init__(self, *, name: str, machine: Machine, record: CaseRecord) -> None:
        self._name = name
        self._machine = machine
        self._record = record
        self._received = b""
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self._socket.setblocking(False)

    async def run(self, lost: list[str]) -> None:
        """Look up three times; add the ids of the lookups without a whole answer."""
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._socket, format_address(self._machine.callers))
        first, *others = [f"{self._name}-{number}" for number in range(3)]
        await self._send(first)
        if not await self._receive(first):
            raise RuntimeError("the first lookup was not answered")
        for call_id in others:
            await self._send(call_id)
        await anyio.sleep(PAUSE_S)
        for call_id in others:
            if not await self._receive(call_id):
                lost.append(call_id)
        self._socket.close()

    async def _send(self, call_id: str) -> None:
        request = (
            f"GET {LOOK.path} HTTP/1.1\r\nhost: shop.example\r\n"
            f"x-request-id: {call_id}\r\nx-deadline-ms: {int(BUDGET_S * 1000)}\r\n"
            f"authorization: Bearer {KEY}\r\n\r\n"
        )
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self._socket, request.encode())
        self._record.add(f"{call_id} sent at {self._machine.name}")

    async def _receive(self, call_id: str) -> bool:
        """Read one response; return whether it is whole and the right one."""
        loop = asyncio.get_running_loop()
        while True:
            _, end, body = self._received.partition(HEADER_END)
            if end and len(body) >= BODY_BYTES:
                self._received = body[BODY_BYTES:]
                self._record.add(f"{call_id} answered")
                return body[:BODY_BYTES] == make_body(call_id, LOOK.path)
            try:
                part = await loop.sock_recv(self._socket, READ_BYTES)
            except OSError as error:
                self._record.add(f"{call_id}: {error}, {len(body)} bytes of the body")
                return False
            if not part:
                self._record.add(f"{call_id}: closed, {len(body)} bytes of the body")
                return False
            self._received += part


async def run_pause(record: CaseRecord) -> str:
    """Let callers pause; return which lookups got no whole answer."""
    lost: list[str] = []
    async with run_deployment(PLAN, seed=1) as deployment:
        await anyio.sleep(SETTLE_S)
        async with anyio.create_task_group() as tasks:
            for number in range(CALLERS):
                caller = Caller(
                    name=f"look-{number}",
                    machine=deployment.machines[0],
                    record=record,
                )
                tasks.start_soon(caller.run, lost)
        record.add_traffic(deployment.records)
    return f"no answers to {', '.join(sorted(lost))}" if lost else ""


run_case(Path(__file__).parent, run_pause)
