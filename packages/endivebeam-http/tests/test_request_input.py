"""Tests of the work that the input of one connection gets in a turn."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from endivebeam_http import HttpError, Request, RequestParser
from endivebeam_http import _request_input as request_input
from endivebeam_http._request_input import (
    MAX_TURN_WORK,
    MIN_PROGRESS_BYTES,
    SMALL_PART_BYTES,
    InputQueue,
    RequestInput,
)

TINY_CHUNK = b"1\r\na\r\n"
HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
SHORT = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
MANY_FIELDS = SHORT[:-2] + b"".join(b"x-%d: a\r\n" % n for n in range(90)) + b"\r\n"
READ_BYTES = 256 << 10
# The last part of a turn may bring this much work more.
MAX_LAST_WORK = 1 << 10

MESSAGES = st.lists(
    st.sampled_from(
        [
            SHORT,
            HEAD + TINY_CHUNK * 300 + b"0\r\n\r\n",
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9000\r\n\r\n" + bytes(9000),
        ]
    ),
    max_size=5,
).map(b"".join)


def parse_turn(received: RequestInput, parser: RequestParser) -> int:
    """Parse in one turn and return the work."""
    before = parser.work
    received.parse()
    return parser.work - before


class TestTurn:
    @pytest.mark.parametrize(
        "data",
        [
            HEAD + TINY_CHUNK * (READ_BYTES // len(TINY_CHUNK)),
            SHORT * 9000,
            MANY_FIELDS * 400,
        ],
        ids=["chunks of one byte", "many requests", "many fields"],
    )
    def test_has_bounded_work_however_much_was_read(self, data: bytes):
        """Guards against one connection that keeps the loop from all others."""
        parser = RequestParser()
        received = RequestInput(parser=parser)
        received.add(data)
        turns = 0
        while received.has_unparsed:
            assert parse_turn(received, parser) <= MAX_TURN_WORK + MAX_LAST_WORK
            turns += 1
        assert turns > 20

    def test_later_turns_have_small_parts(self):
        parser = RequestParser()
        received = RequestInput(parser=parser)
        received.add(HEAD + TINY_CHUNK * 20_000)
        received.parse()
        last_work = MAX_TURN_WORK + SMALL_PART_BYTES // len(TINY_CHUNK) + 1
        while received.has_unparsed:
            assert parse_turn(received, parser) <= last_work

    def test_long_body_needs_one_turn(self):
        size = 1 << 20
        parser = RequestParser()
        received = RequestInput(parser=parser)
        head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % size
        received.add(head + bytes(size))
        received.parse()
        (request,) = received.pop_requests()
        assert len(request.body) == size
        assert received.is_empty

    @given(MESSAGES, st.integers(1, 5000))
    def test_turns_give_the_same_requests_as_one_feed(self, data: bytes, size: int):
        received = RequestInput(parser=RequestParser())
        requests: list[Request] = []
        for start in range(0, len(data), size):
            received.add(data[start : start + size])
            received.parse()
            requests += received.pop_requests()
        while received.has_unparsed:
            received.parse()
            requests += received.pop_requests()
        assert requests == RequestParser().feed(data)

    def test_requests_before_a_malformed_one_are_kept(self):
        received = RequestInput(parser=RequestParser())
        received.add(SHORT + SHORT + b"nonsense\r\n\r\n")
        with pytest.raises(HttpError):
            received.parse()
        assert len(received.pop_requests()) == 2

    def test_has_few_requests_with_many_fields(self):
        """Guards against heads whose fields keep the loop from other connections."""
        received = RequestInput(parser=RequestParser())
        received.add(MANY_FIELDS * 400)
        received.parse()
        assert len(received.pop_requests()) <= 4


class TestHeldBytes:
    def test_are_those_received_and_not_complete(self):
        received = RequestInput(parser=RequestParser())
        received.add(HEAD + TINY_CHUNK * 10)
        received.parse()
        assert 10 <= received.held_bytes <= len(HEAD) + 10 * len(TINY_CHUNK)
        received.add(b"0\r\n\r\n")
        received.parse()
        assert received.held_bytes == 0

    def test_nothing_is_left_after_clear(self):
        received = RequestInput(parser=RequestParser())
        received.add(HEAD + TINY_CHUNK * 20_000)
        received.parse()
        received.clear()
        assert received.held_bytes == 0
        assert received.is_empty


class TestStall:
    def test_begins_with_the_last_progress(self):
        received = RequestInput(parser=RequestParser())
        received.add(HEAD)
        received.parse()
        assert received.stalled_s(10.0) == 0.0
        assert received.stalled_s(13.0) == 3.0

    def test_a_byte_now_and_then_is_no_progress(self):
        """Guards against callers that hold memory with a byte a second."""
        received = RequestInput(parser=RequestParser())
        received.add(HEAD)
        for second in range(10):
            received.add(TINY_CHUNK)
            received.parse()
            assert received.stalled_s(float(second)) == float(second)
        received.add(b"%x\r\n%b\r\n" % (MIN_PROGRESS_BYTES, bytes(MIN_PROGRESS_BYTES)))
        received.parse()
        assert received.stalled_s(20.0) == 0.0

    def test_of_an_earlier_request_does_not_count(self):
        received = RequestInput(parser=RequestParser())
        received.add(HEAD)
        received.parse()
        assert received.stalled_s(10.0) == 0.0
        received.add(b"0\r\n\r\n" + HEAD)
        received.parse()
        assert received.stalled_s(50.0) == 0.0


@pytest.mark.anyio
class TestInputQueue:
    async def test_others_run_between_the_turns(self):
        """Guards against a queue that keeps the loop until it is empty."""
        queue = InputQueue()
        turns = 0

        def take_turn() -> None:
            nonlocal turns
            turns += 1
            queue.add(take_turn)

        for _ in range(50):
            queue.add(take_turn)
        for _ in range(20):
            before = turns
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert turns > before

    async def test_one_has_its_turn_in_each_iteration_however_slow(
        self, monkeypatch: pytest.MonkeyPatch
    ):
        monkeypatch.setattr(request_input, "TURNS_S", 0.0)
        queue = InputQueue()
        taken: list[int] = []
        for number in range(3):
            queue.add(lambda number=number: taken.append(number))
        for _ in range(4):
            await asyncio.sleep(0)
        assert taken == [0, 1, 2]
