"""Runs a target stand-in: ``python -m endivebeam_standins.target --help``.

Routes:

- ``POST /deposits`` counts executions per idempotency key.
- ``GET /ledger`` returns these counts.
- ``GET /record`` returns the peak number of concurrent calls offered and the
  paths that were executed.
- ``/control`` sets ``Control`` from the JSON body.
- ``/chain/<service>/<path>`` calls another service through the node.
- Any other path echoes the method, path, headers and body as JSON.
"""

import base64
import signal
import time
from collections import Counter, deque
from pathlib import Path
from typing import Annotated

import anyio
import anyio.abc
import httpx
import msgspec
import typer

from endivebeam_http import (
    Field,
    HttpServer,
    Request,
    Response,
    plain_error_response,
)

from ._ports import write_port

ANNOUNCE_PERIOD_S = 2.0
RETRY_PERIOD_S = 0.1
# Factor on the service time during the cold start.
COLD_START_FACTOR = 5.0
MAX_RECORDED_PATHS = 4096


class Echo(msgspec.Struct, frozen=True, kw_only=True):
    """Response that describes the request that a target received."""

    target: str
    method: str
    path: str
    headers: list[list[str]]
    body: str


class Control(msgspec.Struct, frozen=True, kw_only=True):
    """Behavior that tests set: service time, delays, rejections and failures.

    ``lag_reports`` makes each announcement report the load of the one before.
    ``answer_delay_ms`` is the delay between a deposit's entry in the ledger and
    the response. ``refuse`` rejects every call with 503 before it is executed.
    ``fail`` responds to every call with 500 after the service time.
    """

    service_time_ms: float = 0.0
    lag_reports: bool = False
    answer_delay_ms: float = 0.0
    refuse: bool = False
    fail: bool = False


class Target:
    """State of one target stand-in."""

    def __init__(
        self,
        *,
        name: str,
        service: str,
        node_port: int,
        slots: int,
        connections: int,
        service_time_ms: float,
        cold_start_s: float = 0.0,
    ) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.connections = connections
        self.control = Control(service_time_ms=service_time_ms)
        self.draining = False
        self.executions: Counter[str] = Counter()
        self.in_use = 0
        self._warm_at = time.monotonic() + cold_start_s
        self._last_reported = 0
        self.peak_in_use = 0
        self.peak_offered = 0
        self.paths: deque[str] = deque(maxlen=MAX_RECORDED_PATHS)
        self._node = httpx.AsyncClient(
            base_url=f"http://127.0.0.1:{node_port}", timeout=30.0
        )

    async def handle(self, request: Request) -> Response:
        """Handle one request, or reject it with 503 when all slots are in use."""
        if request.target == "/control":
            self.control = msgspec.json.decode(request.body, type=Control)
            return Response(status=204)
        if request.target == "/ledger":
            return _json(dict(self.executions))
        if request.target == "/record":
            return _json({"peak_offered": self.peak_offered, "paths": list(self.paths)})
        self.peak_offered = max(self.peak_offered, self.in_use + 1)
        if self.control.refuse or self.in_use >= self.slots:
            fields = [Field(b"endivebeam-run", b"not-run")]
            return Response(status=503, fields=fields)
        self.in_use += 1
        self.peak_in_use = max(self.peak_in_use, self.in_use)
        self.paths.append(request.target)
        try:
            return await self._run(request)
        finally:
            self.in_use -= 1

    async def announce_forever(self, port: int) -> None:
        """Announce the target to its node until cancelled."""
        while True:
            announced = await self.announce(port)
            await anyio.sleep(ANNOUNCE_PERIOD_S if announced else RETRY_PERIOD_S)

    async def announce(self, port: int) -> bool:
        """Send one announcement; return whether the node accepted it."""
        announcement = {
            "service": self.service,
            "port": port,
            "slots": self.slots,
            "connections": self.connections,
            "state": "draining" if self.draining else "serving",
            "in_use": self._reported_in_use(),
        }
        try:
            response = await self._node.put("/v1/target", json=announcement)
        except httpx.HTTPError:
            return False
        return response.status_code == 204

    async def _run(self, request: Request) -> Response:
        if self.control.service_time_ms:
            await anyio.sleep(self._service_time_s())
        if self.control.fail:
            return Response(status=500)
        path = request.target.partition("?")[0]
        if path == "/deposits" and request.method == "POST":
            key = request.get(b"idempotency-key") or b""
            self.executions[key.decode()] += 1
            await anyio.sleep(self.control.answer_delay_ms / 1000)
        if path.startswith("/chain/"):
            return await self._call_service(request)
        return _json(self._echo(request))

    def _service_time_s(self) -> float:
        factor = COLD_START_FACTOR if time.monotonic() < self._warm_at else 1.0
        return self.control.service_time_ms / 1000 * factor

    def _reported_in_use(self) -> int:
        # With lag_reports, returns the value of the previous announcement.
        previous, self._last_reported = self._last_reported, self.in_use
        return previous if self.control.lag_reports else self.in_use

    async def _call_service(self, request: Request) -> Response:
        token = request.get(b"endivebeam-context") or b""
        response = await self._node.request(
            request.method,
            request.target.removeprefix("/chain"),
            headers={"endivebeam-context": token.decode()},
            content=request.body,
        )
        return Response(status=response.status_code, body=response.content)

    def _echo(self, request: Request) -> Echo:
        headers = [[f.name.decode(), f.value.decode("latin-1")] for f in request.fields]
        return Echo(
            target=self.name,
            method=request.method,
            path=request.target,
            headers=headers,
            body=base64.b64encode(request.body).decode(),
        )


def _json(value: object) -> Response:
    fields = [Field(b"content-type", b"application/json")]
    return Response(status=200, fields=fields, body=msgspec.json.encode(value))


async def run(target: Target, ports_file: Path) -> None:
    """Serve until SIGTERM or SIGINT, then drain for up to 10 seconds."""
    async with anyio.create_task_group() as tasks:
        listeners = await anyio.create_tcp_listener(local_host="127.0.0.1")
        listener = listeners.listeners[0]
        port = int(listener.extra(anyio.abc.SocketAttribute.local_address)[1])

        server = HttpServer(handler=target.handle, error_response=plain_error_response)
        tasks.start_soon(server.serve, listener)
        tasks.start_soon(target.announce_forever, port)
        write_port(ports_file, port)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        target.draining = True
        await target.announce(port)
        with anyio.move_on_after(10.0):
            await anyio.sleep(1.0)
            while target.in_use:
                await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()


app = typer.Typer(add_completion=False)


@app.command()
def main(
    ports_file: Path,
    name: Annotated[str, typer.Option()],
    service: Annotated[str, typer.Option()],
    node_port: Annotated[int, typer.Option()],
    slots: Annotated[int, typer.Option()] = 50,
    connections: Annotated[int, typer.Option()] = 400,
    service_time_ms: Annotated[float, typer.Option()] = 0.0,
    cold_start_s: Annotated[float, typer.Option()] = 0.0,
) -> None:
    """Run one target stand-in."""
    target = Target(
        name=name,
        service=service,
        node_port=node_port,
        slots=slots,
        connections=connections,
        service_time_ms=service_time_ms,
        cold_start_s=cold_start_s,
    )
    anyio.run(run, target, ports_file)


if __name__ == "__main__":
    app()
