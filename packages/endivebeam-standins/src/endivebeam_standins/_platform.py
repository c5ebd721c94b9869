"""Stand-in of the platform: a transactional table and an object store."""

from enum import Enum

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route


class FaultMode(Enum):
    """How the platform misbehaves."""

    NONE = "none"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose_answers"


class Faults(msgspec.Struct, frozen=True, kw_only=True):
    """Fault to show; ``delay_ms`` counts for ``slow``."""

    mode: FaultMode = FaultMode.NONE
    delay_ms: int = 0


class StoredRow(msgspec.Struct, frozen=True, kw_only=True):
    """A row of the table."""

    key: str
    value: str
    version: int
    op_id: str


class ExpectedVersion(msgspec.Struct, frozen=True, kw_only=True):
    """The version that a row must have; 0 means absent."""

    key: str
    version: int


class NewValue(msgspec.Struct, frozen=True, kw_only=True):
    """The value that a row gets."""

    key: str
    value: str


class TransactionBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a transaction."""

    op_id: str
    conditions: list[ExpectedVersion]
    puts: list[NewValue]


class Rows(msgspec.Struct, frozen=True, kw_only=True):
    """A list of rows."""

    rows: list[StoredRow]


class Counters(msgspec.Struct, kw_only=True):
    """How often the platform was used."""

    reads: int = 0
    writes: int = 0


class PlatformState:
    """Rows, objects and the current fault."""

    def __init__(self) -> None:
        self.rows: dict[str, StoredRow] = {}
        self.objects: dict[str, bytes] = {}
        self.faults = Faults()
        self.counters = Counters()

    def commit(self, body: TransactionBody) -> list[StoredRow] | None:
        """Apply a transaction; return the conflicting rows or None."""
        failed = [c for c in body.conditions if self._version(c.key) != c.version]
        if failed:
            return [self.rows[c.key] for c in failed if c.key in self.rows]
        for put in body.puts:
            self.rows[put.key] = StoredRow(
                key=put.key,
                value=put.value,
                version=self._version(put.key) + 1,
                op_id=body.op_id,
            )
        self.counters.writes += len(body.puts)
        return None

    def _version(self, key: str) -> int:
        row = self.rows.get(key)
        return 0 if row is None else row.version


def build_platform_app(state: PlatformState) -> Starlette:
    """Return the ASGI application of the platform stand-in."""
    handlers = _Handlers(state)
    return Starlette(
        routes=[
            Route("/v1/table/rows/{key:path}", handlers.read_row, methods=["GET"]),
            Route("/v1/table/rows", handlers.scan, methods=["GET"]),
            Route("/v1/table/transactions", handlers.commit, methods=["POST"]),
            Route("/v1/objects/{name:path}", handlers.read_object, methods=["GET"]),
            Route("/v1/objects/{name:path}", handlers.write_object, methods=["PUT"]),
            Route("/v1/faults", handlers.set_faults, methods=["PUT"]),
            Route("/v1/counters", handlers.read_counters, methods=["GET"]),
        ]
    )


class _Handlers:
    def __init__(self, state: PlatformState) -> None:
        self._state = state

    async def read_row(self, request: Request) -> Response:
        if await self._misbehave():
            return Response(status_code=503)
        self._state.counters.reads += 1
        row = self._state.rows.get(request.path_params["key"])
        if row is None:
            return Response(status_code=404)
        return _json(row)

    async def scan(self, request: Request) -> Response:
        if await self._misbehave():
            return Response(status_code=503)
        self._state.counters.reads += 1
        prefix = request.query_params.get("prefix", "")
        limit = int(request.query_params.get("limit", "1000"))
        keys = sorted(k for k in self._state.rows if k.startswith(prefix))
        return _json(Rows(rows=[self._state.rows[key] for key in keys[:limit]]))

    async def commit(self, request: Request) -> Response:
        body = msgspec.json.decode(await request.body(), type=TransactionBody)
        if await self._misbehave():
            return Response(status_code=503)
        conflicts = self._state.commit(body)
        if self._state.faults.mode is FaultMode.LOSE_ANSWERS:
            await anyio.sleep(60)
        if conflicts is not None:
            return _json(Rows(rows=conflicts), status=409)
        return Response(status_code=200)

    async def read_object(self, request: Request) -> Response:
        if await self._misbehave():
            return Response(status_code=503)
        self._state.counters.reads += 1
        content = self._state.objects.get(request.path_params["name"])
        if content is None:
            return Response(status_code=404)
        return Response(content)

    async def write_object(self, request: Request) -> Response:
        content = await request.body()
        if await self._misbehave():
            return Response(status_code=503)
        self._state.counters.writes += 1
        self._state.objects[request.path_params["name"]] = content
        return Response(status_code=201)

    async def set_faults(self, request: Request) -> Response:
        body = await request.body()
        self._state.faults = msgspec.json.decode(body, type=Faults)
        return Response(status_code=204)

    async def read_counters(self, request: Request) -> Response:
        return _json(self._state.counters)

    async def _misbehave(self) -> bool:
        faults = self._state.faults
        if faults.mode is FaultMode.SLOW:
            await anyio.sleep(faults.delay_ms / 1000)
        return faults.mode is FaultMode.DOWN


def _json(value: msgspec.Struct, *, status: int = 200) -> Response:
    return Response(
        msgspec.json.encode(value), status_code=status, media_type="application/json"
    )
