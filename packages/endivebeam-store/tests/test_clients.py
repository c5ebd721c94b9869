"""Tests of the platform clients with faulty responses."""

from collections.abc import Callable

import anyio
import httpx
import msgspec
import pytest
from returns.result import Failure, Success

from endivebeam_model import OperationId
from endivebeam_store import (
    Committed,
    Condition,
    Conflict,
    HttpObjects,
    HttpTable,
    Put,
    Row,
    Transaction,
    Unavailable,
    read_seeds,
)

ROW = Row(key="a/b", value="1", version=3, op_id=OperationId("op1"))
OWN = Transaction(
    op_id=OperationId("op1"),
    conditions=(Condition(key="a/b", version=2),),
    puts=(Put(key="a/b", value="1"),),
)
LIMIT = 1000

MakeResponse = Callable[[], httpx.Response | Exception]


class CutStream(httpx.AsyncByteStream):
    """A response body during which the connection breaks."""

    async def __aiter__(self):
        yield b'{"key": "a/b", "val'
        raise httpx.ReadError("connection reset")


def make_cut_response() -> httpx.Response:
    return httpx.Response(200, stream=CutStream())


def make_row_response(**changes: object) -> httpx.Response:
    changed = msgspec.structs.replace(ROW, **changes)
    return httpx.Response(200, content=msgspec.json.encode(changed))


def make_client(*responses: httpx.Response | Exception) -> httpx.AsyncClient:
    """Return a client that receives these responses in order."""
    remaining = list(responses)

    def respond(request: httpx.Request) -> httpx.Response:
        response = remaining.pop(0)
        if isinstance(response, Exception):
            raise response
        return response

    transport = httpx.MockTransport(respond)
    return httpx.AsyncClient(transport=transport, base_url="http://platform")


def make_table(*responses: httpx.Response | Exception) -> HttpTable:
    return HttpTable(
        client=make_client(*responses), read_back_attempts=1, max_response_bytes=LIMIT
    )


class TestTableCommit:
    @pytest.mark.parametrize(
        "lost",
        [
            lambda: httpx.ReadError("reset"),
            lambda: httpx.Response(500),
            lambda: httpx.Response(503),
            lambda: httpx.Response(409, content=b"<html>"),
            lambda: httpx.Response(200, content=b"x" * (LIMIT + 1)),
            make_cut_response,
        ],
        ids=["lost", "error", "unavailable", "garbled", "oversized", "cut"],
    )
    def test_unclear_response_is_read_back(self, lost: MakeResponse):
        """Guards against losing or assuming a write whose response is unclear."""
        applied = make_table(lost(), make_row_response())
        assert anyio.run(applied.commit, OWN) == Success(Committed(op_id=OWN.op_id))
        for other in (
            make_row_response(op_id="op2"),
            httpx.Response(404),
            httpx.Response(503),
        ):
            unclear = anyio.run(make_table(lost(), other).commit, OWN).failure()
            assert isinstance(unclear, Unavailable)
            assert unclear.maybe_applied

    def test_retried_transaction_finds_its_own_row(self):
        """Guards against a conflict with the first attempt of the same write."""
        own = httpx.Response(409, content=msgspec.json.encode(Conflict(rows=(ROW,))))
        result = anyio.run(make_table(own).commit, OWN)
        assert result == Success(Committed(op_id=OWN.op_id))

    def test_conflict_contains_the_other_row(self):
        """Guards against mistaking another writer's row for the own write."""
        other = msgspec.structs.replace(ROW, op_id=OperationId("op2"))
        rows = msgspec.json.encode(Conflict(rows=(other,)))
        table = make_table(httpx.Response(409, content=rows))
        assert anyio.run(table.commit, OWN) == Failure(Conflict(rows=(other,)))

    def test_rejected_request_has_no_effect(self):
        """Guards against releasing a claim that was certainly not written."""
        result = anyio.run(make_table(httpx.Response(400)).commit, OWN)
        assert not result.failure().maybe_applied


class TestTableRead:
    @pytest.mark.parametrize(
        "response",
        [
            httpx.Response(500),
            httpx.Response(200, content=b"<html>"),
            httpx.Response(200, content=b"\xff"),
            httpx.Response(200, content=b"x" * (LIMIT + 1)),
            make_row_response(key="a/c"),
            make_row_response(version=0),
            make_cut_response(),
        ],
    )
    def test_faulty_response_is_a_failure(self, response: httpx.Response):
        """Guards against decoding a faulty response as a row or as its absence."""
        result = anyio.run(make_table(response).read, "a/b")
        assert isinstance(result, Failure)

    def test_malformed_seed_is_skipped(self):
        """Guards against a node that cannot join because of one malformed row."""
        good = '{"address": ["10.0.0.1", 7], "domain": "a"}'
        listing = {
            "rows": [
                {"key": "seeds/a/0", "value": value, "version": 1, "op_id": "x"}
                for value in ("{", good)
            ]
        }
        table = make_table(httpx.Response(200, json=listing))
        assert len(anyio.run(read_seeds, table).unwrap()) == 1


class TestObjects:
    @pytest.mark.parametrize("status", [404, 500, 503])
    def test_failed_write_is_not_success(self, status: int):
        """Guards against a record that refers to an object that was never stored."""
        objects = HttpObjects(client=make_client(httpx.Response(status)))
        assert isinstance(anyio.run(objects.write, "a", b"1"), Failure)

    def test_faulty_read_is_a_failure(self):
        """Guards against accepting a partial response or an error page as content."""
        for response in (make_cut_response(), httpx.Response(500, content=b"oops")):
            objects = HttpObjects(client=make_client(response))
            assert isinstance(anyio.run(objects.read, "a"), Failure)
        absent = HttpObjects(client=make_client(httpx.Response(404)))
        assert anyio.run(absent.read, "a") == Success(None)
