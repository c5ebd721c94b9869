"""Nested calls: the parent they are attributed to, and the fields forwarded."""

import asyncio
from typing import cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from endivebeam_http import Field, Request, Response
from endivebeam_model import (
    AccountId,
    ChainId,
    Criticality,
    Route,
    Semantics,
    Service,
    ServiceName,
    Snapshot,
)
from endivebeam_node._callers import forwarded_headers
from endivebeam_node._calls import CallPath
from endivebeam_node._config import ConfigCopy
from endivebeam_node._forward import _to_request
from endivebeam_node._inflight import Context, InFlight, parse_trace_id
from endivebeam_node._nested import MAX_DEPTH, LocalHandler
from endivebeam_node._targets import LocalTarget
from endivebeam_wire import CallAnswer, CallRequest, Header, LoadReport

TRACE = "0af7651916cd43dd8448eb211c80319c"
PARENT = f"00-{TRACE}-b7ad6b7169203331-01".encode()
ROUTES = (
    Route(),
    Route(path="/open", open=True),
    Route(path="/once", semantics=Semantics.AT_MOST_ONCE),
)


def make_call(account: str = "a", depth: int = 1, **fields: object) -> CallRequest:
    values: dict[str, object] = {
        "request_id": 0,
        "service": ServiceName("s"),
        "method": "GET",
        "path": "/",
        "headers": [],
        "body": b"",
        "account": AccountId(account),
        "chain_id": ChainId("chain-" + account),
        "depth": depth,
        "timeout_ms": 5000,
        "criticality": Criticality.NORMAL,
        "semantics": Semantics.IDEMPOTENT,
        "retry_credits": 2,
    }
    return CallRequest(**(values | fields))  # type: ignore[arg-type]


def traced_call(account: str = "a", **fields: object) -> CallRequest:
    return make_call(account, headers=[Header(b"traceparent", PARENT)], **fields)


class RecordingNode:
    """A local port that records calls instead of routing them."""

    def __init__(self) -> None:
        self.routed: list[CallRequest] = []
        self.in_flight = InFlight()
        config = ConfigCopy()
        service = Service(service=ServiceName("s"), routes=ROUTES)
        config.snapshot = Snapshot(services={service.service: service})
        self._handler = LocalHandler(
            config=config,
            calls=cast(CallPath, self),
            target=LocalTarget(),
            in_flight=self.in_flight,
            on_announcement=lambda announcement: None,
        )

    async def route(self, call: CallRequest) -> CallAnswer:
        self.routed.append(call)
        return CallAnswer(
            request_id=0,
            status=200,
            headers=[],
            body=b"",
            retry_credits=call.retry_credits,
            load=LoadReport(in_use=0, limit=1),
        )

    def open(self, call: CallRequest, left_s: float = 5.0) -> Context:
        """Open a call; its deadline is on the clock of ``send``, which stays at 0."""
        return self.in_flight.open(call, left_s)

    def send(
        self, *fields: tuple[bytes, bytes], path: str = "/", body: bytes = b""
    ) -> Response:
        """Send a nested call at time 0 and return the response to the target."""
        listed = [Field(*f) for f in fields]
        request = Request(method="POST", target="/s" + path, fields=listed, body=body)
        loop = asyncio.new_event_loop()
        loop.time = lambda: 0.0  # type: ignore[method-assign]
        try:
            return loop.run_until_complete(self._handler.handle(request))
        finally:
            loop.close()

    def reason(self, response: Response) -> bytes | None:
        return response.get(b"endivebeam-reason")


@pytest.fixture
def node() -> RecordingNode:
    return RecordingNode()


def token_field(context: Context) -> tuple[bytes, bytes]:
    return b"endivebeam-context", context.token.encode()


class TestAttribution:
    def test_token_identifies_its_call(self, node: RecordingNode):
        """Guards against a nested call that is attributed to another account."""
        first, second = node.open(make_call("a")), node.open(make_call("b"))
        for context in (second, first):
            node.send(token_field(context))
            call = node.routed[-1]
            assert call.account == context.call.account
            assert call.chain_id == context.call.chain_id
            assert (call.depth, call.retry_credits) == (2, 2)

    @pytest.mark.parametrize("forged", [True, False])
    def test_token_of_no_call_is_refused(self, node: RecordingNode, forged: bool):
        """Guards against a guessed token, and a token used after its call ended."""
        node.open(make_call("a"))
        ended = node.open(make_call("a"))
        node.in_flight.close(ended)
        value = b"0" * 32 if forged else ended.token.encode()
        refused = node.send((b"endivebeam-context", value), (b"traceparent", PARENT))
        assert node.reason(refused) == b"context_missing"
        assert node.routed == []

    def test_traceparent_identifies_its_call(self, node: RecordingNode):
        """Guards against rejecting targets that only copy trace headers."""
        node.open(make_call("b"))
        node.open(traced_call("a"))
        node.send((b"traceparent", PARENT))
        assert (node.routed[-1].account, node.routed[-1].retry_credits) == ("a", 2)

    def test_trace_id_of_two_accounts_is_ambiguous(self, node: RecordingNode):
        """Guards against an account that runs calls as another with its trace id."""
        node.open(traced_call("a"))
        node.open(traced_call("b"))
        refused = node.send((b"traceparent", PARENT))
        assert node.reason(refused) == b"context_missing"
        assert node.routed == []

    def test_shared_trace_id_of_one_account_gets_no_credits(self, node: RecordingNode):
        """Guards against credits of one call that another call spends."""
        node.open(traced_call("a"))
        node.open(traced_call("a"))
        node.send((b"traceparent", PARENT))
        assert (node.routed[-1].account, node.routed[-1].retry_credits) == ("a", 0)

    def test_missing_context_of_one_account(self, node: RecordingNode):
        """Guards against rejecting a call that can belong to one account only."""
        node.open(make_call("a"), left_s=5.0)
        node.open(make_call("a"), left_s=2.0)
        node.send()
        call = node.routed[-1]
        assert (call.account, call.retry_credits, call.timeout_ms) == ("a", 0, 2000)

    def test_missing_context_of_two_accounts(self, node: RecordingNode):
        """Guards against attributing a call to an arbitrary account."""
        node.open(make_call("a"))
        node.open(make_call("b"))
        assert node.reason(node.send()) == b"context_missing"
        assert node.routed == []
        assert node.send(path="/open").status == 200
        assert (node.routed[-1].account, node.routed[-1].retry_credits) == ("", 0)

    @given(calls=st.lists(st.tuples(st.sampled_from("abc"), st.booleans())))
    def test_lookup_equals_a_scan_of_open_calls(self, calls: list[tuple[str, bool]]):
        """Guards against indexes that differ from a scan of the open calls."""
        in_flight = InFlight()
        still_open: list[CallRequest] = []
        for account, remains in calls:
            call = traced_call(account)
            context = in_flight.open(call, 1.0)
            if remains:
                still_open.append(call)
            else:
                in_flight.close(context)
        accounts = {call.account for call in still_open}
        expected = accounts.pop() if len(accounts) == 1 else None
        by_trace = in_flight.find(None, PARENT.decode())
        for found in (by_trace, in_flight.find_by_common_account()):
            assert (found.call.account if found else None) == expected
        assert len(in_flight) == len(still_open)

    @given(value=st.text())
    def test_any_traceparent_is_parsed(self, value: str):
        """Guards against a header value that raises an exception."""
        trace_id = parse_trace_id(value)
        assert trace_id is None or len(trace_id) == 32


class TestLimits:
    def test_depth_is_bounded(self, node: RecordingNode):
        """Guards against endless recursion of calls."""
        node.send(token_field(node.open(make_call(depth=MAX_DEPTH - 1))))
        assert node.routed[-1].depth == MAX_DEPTH
        refused = node.send(token_field(node.open(make_call(depth=MAX_DEPTH))))
        assert node.reason(refused) == b"chain_too_deep"
        assert len(node.routed) == 1

    def test_derived_key(self, node: RecordingNode):
        """Guards against nested calls that run twice, or share one record."""
        parent = make_call(idempotency_key="k")
        other = make_call(idempotency_key="other")
        keys = []
        for call, body in (
            (parent, b"1"),
            (parent, b"1"),
            (parent, b"2"),
            (other, b"1"),
        ):
            node.send(token_field(node.open(call)), path="/once", body=body)
            keys.append(node.routed[-1].idempotency_key)
        assert keys[0] == keys[1]
        assert len(set(keys)) == 3
        node.send(
            token_field(node.open(parent)), (b"idempotency-key", b"own"), path="/once"
        )
        assert node.routed[-1].idempotency_key == "own"

    def test_nested_call_without_key_is_refused(self, node: RecordingNode):
        """Guards against an at-most-once call without a record."""
        refused = node.send(token_field(node.open(make_call())), path="/once")
        assert node.reason(refused) == b"idempotency_key_required"
        assert node.routed == []


SECRETS = [b"authorization", b"x-api-key"]
INTERNAL = [b"endivebeam-context", b"endivebeam-run", b"endivebeam-timeout-ms"]
NAMES = st.sampled_from(
    [*SECRETS, *INTERNAL, b"accept", b"cookie", b"x-hop", b"te", b"traceparent"]
)
VALUES = st.binary(max_size=8).map(lambda value: b"given-" + value)
FIELDS = st.lists(
    st.builds(Field, NAMES, VALUES)
    | st.builds(Field, st.just(b"connection"), st.just(b"keep-alive, X-Hop")),
    max_size=12,
)


class TestForwardedHeaders:
    @given(fields=FIELDS)
    def test_keys_and_internal_headers_are_never_forwarded(self, fields: list[Field]):
        """Guards against client keys sent to a target, and against forged fields."""
        context = InFlight().open(make_call(), 1.0)
        call = make_call(headers=forwarded_headers(fields))
        names = [h.name for h in call.headers]
        assert not {*SECRETS, *INTERNAL, b"te", b"connection"} & set(names)
        lists_hop = any(f.name == b"connection" for f in fields)
        forwarded = {b"accept", b"cookie", b"traceparent"} | (
            set() if lists_hop else {b"x-hop"}
        )
        assert call.headers == [Header(*f) for f in fields if f.name in forwarded]
        sent = _to_request(call, context).fields
        assert [f.value for f in sent if f.name in INTERNAL] == [
            context.token.encode(),
            b"5000",
        ]
        assert not [f for f in sent if f.name in SECRETS]
