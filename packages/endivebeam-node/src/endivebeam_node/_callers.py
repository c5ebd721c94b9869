"""Caller port: authenticates, rate-limits and routes calls from outside the fleet."""

import time
from collections.abc import Callable
from http import HTTPStatus

from returns.pipeline import is_successful

from endivebeam_http import (
    Field,
    HttpError,
    Request,
    Response,
    get_field,
    strip_hop_by_hop,
)
from endivebeam_model import (
    AccountId,
    ChainId,
    Contract,
    Refusal,
    RefusalReason,
    Route,
    Semantics,
    ServiceName,
    authenticate,
    digest_key,
    find_route,
)
from endivebeam_wire import CallAnswer, CallRefused, CallRequest, Header

from ._calls import CallPath
from ._config import ConfigCopy
from ._metrics import RequestStats
from ._outcomes import RETRY_AFTER_S
from ._ports import SpendToken
from ._randoms import random_hex

# Account of calls on open routes, which need no client key.
OPEN_ACCOUNT = AccountId("")
KEY_FIELDS = frozenset({b"authorization", b"x-api-key"})
TIMEOUT_FIELD = b"endivebeam-timeout-ms"
IDEMPOTENCY_FIELD = b"idempotency-key"
MAX_IDEMPOTENCY_KEY_BYTES = 200

# Fields that only nodes may set; values sent by a caller are never forwarded.
INTERNAL_FIELDS = frozenset({b"endivebeam-context", TIMEOUT_FIELD, b"endivebeam-run"})

_NEVER_FORWARDED = KEY_FIELDS | INTERNAL_FIELDS

_ERROR_REASONS = {
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: RefusalReason.BODY_TOO_LARGE,
    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: RefusalReason.HEADERS_TOO_LARGE,
    HTTPStatus.REQUEST_TIMEOUT: RefusalReason.REQUEST_TIMEOUT,
}


class RefusedError(Exception):
    """Raised when a call is rejected before it is routed."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


def split_request_target(target: str) -> tuple[ServiceName, str]:
    """Split ``/service/path?query`` into the service and the rest.

    >>> split_request_target("/bookings/slots?day=3")
    ('bookings', '/slots?day=3')
    """
    service, slash, rest = target.lstrip("/").partition("/")
    if not slash:
        service, mark, query = service.partition("?")
        return ServiceName(service), "/" + mark + query
    return ServiceName(service), slash + rest


def resolve_route(
    config: ConfigCopy, request: Request
) -> tuple[ServiceName, str, Route]:
    """Return the service, the path within it and the route of a request.

    Raises ``RefusedError`` when the service or the route is unknown.
    """
    name, path = split_request_target(request.target)
    service = config.snapshot.services.get(name)
    route = None
    if service is not None:
        route = find_route(service, request.method, path.partition("?")[0])
    if route is None:
        raise RefusedError(
            Refusal(
                reason=RefusalReason.NO_ROUTE,
                message=f"no route for {request.method} {path} of service {name!r}; "
                "check the path, or ask the operator to add the route",
            )
        )
    return name, path, route


def read_timeout_s(request: Request, route: Route) -> float:
    """Return the route's timeout or the one that the caller sent, if shorter.

    Raises ``RefusedError`` when the caller's timeout is not valid.
    """
    value = request.get(TIMEOUT_FIELD)
    if value is None:
        return route.timeout_s
    try:
        requested_s = int(value) / 1000
    except ValueError:
        requested_s = 0.0
    if requested_s <= 0:
        raise RefusedError(
            Refusal(
                reason=RefusalReason.BAD_REQUEST,
                message="Endivebeam-Timeout-Ms must be a positive integer",
            )
        )
    return min(route.timeout_s, requested_s)


def read_idempotency_key(request: Request, route: Route) -> str:
    """Return the idempotency key of a request, or an empty string.

    Raises ``RefusedError`` when the key is too long, or the route needs a key and
    the request has none.
    """
    value = request.get(IDEMPOTENCY_FIELD) or b""
    if len(value) > MAX_IDEMPOTENCY_KEY_BYTES:
        raise RefusedError(
            Refusal(
                reason=RefusalReason.BAD_REQUEST,
                message=f"Idempotency-Key exceeds {MAX_IDEMPOTENCY_KEY_BYTES} bytes",
            )
        )
    if not value and route.semantics is Semantics.AT_MOST_ONCE:
        raise RefusedError(
            Refusal(
                reason=RefusalReason.IDEMPOTENCY_KEY_REQUIRED,
                message="this route runs at most once; send an Idempotency-Key",
            )
        )
    return value.decode("latin-1")


def new_chain_id() -> ChainId:
    """Return an id for a new call chain."""
    return ChainId(random_hex(8))


def refusal_response(refusal: Refusal) -> Response:
    """Return the response for a refusal."""
    fields = [
        Field(b"content-type", b"application/json"),
        Field(b"endivebeam-reason", refusal.reason.value.encode()),
        Field(b"endivebeam-run", refusal.run.value.encode()),
    ]
    if refusal.retry_after_s is not None:
        seconds = max(1, round(refusal.retry_after_s))
        fields.append(Field(b"retry-after", b"%d" % seconds))
    return Response(status=refusal.status, fields=fields, body=refusal.to_json())


def error_response(error: HttpError) -> Response:
    """Return the refusal for a request that could not be read."""
    reason = _ERROR_REASONS.get(error.status, RefusalReason.BAD_REQUEST)
    return refusal_response(Refusal(reason=reason, message=error.message))


def outcome_response(outcome: CallAnswer | CallRefused) -> Response:
    """Return the response for the outcome of a call."""
    match outcome:
        case CallAnswer(status=status, headers=headers, body=body):
            fields = [Field(h.name, h.value) for h in headers]
            return Response(status=status, fields=fields, body=body)
        case CallRefused(refusal=refusal):
            return refusal_response(refusal)


class CallerHandler:
    """Handles requests of the caller port."""

    def __init__(
        self,
        *,
        config: ConfigCopy,
        calls: CallPath,
        spend_token: SpendToken,
        record: Callable[[RequestStats], None] = lambda stats: None,
        is_isolated: Callable[[], bool],
    ) -> None:
        self._config = config
        self._calls = calls
        self._spend_token = spend_token
        self._record = record
        self._is_isolated = is_isolated

    async def handle(self, request: Request) -> Response:
        """Handle one request of a caller and record its statistics."""
        stats = RequestStats()
        started = time.monotonic()
        try:
            return await self._respond(request, stats)
        finally:
            stats.latency_s = time.monotonic() - started
            self._record(stats)

    async def _respond(self, request: Request, stats: RequestStats) -> Response:
        try:
            call = await self._accept(request, stats)
        except RefusedError as error:
            stats.refusal = error.refusal
            return refusal_response(error.refusal)
        outcome = await self._calls.route(call)
        match outcome:
            case CallAnswer(status=status):
                stats.status = status
            case CallRefused(refusal=refusal):
                stats.refusal = refusal
        return outcome_response(outcome)

    async def _accept(self, request: Request, stats: RequestStats) -> CallRequest:
        service, path, route = resolve_route(self._config, request)
        stats.service = service
        contract = self._authorize(request, route, service)
        if contract is not None:
            stats.account = contract.account
            stats.objectives = contract.objectives
        timeout_s = read_timeout_s(request, route)
        key = read_idempotency_key(request, route)
        if contract is not None:
            refusal = await self._spend_token(contract)
            if refusal is not None:
                raise RefusedError(refusal)
        return CallRequest(
            request_id=0,
            service=service,
            method=request.method,
            path=path,
            headers=forwarded_headers(request.fields),
            body=request.body,
            account=OPEN_ACCOUNT if contract is None else contract.account,
            chain_id=new_chain_id(),
            depth=1,
            timeout_ms=round(timeout_s * 1000),
            criticality=route.criticality,
            semantics=route.semantics,
            retry_credits=0 if contract is None else contract.retry_credits,
            idempotency_key=key,
        )

    def _authorize(
        self, request: Request, route: Route, service: ServiceName
    ) -> Contract | None:
        key = read_key(request.fields)
        if key is None:
            if route.open:
                return None
            raise RefusedError(
                Refusal(
                    reason=RefusalReason.KEY_MISSING,
                    message="send the key as Authorization: Bearer or X-Api-Key",
                )
            )
        if self._is_isolated():
            raise RefusedError(_isolated_refusal())
        withdrawn = self._config.withdrawn
        if withdrawn and digest_key(key) in withdrawn:
            raise RefusedError(_key_refusal(RefusalReason.KEY_WITHDRAWN))
        authenticated = authenticate(self._config.snapshot, key)
        if not is_successful(authenticated):
            raise RefusedError(_key_refusal(authenticated.failure()))
        contract = authenticated.unwrap()
        _check_service(contract, service)
        return contract


def read_key(fields: list[Field]) -> str | None:
    """Return the client key of a request, or None."""
    value = get_field(fields, b"authorization")
    if value is not None:
        scheme, _, token = value.partition(b" ")
        if scheme.lower() == b"bearer" and token:
            return token.strip().decode("latin-1")
    value = get_field(fields, b"x-api-key")
    return None if value is None else value.strip().decode("latin-1")


def forwarded_headers(fields: list[Field]) -> list[Header]:
    """Return the fields to forward to a target: no client keys, no internal fields."""
    return [Header(*f) for f in strip_hop_by_hop(fields, _NEVER_FORWARDED)]


def _isolated_refusal() -> Refusal:
    return Refusal(
        reason=RefusalReason.ISOLATED,
        message="this node reaches neither a peer nor the store and cannot check "
        "keys; send the call to another node",
        retry_after_s=RETRY_AFTER_S,
    )


def _key_refusal(reason: RefusalReason) -> Refusal:
    if reason is RefusalReason.KEY_WITHDRAWN:
        message = "this key was withdrawn; ask the operator for a new one"
    else:
        message = "this key is not known; check it, or ask the operator for a key"
    return Refusal(reason=reason, message=message)


def _check_service(contract: Contract, service: ServiceName) -> None:
    if contract.services and service not in contract.services:
        raise RefusedError(
            Refusal(
                reason=RefusalReason.SERVICE_NOT_ALLOWED,
                message=f"the contract of {contract.account} does not include "
                f"service {service}",
            )
        )
