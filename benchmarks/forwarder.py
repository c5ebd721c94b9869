"""Minimal TCP forwarder, a lower bound for the latency that a process adds to a call.

    python -m benchmarks.forwarder TARGET_PORT

prints its own port and forwards one request and one response at a time.
"""

import os
import sys

import anyio
import anyio.abc


async def run(target_port: int) -> None:
    """Forward connections to a port until the process is stopped."""
    listener = (await anyio.create_tcp_listener(local_host="127.0.0.1")).listeners[0]
    print(listener.extra(anyio.abc.SocketAttribute.local_port), flush=True)

    async def forward(stream: anyio.abc.SocketStream) -> None:
        async with stream, await anyio.connect_tcp("127.0.0.1", target_port) as target:
            while True:
                try:
                    await target.send(await stream.receive())
                    await stream.send(await target.receive())
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return

    await listener.serve(forward)


if __name__ == "__main__":
    os.environ["UV_USE_IO_URING"] = "0"
    anyio.run(run, int(sys.argv[1]), backend_options={"use_uvloop": True})
