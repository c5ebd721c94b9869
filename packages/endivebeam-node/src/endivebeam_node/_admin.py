"""The administration API."""

import datetime
import hashlib
import hmac
from collections.abc import Awaitable, Callable

import msgspec
from returns.result import Failure, Success
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from endivebeam_model import (
    Change,
    ConfigVersion,
    LogEntry,
    Member,
    OperationId,
    WithdrawKey,
)
from endivebeam_store import ConfigLog, Conflict, Unavailable

from ._config import ConfigCopy
from ._members import Members
from ._settings import Operator

MAX_CHANGE_BYTES = 256 << 10

OnCommitted = Callable[[LogEntry], None]
OnWithdrawn = Callable[[WithdrawKey], Awaitable[None]]


class ChangeRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A change that an operator asks for.

    ``expected_version`` is the configuration version that the operator saw.
    """

    op_id: OperationId
    expected_version: ConfigVersion
    change: Change


class ChangeReply(msgspec.Struct, frozen=True, kw_only=True):
    """The version at which a change is in force."""

    version: ConfigVersion
    durable: bool


class AdminError(msgspec.Struct, frozen=True, kw_only=True):
    """Why a request of an operator failed and what to do next."""

    reason: str
    message: str


class StatusReply(msgspec.Struct, frozen=True, kw_only=True):
    """What this node knows about itself and the fleet."""

    node_id: str
    config_version: ConfigVersion
    members: list[Member]


def build_admin_app(
    *,
    operators: list[Operator],
    config: ConfigCopy,
    members: Members,
    log: ConfigLog,
    on_committed: OnCommitted,
    on_withdrawn: OnWithdrawn,
) -> Starlette:
    """Return the ASGI application of the administration API."""
    handlers = _Handlers(
        operators=operators,
        config=config,
        members=members,
        log=log,
        on_committed=on_committed,
        on_withdrawn=on_withdrawn,
    )
    return Starlette(
        routes=[
            Route("/v1/config", handlers.read_config, methods=["GET"]),
            Route("/v1/changes", handlers.change, methods=["POST"]),
            Route("/v1/status", handlers.read_status, methods=["GET"]),
            Route("/healthz", handlers.read_health, methods=["GET"]),
        ]
    )


class _Handlers:
    def __init__(
        self,
        *,
        operators: list[Operator],
        config: ConfigCopy,
        members: Members,
        log: ConfigLog,
        on_committed: OnCommitted,
        on_withdrawn: OnWithdrawn,
    ) -> None:
        self._operators = operators
        self._config = config
        self._members = members
        self._log = log
        self._on_committed = on_committed
        self._on_withdrawn = on_withdrawn

    async def read_health(self, request: Request) -> Response:
        return Response("ok\n")

    async def read_config(self, request: Request) -> Response:
        if self._operator(request) is None:
            return _unauthorized()
        return _reply(200, self._config.snapshot)

    async def read_status(self, request: Request) -> Response:
        if self._operator(request) is None:
            return _unauthorized()
        status = StatusReply(
            node_id=self._members.local.node_id,
            config_version=self._config.version,
            members=self._members.all(),
        )
        return _reply(200, status)

    async def change(self, request: Request) -> Response:
        operator = self._operator(request)
        if operator is None:
            return _unauthorized()
        body = await request.body()
        if len(body) > MAX_CHANGE_BYTES:
            return _error(413, "too_large", f"send at most {MAX_CHANGE_BYTES} bytes")
        try:
            asked = msgspec.json.decode(body, type=ChangeRequest)
        except msgspec.DecodeError as error:
            return _error(400, "bad_request", str(error))
        return await self._commit(asked, operator)

    async def _commit(self, asked: ChangeRequest, operator: Operator) -> Response:
        now = datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")
        answer = await self._log.append(
            change=asked.change,
            expected=asked.expected_version,
            op_id=asked.op_id,
            operator=operator.name,
            at=now,
        )
        match answer:
            case Success(entry):
                self._on_committed(entry)
                return _reply(200, ChangeReply(version=entry.version, durable=True))
            case Failure(Conflict()):
                return _error(
                    412,
                    "conflict",
                    "another change came first; read the configuration and try again",
                )
            case Failure(Unavailable(message=message)):
                return await self._without_store(asked.change, message)
        raise AssertionError("a result is a success or a failure")

    async def _without_store(self, change: Change, message: str) -> Response:
        if isinstance(change, WithdrawKey):
            await self._on_withdrawn(change)
            reply = ChangeReply(version=self._config.version, durable=False)
            return _reply(202, reply)
        return _error(
            503, "store_unavailable", f"{message}; send the same op_id again later"
        )

    def _operator(self, request: Request) -> Operator | None:
        scheme, _, token = request.headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer":
            return None
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        found = None
        for operator in self._operators:
            if hmac.compare_digest(operator.token_sha256, digest):
                found = operator
        return found


def _reply(status: int, value: msgspec.Struct) -> Response:
    return Response(
        msgspec.json.encode(value), status_code=status, media_type="application/json"
    )


def _error(status: int, reason: str, message: str) -> Response:
    return _reply(status, AdminError(reason=reason, message=message))


def _unauthorized() -> Response:
    return _error(
        401, "unauthorized", "send the operator token as Authorization: Bearer"
    )
