"""ASGI application and request handlers of the administration API."""

import re
from collections.abc import Awaitable, Callable

import anyio
import msgspec
from loguru import logger
from returns.result import Failure, Result, Success
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from endivebeam_documents import KEY_ID_CHARS
from endivebeam_model import (
    ABSENT_TAG,
    ConfigVersion,
    Key,
    LogEntry,
    MemberState,
    WithdrawKey,
    find_object,
    make_tag,
)
from endivebeam_store import ConfigLog, Unavailable

from ._admin_http import (
    MAX_PAGE_SIZE,
    ApiError,
    authenticate_operator,
    json_response,
    make_error,
    paginate,
    read_body,
    read_number,
)
from ._admin_types import (
    AdminError,
    AuditItem,
    AuditPage,
    ChangeReply,
    ChangeRequest,
    ContractItem,
    ContractPage,
    DrainRequest,
    KeyItem,
    KeyPage,
    ReadyReply,
    ServiceItem,
    ServicePage,
    StatusReply,
    StoreReply,
    VersionsReply,
)
from ._burn_read import MAX_RANGE_MINUTES, read_burn
from ._burn_sync import ReadObject, read_minute
from ._commits import (
    Accepted,
    ChangeRejected,
    CommitRequest,
    Committer,
    EmergencyWithdrawal,
    PreconditionFailed,
    StoreDown,
)
from ._config import ConfigCopy, redact_entry
from ._endpoints import ENDPOINTS
from ._members import Members
from ._openapi import Endpoint, dump_openapi
from ._settings import Operator
from ._versions import ReportedVersions

MAX_AUDIT_PAGE_SIZE = 100
MAX_VERSION = 2**53


async def read_no_object(name: str) -> Result[bytes | None, Unavailable]:
    """Report every object as missing; for nodes without an object store."""
    return Success(None)


def build_admin_app(
    *,
    operators: list[Operator],
    config: ConfigCopy,
    members: Members,
    log: ConfigLog,
    committer: Committer,
    versions: ReportedVersions | None = None,
    on_drain: Callable[[], None] = lambda: None,
    render_metrics: Callable[[], bytes] = lambda: b"",
    read_object: ReadObject = read_no_object,
) -> Starlette:
    """Return the ASGI application of the administration API."""
    handlers = _Handlers(
        config=config,
        members=members,
        log=log,
        committer=committer,
        versions=versions or ReportedVersions(),
        on_drain=on_drain,
        render_metrics=render_metrics,
        read_object=read_object,
    )
    return Starlette(
        routes=[
            Route(
                endpoint.path,
                _require_access(
                    getattr(handlers, endpoint.handler), operators, endpoint
                ),
                methods=[endpoint.method],
            )
            for endpoint in ENDPOINTS
        ]
    )


def _require_access(
    handler: Callable[[Request, Operator | None], Awaitable[Response]],
    operators: list[Operator],
    endpoint: Endpoint,
) -> Callable[[Request], Awaitable[Response]]:
    async def serve(request: Request) -> Response:
        try:
            operator = authenticate_operator(request, operators, endpoint.access)
            return await handler(request, operator)
        except ApiError as error:
            return json_response(error.error, status=error.status)

    return serve


class _Handlers:
    def __init__(
        self,
        *,
        config: ConfigCopy,
        members: Members,
        log: ConfigLog,
        committer: Committer,
        versions: ReportedVersions,
        on_drain: Callable[[], None],
        render_metrics: Callable[[], bytes],
        read_object: ReadObject,
    ) -> None:
        self._config = config
        self._members = members
        self._log = log
        self._committer = committer
        self._versions = versions
        self._on_drain = on_drain
        self._render_metrics = render_metrics
        self._read_object = read_object
        self._draining = False

    async def read_health(self, request: Request, operator: object) -> Response:
        return Response("ok\n")

    async def read_ready(self, request: Request, operator: object) -> Response:
        reasons = []
        if self._draining or self._members.local.state is MemberState.DRAINING:
            reasons.append("the node is draining; send calls to another node")
        elif self._members.local.state is not MemberState.SERVING:
            reasons.append("the target has not announced itself; start the target")
        if self._config.version == 0:
            reasons.append("no configuration is known; check the platform and peers")
        ready = ReadyReply(ready=not reasons, reasons=reasons)
        return json_response(ready, status=503 if reasons else 200)

    async def read_metrics(self, request: Request, operator: object) -> Response:
        content = self._render_metrics()
        return Response(content, media_type="text/plain; version=0.0.4")

    async def read_openapi(self, request: Request, operator: object) -> Response:
        return Response(dump_openapi(ENDPOINTS), media_type="application/json")

    async def read_config(self, request: Request, operator: object) -> Response:
        snapshot = self._config.snapshot
        return json_response(snapshot, etag=f"v{snapshot.version}")

    async def read_status(self, request: Request, operator: object) -> Response:
        local = self._members.local
        status = StatusReply(
            node_id=local.node_id,
            config_version=self._config.version,
            members=self._members.all(),
            region=local.region,
            domain=local.domain,
            draining=self._draining or local.state is MemberState.DRAINING,
            emergency_withdrawals=self._config.count_pending(),
            versions=self._summarize_versions(self._config.version).domains,
        )
        return json_response(status)

    async def read_versions(self, request: Request, operator: object) -> Response:
        current = self._config.version
        version = read_number(request, "at_least", current, maximum=MAX_VERSION)
        return json_response(self._summarize_versions(ConfigVersion(version)))

    def _summarize_versions(self, version: ConfigVersion) -> VersionsReply:
        now = anyio.current_time()
        local = self._members.local
        self._versions.record(local.node_id, self._config.version, now)
        domains = self._versions.summarize(self._members.all(), version, now)
        return VersionsReply(version=version, domains=domains)

    async def list_contracts(self, request: Request, operator: object) -> Response:
        page, next_cursor = paginate(request, self._config.snapshot.contracts)
        items = [ContractItem(etag=make_tag(c), contract=c) for c in page]
        return json_response(ContractPage(items=items, next=next_cursor))

    async def read_contract(self, request: Request, operator: object) -> Response:
        name = request.path_params["name"]
        contract = self._config.snapshot.contracts.get(name)
        if contract is None:
            raise make_error(
                404, "not_found", f"account {name} has no contract; list them"
            )
        tag = make_tag(contract)
        return json_response(ContractItem(etag=tag, contract=contract), etag=tag)

    async def list_services(self, request: Request, operator: object) -> Response:
        page, next_cursor = paginate(request, self._config.snapshot.services)
        items = [ServiceItem(etag=make_tag(s), service=s) for s in page]
        return json_response(ServicePage(items=items, next=next_cursor))

    async def read_service(self, request: Request, operator: object) -> Response:
        name = request.path_params["name"]
        service = self._config.snapshot.services.get(name)
        if service is None:
            raise make_error(
                404, "not_found", f"service {name} is not defined; list them"
            )
        tag = make_tag(service)
        return json_response(ServiceItem(etag=tag, service=service), etag=tag)

    async def list_keys(self, request: Request, operator: object) -> Response:
        account = request.query_params.get("account")
        keys = self._config.snapshot.keys
        selected = {d: k for d, k in keys.items() if account in (None, k.account)}
        page, next_cursor = paginate(request, selected)
        return json_response(
            KeyPage(items=[self._make_key_item(k) for k in page], next=next_cursor)
        )

    def _make_key_item(self, key: Key) -> KeyItem:
        return KeyItem(
            etag=make_tag(key),
            id=key.digest[:KEY_ID_CHARS],
            digest=key.digest,
            account=key.account,
            label=key.label,
            withdrawn=key.withdrawn or key.digest in self._config.withdrawn,
        )

    async def read_audit(self, request: Request, operator: object) -> Response:
        head = self._config.version
        before = read_number(request, "before", head + 1, maximum=MAX_VERSION)
        limit = max(1, read_number(request, "limit", 20, maximum=MAX_PAGE_SIZE))
        latest = min(before - 1, head)
        oldest = max(1, latest - min(limit, MAX_AUDIT_PAGE_SIZE) + 1)
        entries = [await self._read_entry(v) for v in range(latest, oldest - 1, -1)]
        next_cursor = str(oldest) if oldest > 1 else None
        items = [_make_audit_item(entry) for entry in entries]
        return json_response(AuditPage(items=items, next=next_cursor))

    async def _read_entry(self, version: int) -> LogEntry:
        recent = self._config.find_entry(ConfigVersion(version))
        if recent is not None:
            return recent
        match await self._log.read_entry(ConfigVersion(version)):
            case Success(LogEntry() as entry):
                return entry
        message = f"version {version} could not be read from the table; try again"
        raise make_error(503, "store_unavailable", message)

    async def read_store(self, request: Request, operator: object) -> Response:
        match await self._log.read_head():
            case Failure(Unavailable(message=message)):
                return json_response(StoreReply(reachable=False, message=message))
        return json_response(StoreReply(reachable=True))

    async def read_burn(self, request: Request, operator: object) -> Response:
        now = read_minute()
        last = read_number(request, "last", now, maximum=MAX_VERSION)
        first = read_number(request, "first", last, maximum=MAX_VERSION)
        if not first <= last < first + MAX_RANGE_MINUTES:
            message = f"ask for 1 to {MAX_RANGE_MINUTES} minutes, the first one first"
            raise make_error(400, "bad_request", message)
        domains = {member.domain for member in self._members.all()}
        result = await read_burn(self._read_object, domains, range(first, last + 1))
        match result:
            case Failure(Unavailable(message=message)):
                raise make_error(503, "store_unavailable", f"{message}; try again")
        return json_response(result.unwrap())

    async def drain(self, request: Request, operator: Operator) -> Response:
        body = await read_body(request, DrainRequest)
        local = self._members.local.node_id
        if body.node_id != local:
            message = f"this is node {local}; send the request to {body.node_id}"
            raise make_error(409, "other_node", message)
        if not self._draining:
            logger.info("admin: operator {} drains node {}", operator.name, local)
        self._draining = True
        self._on_drain()
        return json_response(ReadyReply(ready=False, reasons=["draining"]), status=202)

    async def change(self, request: Request, operator: Operator) -> Response:
        body = await read_body(request, ChangeRequest)
        commit_request = _make_commit_request(request, body, operator)
        outcome = await self._committer.commit(commit_request)
        match outcome:
            case Accepted(entry):
                result = ChangeReply(version=entry.version, durable=True)
                current = find_object(self._config.snapshot, body.change)
                return json_response(result, etag=make_tag(current))
            case EmergencyWithdrawal(version, durable):
                result = ChangeReply(version=version, durable=durable)
                return json_response(result, status=200 if durable else 202)
            case PreconditionFailed(version=version, current=current):
                raise _make_conflict_error(version, current)
            case ChangeRejected(reasons):
                raise make_error(422, "refused", "; ".join(reasons))
            case StoreDown(message):
                message = f"{message}; send the same op_id again, which is safe"
                raise make_error(503, "store_unavailable", message)


def _make_conflict_error(
    version: ConfigVersion, current: msgspec.Struct | None
) -> ApiError:
    message = "another change came first; compare with `current` and send again"
    error = AdminError(
        reason="conflict", message=message, version=version, current=current
    )
    return ApiError(412, error)


def _make_commit_request(
    request: Request, body: ChangeRequest, operator: Operator
) -> CommitRequest:
    """Return the change with the preconditions of its body and headers."""
    expected = body.expected_version
    tag = None
    if request.headers.get("if-none-match") == "*":
        tag = ABSENT_TAG
    match_header = request.headers.get("if-match")
    if match_header is not None:
        value = match_header.strip().strip('"')
        if re.fullmatch(r"v[0-9]{1,15}", value):
            expected = ConfigVersion(int(value[1:]))
        else:
            tag = value
    # A withdrawal is final and urgent, so it needs no precondition.
    unconditional = isinstance(body.change, WithdrawKey)
    if expected is None and tag is None and not unconditional:
        message = (
            "send the entity tag that you read as If-Match, or If-None-Match: * "
            "to create an object"
        )
        raise make_error(428, "condition_required", message)
    return CommitRequest(
        op_id=body.op_id,
        operator=operator.name,
        change=body.change,
        expected_version=expected,
        tag=tag,
    )


def _make_audit_item(entry: LogEntry) -> AuditItem:
    return AuditItem(
        version=entry.version,
        at=entry.at,
        operator=entry.operator,
        op_id=entry.op_id,
        description=redact_entry(entry),
    )
