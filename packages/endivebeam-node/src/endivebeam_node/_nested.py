"""Local port: announcements of the target and its nested calls."""

import hashlib
from collections.abc import Callable

import anyio
import msgspec
from returns.result import Failure, Success

from endivebeam_http import Request, Response
from endivebeam_model import (
    Criticality,
    Refusal,
    RefusalReason,
    Route,
    RunStatus,
    Semantics,
    ServiceName,
)
from endivebeam_wire import CallAnswer, CallRequest

from ._callers import (
    IDEMPOTENCY_FIELD,
    OPEN_ACCOUNT,
    RefusedError,
    forwarded_headers,
    new_chain_id,
    outcome_response,
    read_idempotency_key,
    read_timeout_s,
    refusal_response,
    resolve_route,
)
from ._calls import CallPath
from ._clock import read_clock
from ._config import ConfigCopy
from ._forward import CONTEXT_FIELD
from ._inflight import Context, InFlight
from ._outcomes import refuse
from ._ports import Outcome
from ._targets import Announcement, LocalTarget

ANNOUNCE_PATH = "/v1/target"
MAX_DEPTH = 32
# Failed nested calls recorded per call. Above the bound, every nested call is
# charged as a retry.
MAX_FAILED_CALLS = 1024


class LocalHandler:
    """Handles requests of the target beside this node."""

    def __init__(
        self,
        *,
        config: ConfigCopy,
        calls: CallPath,
        target: LocalTarget,
        in_flight: InFlight,
        on_announcement: Callable[[Announcement], None],
    ) -> None:
        self._config = config
        self._calls = calls
        self._target = target
        self._in_flight = in_flight
        self._on_announcement = on_announcement

    async def handle(self, request: Request) -> Response:
        """Handle one request of the target."""
        if request.method == "PUT" and request.target == ANNOUNCE_PATH:
            return self._announce(request)
        try:
            return await self._handle_call(request)
        except RefusedError as error:
            return refusal_response(error.refusal)

    def _announce(self, request: Request) -> Response:
        match self._target.announce(request.body, read_clock()):
            case Success(announcement):
                self._on_announcement(announcement)
                return Response(status=204)
            case Failure(message):
                return refusal_response(
                    Refusal(reason=RefusalReason.BAD_REQUEST, message=message)
                )
        raise AssertionError("a result is a success or a failure")

    async def _handle_call(self, request: Request) -> Response:
        service, path, route = resolve_route(self._config, request)
        context = self._find_context(request)
        if context is None:
            if _read_token(request) is None:
                self._in_flight.mark_all_nested()
            if not route.open:
                raise RefusedError(_context_missing_refusal())
            call = _call_without_context(request, service, path, route)
            return outcome_response(await self._calls.route(call))
        return await self._call_in_context(context, request, service, path, route)

    async def _call_in_context(
        self,
        context: Context,
        request: Request,
        service: ServiceName,
        path: str,
        route: Route,
    ) -> Response:
        identified = self._in_flight.identifies(
            context, _read_token(request), _read_traceparent(request)
        )
        holds_credits = identified and not context.credits_held
        credits = context.retry_credits if holds_credits else 0
        call = _nested_call(context, request, service, path, route, credits)
        if not identified:
            # The nested call may belong to another call, so it gets no credits and
            # the end of this call does not cancel it.
            self._in_flight.mark_all_nested()
            return outcome_response(await self._calls.route(call))
        context.has_nested = True
        call = _charge_retry(context, call)
        if holds_credits:
            context.credits_held = True
            context.retry_credits = 0
        outcome = await self._route_in_context(context, call)
        if holds_credits:
            context.credits_held = False
            context.retry_credits = min(call.retry_credits, outcome.retry_credits)
        return outcome_response(outcome)

    async def _route_in_context(self, context: Context, call: CallRequest) -> Outcome:
        outcome: Outcome | None = None
        with anyio.CancelScope() as scope:
            context.start_nested(scope, read_clock())
            try:
                outcome = await self._calls.route(call)
            finally:
                context.end_nested(scope, read_clock())
                if _has_failed(outcome):
                    context.failed.add(_digest_call(call))
        if outcome is None:
            return refuse(
                RefusalReason.DEADLINE_EXCEEDED,
                "the call that this nested call belongs to has ended",
                run=RunStatus.UNKNOWN,
            )
        return outcome

    def _find_context(self, request: Request) -> Context | None:
        token = _read_token(request)
        traceparent = _read_traceparent(request)
        if token is None and traceparent is None:
            return self._in_flight.find_by_common_account()
        found = self._in_flight.find(token, traceparent)
        if found is None and token is None:
            return self._in_flight.find_by_common_account()
        return found


def _read_token(request: Request) -> str | None:
    token = request.get(CONTEXT_FIELD)
    return None if token is None else token.decode("latin-1")


def _read_traceparent(request: Request) -> str | None:
    value = request.get(b"traceparent")
    return None if value is None else value.decode("latin-1")


def _has_failed(outcome: Outcome | None) -> bool:
    match outcome:
        case CallAnswer(status=status):
            return status >= 500
    return True


def _digest_call(call: CallRequest) -> bytes:
    digest = hashlib.blake2b(digest_size=16)
    for part in (call.service, call.method, call.path):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(call.body)
    return digest.digest()


def _charge_retry(context: Context, call: CallRequest) -> CallRequest:
    """Charge one credit when a target retries a nested call that failed.

    Otherwise targets that retry on their own would multiply the attempts at each
    depth, which the retry credits of the chain must prevent.
    """
    is_full = len(context.failed) >= MAX_FAILED_CALLS
    if not is_full and _digest_call(call) not in context.failed:
        return call
    if call.retry_credits < 1:
        raise RefusedError(
            Refusal(
                reason=RefusalReason.OVERLOADED,
                message="this nested call failed before, and the chain has no "
                "retry credit left to repeat it",
            )
        )
    return msgspec.structs.replace(call, retry_credits=call.retry_credits - 1)


def _context_missing_refusal() -> Refusal:
    return Refusal(
        reason=RefusalReason.CONTEXT_MISSING,
        message="this call names no call in flight; repeat the "
        "Endivebeam-Context or traceparent header of the call being served",
    )


def _nested_call(
    context: Context,
    request: Request,
    service: ServiceName,
    path: str,
    route: Route,
    credits: int,
) -> CallRequest:
    parent = context.call
    if parent.depth >= MAX_DEPTH:
        raise RefusedError(
            Refusal(
                reason=RefusalReason.CHAIN_TOO_DEEP,
                message=f"the call chain is deeper than {MAX_DEPTH} calls",
            )
        )
    remaining_s = context.deadline - read_clock()
    timeout_s = min(remaining_s, read_timeout_s(request, route))
    return CallRequest(
        request_id=0,
        service=service,
        method=request.method,
        path=path,
        headers=forwarded_headers(request.fields),
        body=request.body,
        account=parent.account,
        chain_id=parent.chain_id,
        depth=parent.depth + 1,
        timeout_ms=max(0, round(timeout_s * 1000)),
        criticality=_higher_criticality(parent.criticality, route.criticality),
        semantics=route.semantics,
        retry_credits=credits,
        idempotency_key=_nested_key(parent, request, service, path, route),
    )


def _higher_criticality(first: Criticality, second: Criticality) -> Criticality:
    # A nested call inherits a higher criticality: a critical booking fails if a
    # sheddable look-up that it makes is shed.
    order = (Criticality.CRITICAL, Criticality.NORMAL, Criticality.SHEDDABLE)
    return min(first, second, key=order.index)


def _nested_key(
    parent: CallRequest,
    request: Request,
    service: ServiceName,
    path: str,
    route: Route,
) -> str:
    own_key = request.get(IDEMPOTENCY_FIELD)
    needs_key = route.semantics is Semantics.AT_MOST_ONCE
    if own_key is not None or not needs_key or not parent.idempotency_key:
        return read_idempotency_key(request, route)
    # A retried parent makes its nested calls again. The derived key identifies them
    # as retries. Idempotency keys are scoped by service, so the digest includes the
    # parent's service.
    digest = hashlib.sha256()
    source = (parent.service, parent.idempotency_key, service, request.method, path)
    for part in source:
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(request.body)
    return "derived-" + digest.hexdigest()


def _call_without_context(
    request: Request, service: ServiceName, path: str, route: Route
) -> CallRequest:
    return CallRequest(
        request_id=0,
        service=service,
        method=request.method,
        path=path,
        headers=forwarded_headers(request.fields),
        body=request.body,
        account=OPEN_ACCOUNT,
        chain_id=new_chain_id(),
        depth=1,
        timeout_ms=round(read_timeout_s(request, route) * 1000),
        criticality=route.criticality,
        semantics=route.semantics,
        retry_credits=0,
        idempotency_key=read_idempotency_key(request, route),
    )
