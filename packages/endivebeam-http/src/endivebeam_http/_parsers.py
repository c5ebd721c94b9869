"""Incremental parsers of requests and responses, based on ``httptools``."""

from http import HTTPStatus
from typing import Any

import httptools

from ._framing import check_header, check_version
from ._messages import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    MAX_TARGET_BYTES,
    Field,
    HttpError,
    Request,
    make_field,
)

# Bytes that are parsed between two checks of the limits.
MAX_FEED_BYTES = 16 << 10
# Size line and line ends of a chunk without extensions.
CHUNK_FRAMING_BYTES = 16
# Work for a message, in that for a field or a chunk.
MESSAGE_WORK = 8


class MessageParser:
    """Header fields and body of the current message, with ``httptools`` callbacks.

    The parser of ``httptools`` has no limits and keeps a field until its end
    arrives. So all bytes that belong to no body are counted as they arrive: first
    line, fields, blank lines, interim responses, sizes and extensions of chunks. A
    message may have ``max_header_bytes`` and ``MAX_TARGET_BYTES`` of them.

    ``work`` rises with the number of messages, fields and chunks, which cost far more
    than their bytes.
    """

    def __init__(
        self,
        *,
        max_body_bytes: int,
        max_header_bytes: int,
        body_status: HTTPStatus,
    ) -> None:
        self._max_body_bytes = max_body_bytes
        self._max_header_bytes = max_header_bytes
        self._body_status = body_status
        self._max_overhead_bytes = max_header_bytes + MAX_TARGET_BYTES
        self._overhead_bytes = 0
        self.work = 0
        self._fields: list[Field] = []
        self._index: dict[bytes, bytes] = {}
        self._header_complete = False
        self._body: bytes | bytearray = b""

    @property
    def message_bytes(self) -> int:
        """Bytes of the message that is received in part."""
        return self._overhead_bytes + len(self._body)

    def discard(self) -> None:
        """Drop the message that is received in part; nothing may be fed after it."""
        self._overhead_bytes = 0
        self._start_message()

    def _start_message(self) -> None:
        self._fields = []
        self._header_complete = False
        self._body = b""

    def _feed(self, parser: Any, data: bytes | memoryview) -> None:
        """Pass bytes to the parser; raises its errors and ``HttpError``."""
        view = data
        if len(data) > MAX_FEED_BYTES:
            view = memoryview(data)
        for start in range(0, len(data), MAX_FEED_BYTES):
            part = view[start : start + MAX_FEED_BYTES]
            self._overhead_bytes += len(part)
            parser.feed_data(part)
            if self._overhead_bytes > self._max_overhead_bytes:
                raise self._make_overhead_error()

    def _make_overhead_error(self) -> HttpError:
        return HttpError(HTTPStatus.BAD_REQUEST, "too many bytes outside of a body")

    def _complete_header(self, version: str) -> None:
        self._header_complete = True
        self.work += len(self._fields)
        check_version(version)
        self._index = check_header(
            self._fields,
            max_bytes=self._max_header_bytes,
            received_bytes=self._overhead_bytes,
        )

    def on_message_begin(self) -> None:
        self.work += MESSAGE_WORK
        self._start_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        # Trailer fields, which follow the body, are dropped: nothing that is decided
        # from header fields may depend on them.
        if not self._header_complete:
            self._fields.append(make_field((name.lower(), value)))

    def on_body(self, data: bytes) -> None:
        self._overhead_bytes -= len(data)
        if len(self._body) + len(data) > self._max_body_bytes:
            raise HttpError(
                self._body_status, f"body exceeds {self._max_body_bytes} bytes"
            )
        if not self._body:
            self._body = data
            return
        if isinstance(self._body, bytes):
            self._body = bytearray(self._body)
        self._body += data

    def on_chunk_complete(self) -> None:
        self.work += 1
        self._overhead_bytes = max(0, self._overhead_bytes - CHUNK_FRAMING_BYTES)


def translate_error(error: Exception) -> HttpError:
    """Return the ``HttpError`` for an exception of the parser."""
    if isinstance(error, HttpError):
        return error
    # httptools wraps an exception raised in a callback in an exception of its own.
    for cause in (error.__context__, error.__cause__):
        if isinstance(cause, HttpError):
            return cause
    return HttpError(HTTPStatus.BAD_REQUEST, f"malformed HTTP message: {error}")


class RequestParser(MessageParser):
    """Parses received bytes into complete requests.

    ``started`` is true while a request is partially received.
    """

    def __init__(
        self,
        *,
        max_body_bytes: int = MAX_BODY_BYTES,
        max_header_bytes: int = MAX_HEADER_BYTES,
    ) -> None:
        super().__init__(
            max_body_bytes=max_body_bytes,
            max_header_bytes=max_header_bytes,
            body_status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        )
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._completed: list[Request] = []
        self.expects_continue = False
        self.started = False

    @property
    def has_headers(self) -> bool:
        """Whether the header of the current request is complete."""
        return self._header_complete

    def feed(self, data: bytes | memoryview) -> list[Request]:
        """Parse bytes and return the requests that they complete.

        Raises ``HttpError``; the connection must then be closed. Requests that
        were complete before the error are returned by ``pop_complete``.
        """
        try:
            self._feed(self._parser, data)
        except httptools.HttpParserUpgrade:
            raise HttpError(
                HTTPStatus.NOT_IMPLEMENTED, "protocol upgrades are not supported"
            ) from None
        except httptools.HttpParserError as error:
            raise translate_error(error) from None
        return self.pop_complete()

    def discard(self) -> None:
        """Drop the request that is received in part; nothing may be fed after it."""
        super().discard()
        self.started = False
        self.expects_continue = False

    def pop_complete(self) -> list[Request]:
        """Return and remove the complete requests that were not returned yet."""
        done, self._completed = self._completed, []
        return done

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._target = b""
        self.started = True

    def on_url(self, url: bytes) -> None:
        self._target += url
        if len(self._target) > MAX_TARGET_BYTES:
            raise HttpError(HTTPStatus.REQUEST_URI_TOO_LONG, "request target too long")

    def on_headers_complete(self) -> None:
        self._complete_header(self._parser.get_http_version())
        if self._parser.get_method() == b"CONNECT":
            raise HttpError(HTTPStatus.NOT_IMPLEMENTED, "CONNECT is not supported")
        length = self._index.get(b"content-length")
        if length is not None and int(length) > self._max_body_bytes:
            raise HttpError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f"body exceeds {self._max_body_bytes} bytes",
            )
        expectation = self._index.get(b"expect")
        if expectation is not None:
            self.expects_continue = expectation.lower() == b"100-continue"

    def on_message_complete(self) -> None:
        self._overhead_bytes = 0
        self.expects_continue = False
        self.started = False
        self._completed.append(
            Request(
                method=self._parser.get_method().decode("ascii"),
                target=self._target.decode("latin-1"),
                fields=self._fields,
                index=self._index,
                body=bytes(self._body),
                keep_alive=self._parser.should_keep_alive(),
            )
        )
        self._body = b""

    def _make_overhead_error(self) -> HttpError:
        if self.started and not self.has_headers:
            return HttpError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                f"header fields exceed {self._max_header_bytes} bytes",
            )
        return super()._make_overhead_error()
