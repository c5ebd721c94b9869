"""Stand-in for the platform: a transactional table and an object store."""

from collections.abc import Callable
from enum import Enum

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

# Longer than the timeout of any client.
LOST_RESPONSE_S = 60.0


class FaultMode(Enum):
    """Fault that the platform injects; see ``Faults`` for the effects."""

    NONE = "none"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose_answers"
    DROP = "drop"
    LATE = "late"
    ERROR = "error"


class OperationKind(Enum):
    """Kind of operation on the platform."""

    READ = "read"
    SCAN = "scan"
    COMMIT = "commit"
    READ_OBJECT = "read_object"
    WRITE_OBJECT = "write_object"


class Faults(msgspec.Struct, kw_only=True):
    """Fault to inject, and the operations that it affects.

    ``down`` responds with 503 and ``slow`` waits ``delay_ms`` before the
    operation. For writes, ``lose_answers`` applies the write and sends no
    response, ``drop`` does neither, ``late`` applies the write after
    ``delay_ms`` and sends no response, and ``error`` applies the write and
    responds with 500. Reads are affected by ``down``, ``slow``, ``drop`` and
    ``error``.

    Empty ``kinds`` select all operations. ``prefix`` selects rows and objects
    by name. ``count`` is the number of operations still to be affected, or
    None for no limit.
    """

    mode: FaultMode = FaultMode.NONE
    delay_ms: int = 0
    kinds: list[OperationKind] = []
    prefix: str = ""
    count: int | None = None

    def next_fault(self, kind: OperationKind, name: str) -> FaultMode:
        """Return the fault of an operation; a fault returned reduces ``count``."""
        if self.kinds and kind not in self.kinds:
            return FaultMode.NONE
        if not name.startswith(self.prefix) or self.count == 0:
            return FaultMode.NONE
        if self.count is not None:
            self.count -= 1
        return self.mode


class StoredRow(msgspec.Struct, frozen=True, kw_only=True):
    """A row of the table."""

    key: str
    value: str
    version: int
    op_id: str


class ExpectedVersion(msgspec.Struct, frozen=True, kw_only=True):
    """Condition of a transaction: the version of a row, 0 if it must not exist."""

    key: str
    version: int


class NewValue(msgspec.Struct, frozen=True, kw_only=True):
    """A value to write to a row."""

    key: str
    value: str


class TransactionBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a request to commit a transaction."""

    op_id: str
    conditions: list[ExpectedVersion]
    puts: list[NewValue]


class Rows(msgspec.Struct, frozen=True, kw_only=True):
    """A list of rows."""

    rows: list[StoredRow]


class Counters(msgspec.Struct, kw_only=True):
    """Numbers of reads and writes that the platform has executed."""

    reads: int = 0
    writes: int = 0


class PlatformState:
    """Rows, objects, counters and the injected fault."""

    def __init__(self) -> None:
        self.rows: dict[str, StoredRow] = {}
        self.objects: dict[str, bytes] = {}
        self.faults = Faults()
        self.counters = Counters()

    def commit(self, body: TransactionBody) -> list[StoredRow] | None:
        """Apply a transaction and return None, or return the conflicting rows."""
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
        key = request.path_params["key"]
        failed = await self._fail_read(OperationKind.READ, key)
        if failed is not None:
            return failed
        row = self._state.rows.get(key)
        if row is None:
            return Response(status_code=404)
        return _json(row)

    async def scan(self, request: Request) -> Response:
        prefix = request.query_params.get("prefix", "")
        failed = await self._fail_read(OperationKind.SCAN, prefix)
        if failed is not None:
            return failed
        limit = int(request.query_params.get("limit", "1000"))
        keys = sorted(k for k in self._state.rows if k.startswith(prefix))
        return _json(Rows(rows=[self._state.rows[key] for key in keys[:limit]]))

    async def commit(self, request: Request) -> Response:
        body = msgspec.json.decode(await request.body(), type=TransactionBody)

        def apply() -> Response:
            conflicts = self._state.commit(body)
            if conflicts is not None:
                return _json(Rows(rows=conflicts), status=409)
            return Response(status_code=200)

        return await self._write(OperationKind.COMMIT, body.puts[0].key, apply)

    async def read_object(self, request: Request) -> Response:
        name = request.path_params["name"]
        failed = await self._fail_read(OperationKind.READ_OBJECT, name)
        if failed is not None:
            return failed
        content = self._state.objects.get(name)
        if content is None:
            return Response(status_code=404)
        return Response(content)

    async def write_object(self, request: Request) -> Response:
        content = await request.body()
        name = request.path_params["name"]

        def apply() -> Response:
            self._state.counters.writes += 1
            self._state.objects[name] = content
            return Response(status_code=201)

        return await self._write(OperationKind.WRITE_OBJECT, name, apply)

    async def set_faults(self, request: Request) -> Response:
        body = await request.body()
        self._state.faults = msgspec.json.decode(body, type=Faults)
        return Response(status_code=204)

    async def read_counters(self, request: Request) -> Response:
        return _json(self._state.counters)

    async def _fail_read(self, kind: OperationKind, name: str) -> Response | None:
        faults = self._state.faults
        match faults.next_fault(kind, name):
            case FaultMode.DOWN:
                return Response(status_code=503)
            case FaultMode.ERROR:
                return Response(status_code=500)
            case FaultMode.DROP:
                await anyio.sleep(LOST_RESPONSE_S)
            case FaultMode.SLOW:
                await anyio.sleep(faults.delay_ms / 1000)
        self._state.counters.reads += 1
        return None

    async def _write(
        self, kind: OperationKind, name: str, apply: Callable[[], Response]
    ) -> Response:
        faults = self._state.faults
        mode = faults.next_fault(kind, name)
        if mode is FaultMode.DOWN:
            return Response(status_code=503)
        if mode is FaultMode.DROP:
            await anyio.sleep(LOST_RESPONSE_S)
            return Response(status_code=503)
        if mode in (FaultMode.SLOW, FaultMode.LATE):
            # The write takes effect even if the client closes the connection.
            with anyio.CancelScope(shield=True):
                await anyio.sleep(faults.delay_ms / 1000)
                response = apply()
        else:
            response = apply()
        if mode in (FaultMode.LOSE_ANSWERS, FaultMode.LATE):
            await anyio.sleep(LOST_RESPONSE_S)
        return Response(status_code=500) if mode is FaultMode.ERROR else response


def _json(value: msgspec.Struct, *, status: int = 200) -> Response:
    return Response(
        msgspec.json.encode(value), status_code=status, media_type="application/json"
    )
