"""Requests of callers: route, account, allowance and response."""

import asyncio
import random
from http import HTTPStatus

from loguru import logger

from endivebeam_fleet import (
    AccountTerms,
    AccountUse,
    ConfigIndex,
    RouteRule,
    WeightedSelector,
    compute_key_trust_s,
)
from endivebeam_http import (
    HOP_BY_HOP,
    Exchange,
    Field,
    HttpError,
    Request,
    Response,
    encode_end_to_end,
)
from endivebeam_model import AccountId, Refusal, RefusalReason
from endivebeam_wire import ForwardReply

from ._allowances import Allowances, SpendResult
from ._attempts import Call, CallSender
from ._clock import read_clock
from ._decisions import Decision, DecisionLog, DisconnectDetail, RefusalDetail
from ._metrics import SidecarMetrics
from ._planned_stop import PlannedStop
from ._settings import SidecarSettings
from ._state import FleetState
from ._target import LocalTarget

# Larger than any rank of a route, so that the rank of the account decides first.
ACCOUNT_RANK_STEP = 4
RATE_RETRY_AFTER_S = 0.5
STALE_RETRY_AFTER_S = 0.5
# Another node is there at once.
STOPPING_RETRY_AFTER_S = 0.05
_BEARER = b"bearer "


class CallerHandler:
    """Handles the requests that callers send to this node."""

    def __init__(
        self,
        *,
        settings: SidecarSettings,
        fleet: FleetState,
        allowances: Allowances,
        sender: CallSender,
        target: LocalTarget,
        metrics: SidecarMetrics,
        decisions: DecisionLog,
    ) -> None:
        self._decisions = decisions
        self._settings = settings
        self._fleet = fleet
        self._allowances = allowances
        self._sender = sender
        self._target = target
        self._metrics = metrics
        bounds = settings.bounds
        self._key_trust_s = compute_key_trust_s(bounds.key_withdrawal_s)
        # A route or key that is missing may be in a version that is due after this.
        self._denial_trust_s = min(bounds.propagation_s, self._key_trust_s)
        self._selectors: dict[str, WeightedSelector] = {}
        self.planned_stop: PlannedStop | None = None
        names = settings.headers
        self._caller_service_field = b"%b: %b\r\n" % (
            names.caller_service,
            settings.service.encode(),
        )
        self._dropped_fields = HOP_BY_HOP | frozenset(
            {
                b"authorization",
                b"content-length",
                b"expect",
                names.call_id,
                names.deadline_ms,
                names.account,
                names.caller_service,
                names.expected_instance,
            }
        )

    async def handle(self, exchange: Exchange) -> Response:
        """Return a target's response, or a refusal with the run status."""
        arrived = read_clock()
        request = exchange.request
        call_id = request.get(self._settings.headers.call_id) or b""
        try:
            outcome = await self._process(exchange, call_id.decode("latin-1"), arrived)
        except asyncio.CancelledError:
            self._log_disconnect(call_id, read_clock() - arrived)
            raise
        took_s = read_clock() - arrived
        if isinstance(outcome, Refusal):
            self._log_refusal(call_id, outcome, took_s)
            self._metrics.observe_request(outcome.reason.value, took_s)
            return self._encode_refusal(outcome, call_id)
        outcome_label = "answered" if outcome.status < 500 else "target_error"
        self._metrics.observe_request(outcome_label, took_s)
        return Response(
            status=outcome.status,
            encoded_fields=outcome.encoded_fields,
            body=outcome.body,
        )

    def reject_malformed(self, error: HttpError) -> Response:
        """Return the response to bytes that are not a valid request."""
        logger.bind(status=int(error.status), reason=error.message).info(
            "calls: A request was rejected while it was received."
        )
        self._metrics.rejected_input.labels(status=str(int(error.status))).inc()
        fields = [Field(b"content-type", b"text/plain")]
        if error.retry_after_s is not None:
            fields.append(_encode_retry_after(error.retry_after_s))
        body = error.message.encode() + b"\n"
        return Response(status=int(error.status), fields=fields, body=body)

    async def _process(
        self, exchange: Exchange, call_id: str, arrived: float
    ) -> ForwardReply | Refusal:
        request = exchange.request
        index = self._fleet.index
        if index is None:
            return _not_ready("no configuration is known yet")
        if not self._fleet.knows_members:
            return _not_ready("the members of the fleet are not known yet")
        host = (request.get(b"host") or b"").decode("latin-1")
        route = index.find_route(host, request.target)
        if route is None:
            return self._deny_unless_outdated(
                RefusalReason.NO_ROUTE, "no route matches"
            )
        terms = self._find_account(index, route, request)
        if isinstance(terms, Refusal):
            return terms
        if not route.destinations:
            return Refusal(
                reason=RefusalReason.NO_TARGET,
                message="the route leads to no service",
                retry_after_s=STALE_RETRY_AFTER_S,
            )
        if not self._can_finish(request, route, arrived):
            return Refusal(
                reason=RefusalReason.DRAINING,
                message="the node stops before the request may have ended",
                retry_after_s=STOPPING_RETRY_AFTER_S,
            )
        if terms is not None:
            spend_result = await self._allowances.spend(terms)
            if spend_result is SpendResult.ABOVE_RATE:
                return self._reject_above_rate(terms, call_id)
            if spend_result is SpendResult.UNKNOWN:
                return _not_ready("no node holds the account's rate at present")
        call = self._make_call(index, request, route, terms, call_id, arrived)
        outcome = await self._sender.run(call)
        if terms is not None and isinstance(outcome, Refusal):
            self._refund_token(terms, outcome)
        return outcome

    def _can_finish(self, request: Request, route: RouteRule, now: float) -> bool:
        """Return whether a request is sure to end before a planned stop does."""
        if self.planned_stop is None:
            return True
        return self.planned_stop.admits(self._time_left_s(request, route), now)

    def _reject_above_rate(self, terms: AccountTerms, call_id: str) -> Refusal:
        self._decisions.write(
            Decision.RATE_LIMITED, lambda: self._allowances.describe(terms, call_id)
        )
        return Refusal(
            reason=RefusalReason.RATE_EXCEEDED,
            message="the client account is above its rate",
            retry_after_s=RATE_RETRY_AFTER_S,
        )

    def _find_account(
        self, index: ConfigIndex, route: RouteRule, request: Request
    ) -> AccountTerms | Refusal | None:
        if route.open_to_all:
            return None
        key = _read_key(request)
        is_required = index.config.account_use is AccountUse.REQUIRED
        if key is None and not is_required:
            return None
        # Where no account is required, the newest version may still withdraw keys.
        age_s = self._fleet.freshness.age_s(read_clock())
        if age_s > self._key_trust_s:
            return _not_ready(f"keys were last confirmed {age_s:.1f} s ago")
        if not is_required:
            return None
        if key is None:
            return self._deny_unless_outdated(
                RefusalReason.KEY_MISSING, "the request has no key"
            )
        terms = index.find_account(key)
        if terms is None:
            return self._deny_unless_outdated(
                RefusalReason.KEY_UNKNOWN, "the key is not known"
            )
        return terms

    def _deny_unless_outdated(self, reason: RefusalReason, message: str) -> Refusal:
        """Return a refusal that is final only if the configuration is recent."""
        if self._fleet.freshness.age_s(read_clock()) > self._denial_trust_s:
            return _not_ready("the configuration may be outdated")
        return Refusal(reason=reason, message=message)

    def _make_call(
        self,
        index: ConfigIndex,
        request: Request,
        route: RouteRule,
        terms: AccountTerms | None,
        call_id: str,
        arrived: float,
    ) -> Call:
        time_left_s = self._time_left_s(request, route)
        return Call(
            call_id=call_id,
            route=route,
            service=self._selector(route).next_service(route.destinations),
            method=request.method,
            path=request.target,
            encoded_fields=self._encode_fields(request),
            body=request.body,
            account=terms.account if terms else AccountId(""),
            rank=self._find_rank(route, terms),
            internal=_may_be_internal(terms),
            shed_order=index.shed_order(route),
            deadline=arrived + time_left_s,
        )

    def _encode_fields(self, request: Request) -> bytes:
        fields = encode_end_to_end(request.fields, dropped=self._dropped_fields)
        return fields + self._caller_service_field

    def _find_rank(self, route: RouteRule, terms: AccountTerms | None) -> float:
        if terms is None:
            mean = self._target.mean_rank
            return float(route.rank) if mean is None else mean
        return ACCOUNT_RANK_STEP * (terms.rank or 0) + route.rank

    def _time_left_s(self, request: Request, route: RouteRule) -> float:
        """Return how long a request may take, in seconds from its arrival."""
        return min(self._caller_timeout_s(request), route.timeout_s)

    def _caller_timeout_s(self, request: Request) -> float:
        value = request.get(self._settings.headers.deadline_ms)
        try:
            return max(0.0, int(value) / 1000) if value is not None else float("inf")
        except (ValueError, OverflowError):
            return float("inf")

    def _selector(self, route: RouteRule) -> WeightedSelector:
        selector = self._selectors.get(route.name)
        if selector is None:
            selector = self._selectors[route.name] = WeightedSelector(
                start=random.random()
            )
        return selector

    def _refund_token(self, terms: AccountTerms, refusal: Refusal) -> None:
        if refusal.status in (HTTPStatus.SERVICE_UNAVAILABLE,):
            self._allowances.refund(terms)

    def _encode_refusal(self, refusal: Refusal, call_id: bytes) -> Response:
        fields = [Field(b"content-type", b"application/json")]
        if call_id:
            fields.append(Field(self._settings.headers.call_id, call_id))
        if refusal.retry_after_s is not None:
            fields.append(_encode_retry_after(refusal.retry_after_s))
        return Response(status=refusal.status, fields=fields, body=refusal.to_json())

    def _log_disconnect(self, call_id: bytes, took_s: float) -> None:
        self._metrics.observe_request("abandoned", took_s)
        self._decisions.write(
            Decision.DISCONNECTED,
            lambda: DisconnectDetail(
                id=call_id.decode("latin-1"), took_ms=int(took_s * 1000)
            ),
        )

    def _log_refusal(self, call_id: bytes, refusal: Refusal, took_s: float) -> None:
        def make_detail() -> RefusalDetail:
            return RefusalDetail(
                id=call_id.decode("latin-1"),
                status=refusal.status,
                reason=refusal.reason.value,
                run=refusal.run.value,
                took_ms=int(took_s * 1000),
                config=self._fleet.config_version,
                config_age_s=self._fleet.logged_config_age_s(),
                config_reader=self._fleet.freshness.reader or "",
                config_era=self._fleet.freshness.era,
                why=refusal.message,
            )

        self._decisions.write(Decision.REQUEST_REJECTED, make_detail)


def _encode_retry_after(seconds: float) -> Field:
    return Field(b"retry-after", f"{seconds:.2f}".encode())


def _read_key(request: Request) -> str | None:
    """Return the key of a request, or None if it carries none."""
    value = request.get(b"authorization") or b""
    if value[: len(_BEARER)].lower() != _BEARER:
        return None
    return value[len(_BEARER) :].strip().decode("latin-1")


def _may_be_internal(terms: AccountTerms | None) -> bool:
    """Return whether a request may be a call that the local target makes.

    Such a call has no account. Nothing else on the wire tells it from a request of a
    caller on a public route, so those are given the rank and the place in the queue of
    internal calls too.
    """
    return terms is None


def _not_ready(message: str) -> Refusal:
    return Refusal(
        reason=RefusalReason.ISOLATED,
        message=message,
        retry_after_s=STALE_RETRY_AFTER_S,
    )
