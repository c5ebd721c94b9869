"""The clients of the platform against faulty answers."""

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

MakeAnswer = Callable[[], httpx.Response | Exception]


class CutStream(httpx.AsyncByteStream):
    """A body whose connection breaks in the middle."""

    async def __aiter__(self):
        yield b'{"key": "a/b", "val'
        raise httpx.ReadError("connection reset")


def cut() -> httpx.Response:
    return httpx.Response(200, stream=CutStream())


def row(**changes: object) -> httpx.Response:
    changed = msgspec.structs.replace(ROW, **changes)
    return httpx.Response(200, content=msgspec.json.encode(changed))


def make_client(*answers: httpx.Response | Exception) -> httpx.AsyncClient:
    """Return a client that gets these answers in order."""
    waiting = list(answers)

    def answer(request: httpx.Request) -> httpx.Response:
        following = waiting.pop(0)
        if isinstance(following, Exception):
            raise following
        return following

    transport = httpx.MockTransport(answer)
    return httpx.AsyncClient(transport=transport, base_url="http://platform")


def make_table(*answers: httpx.Response | Exception) -> HttpTable:
    return HttpTable(
        client=make_client(*answers), read_back_attempts=1, max_answer_bytes=LIMIT
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
            cut,
        ],
        ids=["lost", "error", "unavailable", "garbled", "oversized", "cut"],
    )
    def test_unclear_answer_is_read_back(self, lost: MakeAnswer):
        """Guards against losing, or assuming, a write whose answer is unclear."""
        applied = make_table(lost(), row())
        assert anyio.run(applied.commit, OWN) == Success(Committed(op_id=OWN.op_id))
        for other in (row(op_id="op2"), httpx.Response(404), httpx.Response(503)):
            unclear = anyio.run(make_table(lost(), other).commit, OWN).failure()
            assert isinstance(unclear, Unavailable)
            assert unclear.maybe_applied

    def test_repeated_transaction_meets_itself(self):
        """Guards against a conflict with the first attempt of the same write."""
        own = httpx.Response(409, content=msgspec.json.encode(Conflict(rows=(ROW,))))
        answer = anyio.run(make_table(own).commit, OWN)
        assert answer == Success(Committed(op_id=OWN.op_id))

    def test_conflict_names_the_other_row(self):
        """Guards against taking another writer's row for the own one."""
        other = msgspec.structs.replace(ROW, op_id=OperationId("op2"))
        rows = msgspec.json.encode(Conflict(rows=(other,)))
        table = make_table(httpx.Response(409, content=rows))
        assert anyio.run(table.commit, OWN) == Failure(Conflict(rows=(other,)))

    def test_rejected_request_has_no_effect(self):
        """Guards against releasing claims that cannot exist."""
        answer = anyio.run(make_table(httpx.Response(400)).commit, OWN)
        assert not answer.failure().maybe_applied


class TestTableRead:
    @pytest.mark.parametrize(
        "answer",
        [
            httpx.Response(500),
            httpx.Response(200, content=b"<html>"),
            httpx.Response(200, content=b"\xff"),
            httpx.Response(200, content=b"x" * (LIMIT + 1)),
            row(key="a/c"),
            row(version=0),
            cut(),
        ],
    )
    def test_faulty_answer_is_a_failure(self, answer: httpx.Response):
        """Guards against reading a faulty answer as a row or as its absence."""
        result = anyio.run(make_table(answer).read, "a/b")
        assert isinstance(result, Failure)

    def test_malformed_seed_is_passed_over(self):
        """Guards against a node that cannot join because of one bad row."""
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
        """Guards against a record that names an object which was never stored."""
        objects = HttpObjects(client=make_client(httpx.Response(status)))
        assert isinstance(anyio.run(objects.write, "a", b"1"), Failure)

    def test_faulty_read_is_a_failure(self):
        """Guards against half an answer, or an error page, taken as content."""
        for answer in (cut(), httpx.Response(500, content=b"oops")):
            objects = HttpObjects(client=make_client(answer))
            assert isinstance(anyio.run(objects.read, "a"), Failure)
        absent = HttpObjects(client=make_client(httpx.Response(404)))
        assert anyio.run(absent.read, "a") == Success(None)
