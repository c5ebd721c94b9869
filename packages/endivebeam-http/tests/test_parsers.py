"""Tests of message framing, limits and hop-by-hop fields."""

from http import HTTPStatus

import pytest
from hypothesis import given
from hypothesis import strategies as st

from endivebeam_http import (
    Field,
    HttpError,
    Request,
    Response,
    ResponseQueue,
    encode_request,
    encode_response,
    strip_hop_by_hop,
)
from endivebeam_http._parsers import RequestParser

AMBIGUOUS_FIELDS = {
    "length and chunked": b"content-length: 4\r\ntransfer-encoding: chunked\r\n",
    "two lengths": b"content-length: 4\r\ncontent-length: 5\r\n",
    "two equal lengths": b"content-length: 4\r\ncontent-length: 4\r\n",
    "length list": b"content-length: 4, 4\r\n",
    "signed length": b"content-length: +4\r\n",
    "unknown coding": b"transfer-encoding: identity, chunked, gzip\r\n",
    "space before colon": b"content-length : 4\r\n",
    "folded field": b"x-a: 1\r\n  folded\r\n",
    "bare line feed": b"x-a: 1\nx-b: 2\r\n",
    "nul in value": b"x-a: 1\0\r\n",
}


class TestRequestParser:
    @pytest.mark.parametrize("name", AMBIGUOUS_FIELDS)
    def test_ambiguous_framing_is_rejected(self, name: str):
        """Guards against request smuggling through an ambiguous message end."""
        head = b"POST /a HTTP/1.1\r\nhost: x\r\n" + AMBIGUOUS_FIELDS[name] + b"\r\nabcd"
        with pytest.raises(HttpError) as caught:
            RequestParser().feed(head)
        assert caught.value.status == HTTPStatus.BAD_REQUEST

    def test_large_content_length_is_rejected(self):
        """Guards against reading a body that will be rejected anyway."""
        parser = RequestParser(max_body_bytes=10)
        with pytest.raises(HttpError) as caught:
            parser.feed(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 11\r\n\r\n")
        assert caught.value.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE

    def test_large_chunked_body_is_rejected(self):
        """Guards against an unbounded body without a declared length."""
        parser = RequestParser(max_body_bytes=10)
        head = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
        with pytest.raises(HttpError) as caught:
            parser.feed(head + b"b\r\n01234567890\r\n0\r\n\r\n")
        assert caught.value.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE

    def test_too_many_fields_are_rejected(self):
        """Guards against memory use through header fields."""
        fields = b"".join(b"x-%d: 1\r\n" % i for i in range(101))
        with pytest.raises(HttpError) as caught:
            RequestParser().feed(b"GET / HTTP/1.1\r\n" + fields + b"\r\n")
        assert caught.value.status == HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE

    def test_upgrade_is_rejected(self):
        """Guards against a tunnel that carries requests without checks."""
        head = (
            b"GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\n"
            b"upgrade: websocket\r\n\r\n"
        )
        with pytest.raises(HttpError):
            RequestParser().feed(head)

    @given(data=st.binary(max_size=200), split_at=st.integers(0, 200))
    def test_arbitrary_bytes_raise_only_http_errors(self, data: bytes, split_at: int):
        """Guards against another exception, which would crash the server."""
        parser = RequestParser()
        try:
            parser.feed(b"POST /a HTTP/1.1\r\n" + data[:split_at])
            parser.feed(data[split_at:])
        except HttpError:
            pass

    @given(
        bodies=st.lists(st.binary(max_size=50), min_size=1, max_size=5),
        split_positions=st.lists(st.integers(0, 400), max_size=6),
    )
    def test_any_split_gives_the_same_requests(
        self, bodies: list[bytes], split_positions: list[int]
    ):
        """Guards against corrupted bodies when requests are split across reads."""
        sent = [
            Request(method="POST", target=f"/{i}", body=body)
            for i, body in enumerate(bodies)
        ]
        data = b"".join(encode_request(r, host=b"x") for r in sent)
        parser = RequestParser()
        received = []
        start = 0
        for split_at in [
            *sorted(c for c in split_positions if c < len(data)),
            len(data),
        ]:
            received.extend(parser.feed(data[start:split_at]))
            start = split_at
        assert [r.body for r in received] == bodies
        assert [r.target for r in received] == [r.target for r in sent]


def parse_response(data: bytes, *, head_only: bool = False) -> Response | None:
    queue = ResponseQueue()
    queue.head_only = head_only
    queue.feed(data)
    return queue.pop()


class TestResponseQueue:
    def test_truncated_response_is_not_returned(self):
        """Guards against a truncated response that is returned as complete."""
        data = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n01234"
        assert parse_response(data) is None

    @pytest.mark.parametrize("status", [204, 304])
    def test_status_without_body_is_complete(self, status: int):
        """Guards against waiting for a body that is never sent."""
        response = parse_response(b"HTTP/1.1 %d x\r\n\r\n" % status)
        assert response is not None
        assert response.status == status

    def test_head_response_ends_after_its_fields(self):
        """Guards against waiting for the body that ``Content-Length`` declares."""
        head = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n"
        response = parse_response(head, head_only=True)
        assert response is not None
        assert response.get(b"content-length") == b"10"

    @given(body=st.binary(max_size=100), status=st.sampled_from([200, 404, 503]))
    def test_encoded_response_is_parsed_back(self, body: bytes, status: int):
        """Guards against framing that this package's parser rejects."""
        fields = [Field(b"x-a", b"1"), Field(b"content-length", b"7")]
        sent = Response(status=status, fields=fields, body=body)
        data = encode_response(sent, method="GET", keep_alive=True)
        received = parse_response(data)
        assert received is not None
        assert (received.status, received.body) == (status, body)


class TestStripHopByHop:
    def test_fields_named_by_connection_are_dropped(self):
        """Guards against forwarding fields that belong to one connection."""
        fields = [
            Field(b"connection", b"close, X-Secret"),
            Field(b"x-secret", b"1"),
            Field(b"te", b"trailers"),
            Field(b"accept", b"*/*"),
        ]
        assert strip_hop_by_hop(fields) == [Field(b"accept", b"*/*")]

    def test_every_connection_field_is_evaluated(self):
        """Guards against ignoring the names in a second ``Connection`` field."""
        fields = [
            Field(b"connection", b"close"),
            Field(b"connection", b"x-a, x-b"),
            Field(b"x-a", b"1"),
            Field(b"x-b", b"2"),
            Field(b"x-c", b"3"),
        ]
        assert strip_hop_by_hop(fields, frozenset({b"x-c"})) == []
