"""Sends admitted calls to the target beside this node."""

import anyio
import anyio.abc

from endivebeam_http import (
    ClientPool,
    ConnectionLostError,
    Field,
    HttpError,
    NotSentError,
    Request,
    Response,
    get_field,
    strip_hop_by_hop,
)
from endivebeam_model import RefusalReason, RunStatus
from endivebeam_wire import CallAnswer, CallRequest, Header

from ._clock import read_clock
from ._inflight import Context, InFlight
from ._logs import call_logger
from ._outcomes import RETRY_AFTER_S, refuse
from ._ports import Measure, Outcome, ReportLoad
from ._targets import Announcement, LocalTarget

CONTEXT_FIELD = b"endivebeam-context"
RUN_FIELD = b"endivebeam-run"
TIMEOUT_FIELD = b"endivebeam-timeout-ms"


class TargetForwarder:
    """Forwards calls to the local target over pooled loopback connections."""

    def __init__(
        self,
        *,
        target: LocalTarget,
        in_flight: InFlight,
        report_load: ReportLoad,
        measure: Measure,
    ) -> None:
        self._target = target
        self._in_flight = in_flight
        self._report_load = report_load
        self._measure = measure
        self._pool: ClientPool | None = None
        self._pool_port = 0

    async def forward(self, call: CallRequest) -> Outcome:
        """Send a call to the target and return its outcome."""
        announcement = self._target.current(read_clock())
        if announcement is None or announcement.service != call.service:
            return refuse(
                RefusalReason.NO_TARGET,
                f"no target of service {call.service} is announced here",
                retry_after_s=RETRY_AFTER_S,
                credits=call.retry_credits,
            )
        pool = self._pool_for(announcement)
        opened_at = read_clock()
        context = self._in_flight.open(call, opened_at + call.timeout_ms / 1000)
        outcome: Outcome | None = None
        try:
            outcome = await self._send(pool, call, context)
            return outcome
        except anyio.get_cancelled_exc_class():
            context.cancel_nested()
            raise
        finally:
            self._measure(context, opened_at, outcome)
            self._in_flight.close(context)

    async def _send(
        self, pool: ClientPool, call: CallRequest, context: Context
    ) -> Outcome:
        try:
            response = await pool.request(_to_request(call, context))
        except NotSentError:
            call_logger(call).warning("calls: the target refused the connection")
            self._target.drop()
            return refuse(
                RefusalReason.NO_TARGET,
                "the target does not accept connections",
                retry_after_s=RETRY_AFTER_S,
                credits=context.retry_credits,
            )
        except (ConnectionLostError, HttpError) as error:
            context.cancel_nested()
            return refuse(
                RefusalReason.TARGET_FAILED,
                f"the target failed before it answered: {error}",
                run=RunStatus.UNKNOWN,
                credits=context.retry_credits,
            )
        if _is_refusal(response) and not context.has_nested:
            return refuse(
                RefusalReason.OVERLOADED,
                "the target refused the call without running it",
                retry_after_s=RETRY_AFTER_S,
                credits=context.retry_credits,
                load=self._report_load(),
            )
        return CallAnswer(
            request_id=call.request_id,
            status=response.status,
            headers=_response_headers(response, context),
            body=response.body,
            retry_credits=context.retry_credits,
            load=self._report_load(),
        )

    def _pool_for(self, announcement: Announcement) -> ClientPool:
        if self._pool is None or self._pool_port != announcement.port:
            port = announcement.port

            async def connect() -> anyio.abc.ByteStream:
                return await anyio.connect_tcp("127.0.0.1", port)

            self._pool_port = port
            self._pool = ClientPool(connect=connect, host=f"127.0.0.1:{port}")
        return self._pool


def _to_request(call: CallRequest, context: Context) -> Request:
    fields = [Field(h.name, h.value) for h in call.headers]
    fields.append(Field(CONTEXT_FIELD, context.token.encode()))
    fields.append(Field(TIMEOUT_FIELD, b"%d" % call.timeout_ms))
    if get_field(fields, b"traceparent") is None:
        parent = f"00-{context.trace_id}-{context.token[:16]}-00"
        fields.append(Field(b"traceparent", parent.encode()))
    return Request(method=call.method, target=call.path, fields=fields, body=call.body)


def _response_headers(response: Response, context: Context) -> list[Header]:
    # A target that made nested calls has run, even if it returns the refusal of
    # one of them; the nodes of its callers must neither retry it nor report
    # "not run".
    headers = [Header(*f) for f in strip_hop_by_hop(response.fields)]
    if not context.has_nested:
        return headers
    unknown = Header(RUN_FIELD, RunStatus.UNKNOWN.value.encode())
    return [unknown if h.name == RUN_FIELD else h for h in headers]


def _is_refusal(response: Response) -> bool:
    return response.status == 503 and response.get(RUN_FIELD) == b"not-run"
