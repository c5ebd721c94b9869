"""Heads of messages that are none by the protocol.

Guards against an answer of a target in trouble that is passed on. What the parser of
the library rejects differs from version to version, so the product's own checks are
tested without it too.
"""

import pytest

from endivebeam_http import HttpError, RequestParser, ResponseQueue
from endivebeam_http._framing import check_header, check_status, check_version
from endivebeam_http._messages import Field

END = b"content-length: 4\r\n\r\nbody"
REQUEST = b"GET / HTTP/1.1\r\nhost: t\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\n"

STATUS_LINES = {
    "status 000": b"HTTP/1.1 000 OK",
    "status 099": b"HTTP/1.1 099 OK",
    "status of two digits": b"HTTP/1.1 20 OK",
    "status of four digits": b"HTTP/1.1 2000 OK",
    "status 600": b"HTTP/1.1 600 OK",
    "status 999": b"HTTP/1.1 999 OK",
    "signed status": b"HTTP/1.1 +20 OK",
    "version 2.0": b"HTTP/2.0 200 OK",
    "version 1.2": b"HTTP/1.2 200 OK",
    "version 0.9": b"HTTP/0.9 200 OK",
    "no version": b"HTTP/ 200 OK",
    "another protocol": b"ICY 200 OK",
}
NAMES = {
    "blank inside": b"x a",
    "blank at the end": b"x-a ",
    "tab": b"x\ta",
    "nothing": b"",
    "NUL": b"x\x00a",
    "escape": b"x\x1ba",
    "delete": b"x\x7fa",
    "line end": b"x\ra",
    "no ASCII": b"x\xe9a",
    "parenthesis": b"x(a)",
}
VALUES = {
    "NUL": b"a\x00b",
    "bell": b"a\x07b",
    "escape": b"a\x1bb",
    "delete": b"a\x7fb",
    "carriage return": b"a\rb",
    "line feed": b"a\nb",
}
FRAMINGS = {
    "length with a sign": (b"content-length", b"+4"),
    "length in hexadecimal": (b"content-length", b"0x4"),
    "two lengths": (b"content-length", b"4, 4"),
    "no length": (b"content-length", b""),
    "blank in a length": (b"content-length", b"1 4"),
    "unknown transfer coding": (b"transfer-encoding", b"gzip"),
    "two transfer codings": (b"transfer-encoding", b"gzip, chunked"),
    "chunks of chunks": (b"transfer-encoding", b"chunked, chunked"),
    "identity": (b"transfer-encoding", b"identity"),
}


def check(name: bytes, value: bytes) -> None:
    check_header([Field(name, value)], max_bytes=1000, received_bytes=0)


class TestStatusLine:
    @pytest.mark.parametrize("line", STATUS_LINES.values(), ids=STATUS_LINES)
    def test_malformed_one_begins_no_answer(self, line: bytes):
        queue = ResponseQueue()
        with pytest.raises(HttpError):
            queue.feed(line + b"\r\n" + END)
        assert queue.pop() is None

    @pytest.mark.parametrize("line", STATUS_LINES.values(), ids=STATUS_LINES)
    def test_malformed_one_behind_an_answer_belongs_to_none(self, line: bytes):
        queue = ResponseQueue()
        queue.feed(RESPONSE + END + line + b"\r\n" + END)
        assert queue.pop() is not None
        assert queue.pop() is None
        assert queue.broken

    @pytest.mark.parametrize("status", [-1, 0, 99, 600, 999, 2000])
    def test_status_outside_of_the_protocol_is_rejected(self, status: int):
        with pytest.raises(HttpError):
            check_status(status)

    @pytest.mark.parametrize("status", [100, 103, 200, 299, 404, 599])
    def test_status_of_the_protocol_is_accepted(self, status: int):
        check_status(status)

    @pytest.mark.parametrize("version", ["", "0.9", "1.2", "2.0", "3", "11"])
    def test_other_version_is_rejected(self, version: str):
        with pytest.raises(HttpError):
            check_version(version)

    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    def test_version_of_the_protocol_is_accepted(self, version: str):
        check_version(version)


class TestFields:
    @pytest.mark.parametrize("name", NAMES.values(), ids=NAMES)
    def test_malformed_name_is_rejected(self, name: bytes):
        with pytest.raises(HttpError):
            check(name, b"a")

    @pytest.mark.parametrize("value", VALUES.values(), ids=VALUES)
    def test_malformed_value_is_rejected(self, value: bytes):
        with pytest.raises(HttpError):
            check(b"x-a", value)

    @pytest.mark.parametrize("value", [b"", b"a b", b"a\tb", b"\xe9", b'"(a)"'])
    def test_other_value_is_accepted(self, value: bytes):
        check(b"x-a", value)

    @pytest.mark.parametrize("field", FRAMINGS.values(), ids=FRAMINGS)
    def test_ambiguous_framing_is_rejected(self, field: tuple[bytes, bytes]):
        with pytest.raises(HttpError):
            check(*field)

    @pytest.mark.parametrize("value", [b"chunked", b"Chunked"])
    def test_chunks_are_accepted(self, value: bytes):
        check(b"transfer-encoding", value)


class TestMessages:
    """The same over the parsers, which must not leave a field to its neighbour."""

    @pytest.mark.parametrize("name", NAMES.values(), ids=NAMES)
    def test_malformed_name_begins_no_answer(self, name: bytes):
        queue = ResponseQueue()
        with pytest.raises(HttpError):
            queue.feed(RESPONSE + name + b": a\r\n" + END)
        assert queue.pop() is None

    @pytest.mark.parametrize("name", NAMES.values(), ids=NAMES)
    def test_malformed_name_begins_no_request(self, name: bytes):
        parser = RequestParser()
        with pytest.raises(HttpError):
            parser.feed(REQUEST + name + b": a\r\n" + END)
        assert parser.pop_complete() == []

    @pytest.mark.parametrize("field", FRAMINGS.values(), ids=FRAMINGS)
    def test_ambiguous_framing_begins_no_message(self, field: tuple[bytes, bytes]):
        head = b"%b: %b\r\n\r\nbody" % field
        queue = ResponseQueue()
        with pytest.raises(HttpError):
            queue.feed(RESPONSE + head)
        assert queue.pop() is None
        parser = RequestParser()
        with pytest.raises(HttpError):
            parser.feed(REQUEST + head)
        assert parser.pop_complete() == []

    @pytest.mark.parametrize("version", [b"0.9", b"1.2", b"2.0"])
    def test_request_of_another_version_is_rejected(self, version: bytes):
        parser = RequestParser()
        with pytest.raises(HttpError):
            parser.feed(b"GET / HTTP/%b\r\nhost: t\r\n\r\n" % version)
        assert parser.pop_complete() == []
