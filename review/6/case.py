"""A planned stop while callers still read their responses.

Callers book at a machine and read their responses slowly. The machine gets SIGTERM
while they read. Each response must arrive whole.
"""

import asyncio
import socket
from pathlib import Path

import anyio
from harness import HAS_TROUBLE, CaseRecord, format_address, run_case

from thistlegate_standin import (
    AccountConfig,
    Plan,
    RouteConfig,
    TargetConfig,
    _targets,
    run_deployment,
)
from thistlegate_standin._machines import Machine

BODY_BYTES = 700_000
CALLERS = 4
BUDGET_S = 8.0
# A caller reads this much in this time, about 150 KB/s: the whole takes some 5 s.
READ_BYTES = 8192
READ_PAUSE_S = 0.02
# The segments of Ethernet and a small window. On loopback the buffers of the kernel
# take more than a megabyte otherwise.
SEGMENT_BYTES = 1448
WINDOW_BYTES = 4096
STOP_AFTER_S = 0.4
KEY = "key-of-fit"
BOOK = RouteConfig(
    name="book",
    service="bookings",
    kind="non_idempotent",
    timeout_s=BUDGET_S,
    objective_s=1.5,
)
PLAN = Plan(
    services={"bookings": 3},
    target_configs={"bookings": TargetConfig(work_s=0.05, constant_work=True)},
    routes=(BOOK,),
    accounts=(AccountConfig(name="fit", keys=(KEY,)),),
)


def make_body(call_id: str, path: str) -> bytes:
    """Return a long body, in place of the short one of the stand-in."""
    text = f"{call_id} {path} ".encode()
    return (text * (BODY_BYTES // len(text) + 1))[:BODY_BYTES]


_targets.make_body = make_body


async def open_slow_connection(machine: Machine) -> socket.socket:
    """Connect to a machine with a small window."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    caller.setblocking(False)
    address = format_address(machine.callers)
    await asyncio.get_running_loop().sock_connect(caller, address)
    return caller


async def read_slowly(caller: socket.socket) -> tuple[bytes, bytes]:
    """Return the header and the body that arrive before the connection ends."""
    loop = asyncio.get_running_loop()
    received = b""
    while True:
        head, _, body = received.partition(b"\r\n\r\n")
        if len(body) >= BODY_BYTES:
            return head, body
        try:
            part = await loop.sock_recv(caller, READ_BYTES)
        except OSError:
            part = b""
        if not part:
            return head, body
        received += part
        await anyio.sleep(READ_PAUSE_S)


async def book(
    machine: Machine, call_id: str, record: CaseRecord, cut: list[str]
) -> None:
    """Send a booking and read its response; add it to ``cut`` if it isn't whole."""
    caller = await open_slow_connection(machine)
    request = (
        f"POST {BOOK.path} HTTP/1.1\r\nhost: shop.example\r\n"
        f"x-request-id: {call_id}\r\nx-deadline-ms: {int(BUDGET_S * 1000)}\r\n"
        f"authorization: Bearer {KEY}\r\ncontent-length: 2\r\n\r\nhi"
    )
    await asyncio.get_running_loop().sock_sendall(caller, request.encode())
    record.add(f"{call_id} sent at {machine.name}")
    with anyio.move_on_after(BUDGET_S):
        head, body = await read_slowly(caller)
        status = head.partition(b"\r\n")[0].decode()
        record.add(f"{call_id} answered: {status!r}, {len(body)} of {BODY_BYTES} bytes")
        if body != make_body(call_id, BOOK.path):
            cut.append(call_id)
    caller.close()


async def run_stop(record: CaseRecord) -> str:
    """Stop a machine while callers read; return which responses were cut."""
    cut: list[str] = []
    async with run_deployment(PLAN, seed=1) as deployment:
        machine = deployment.machines[0]
        node = deployment.nodes[machine.name]
        async with anyio.create_task_group() as tasks:
            for number in range(CALLERS):
                tasks.start_soon(book, machine, f"book-{number}", record, cut)
            await anyio.sleep(STOP_AFTER_S)
            if HAS_TROUBLE:
                record.add(f"SIGTERM to the node of {machine.name}")
                node.stop()
                while not node.has_ended:
                    await anyio.sleep(0.01)
                record.add(f"the node has ended with status {node.exit_status}")
        record.add_traffic(deployment.records)
        ran = {run.call_id for run in deployment.records.runs}
    if len(ran) < CALLERS:
        raise RuntimeError("some requests reached no target")
    return f"cut responses to {', '.join(sorted(cut))}" if cut else ""


run_case(Path(__file__).parent, run_stop)
