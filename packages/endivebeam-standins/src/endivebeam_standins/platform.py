"""Runs the platform stand-in: ``python -m endivebeam_standins.platform FILE``.

The kernel chooses the listening port, which is written to FILE as JSON.
"""

import socket
import sys
from pathlib import Path
from typing import cast

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config
from hypercorn.typing import ASGIFramework

from ._platform import PlatformState, build_platform_app
from ._ports import write_port


async def run(ports_file: Path) -> None:
    """Serve until the process is stopped."""
    listener = socket.create_server(("127.0.0.1", 0))
    config = Config()
    config.bind = [f"fd://{listener.fileno()}"]
    config.errorlog = None
    # Clients reuse their connections for the duration of a test.
    config.keep_alive_max_requests = 1_000_000
    write_port(ports_file, listener.getsockname()[1])
    app = cast(ASGIFramework, build_platform_app(PlatformState()))
    await serve(app, config)


if __name__ == "__main__":
    anyio.run(run, Path(sys.argv[1]))
