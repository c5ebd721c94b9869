"""Incremental parsers of requests and responses, based on ``httptools``."""

from collections import deque
from http import HTTPStatus

import httptools

from ._messages import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    MAX_HEADERS,
    MAX_TARGET_BYTES,
    Field,
    HttpError,
    Request,
    Response,
)

_SINGLE_FIELDS = (b"content-length", b"host", b"transfer-encoding")


class FieldCollector:
    """Collects header fields and enforces their limits."""

    def __init__(self) -> None:
        self.items: list[Field] = []
        self._bytes = 0

    def add(self, name: bytes, value: bytes) -> None:
        """Add a field; raises ``HttpError`` if a limit is exceeded."""
        self._bytes += len(name) + len(value)
        if self._bytes > MAX_HEADER_BYTES or len(self.items) >= MAX_HEADERS:
            raise HttpError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                f"header fields exceed {MAX_HEADERS} fields or "
                f"{MAX_HEADER_BYTES} bytes",
            )
        self.items.append(Field(name.lower(), value))

    def check_framing(self) -> None:
        """Reject fields that make the end of the message ambiguous.

        Two parsers on the path could disagree on it (request smuggling). Raises
        ``HttpError``.
        """
        counts = dict.fromkeys(_SINGLE_FIELDS, 0)
        for name, _ in self.items:
            if name in counts:
                counts[name] += 1
        if any(count > 1 for count in counts.values()):
            raise HttpError(
                HTTPStatus.BAD_REQUEST, "a framing field occurs more than once"
            )
        if counts[b"content-length"] and counts[b"transfer-encoding"]:
            raise HttpError(
                HTTPStatus.BAD_REQUEST,
                "Content-Length and Transfer-Encoding exclude each other",
            )


class _Parser:
    """Header fields and body of the current message, with ``httptools`` callbacks."""

    def __init__(self, *, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._fields = FieldCollector()
        self._body: list[bytes] = []
        self._body_bytes = 0

    def on_message_begin(self) -> None:
        self._fields = FieldCollector()
        self._body = []
        self._body_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self._fields.add(name, value)

    def on_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes > self._max_body_bytes:
            raise HttpError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f"body exceeds {self._max_body_bytes} bytes",
            )
        self._body.append(data)

    def _join_body(self) -> bytes:
        if len(self._body) == 1:
            return self._body[0]
        return b"".join(self._body)


def translate_error(error: Exception) -> HttpError:
    """Return the ``HttpError`` for an exception of the parser."""
    # httptools wraps an exception raised in a callback in an exception of its own.
    for cause in (error.__context__, error.__cause__):
        if isinstance(cause, HttpError):
            return cause
    return HttpError(HTTPStatus.BAD_REQUEST, f"malformed HTTP message: {error}")


class RequestParser(_Parser):
    """Parses received bytes into complete requests.

    ``started`` is true while a request is partially received.
    """

    def __init__(self, *, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        super().__init__(max_body_bytes=max_body_bytes)
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._completed: deque[Request] = deque()
        self.expects_continue = False
        self.started = False
        self.has_headers = False

    def feed(self, data: bytes) -> list[Request]:
        """Parse bytes and return the requests that they complete.

        Raises ``HttpError``; the connection must then be closed. Requests that
        were complete before the error are returned by ``pop_complete``.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise HttpError(
                HTTPStatus.NOT_IMPLEMENTED, "protocol upgrades are not supported"
            ) from None
        except httptools.HttpParserError as error:
            raise translate_error(error) from None
        return self.pop_complete()

    def pop_complete(self) -> list[Request]:
        """Return and remove the complete requests that were not returned yet."""
        done = list(self._completed)
        self._completed.clear()
        return done

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._target = b""
        self.started = True
        self.has_headers = False

    def on_url(self, url: bytes) -> None:
        self._target += url
        if len(self._target) > MAX_TARGET_BYTES:
            raise HttpError(HTTPStatus.REQUEST_URI_TOO_LONG, "request target too long")

    def on_headers_complete(self) -> None:
        self.has_headers = True
        self._fields.check_framing()
        if self._parser.get_method() == b"CONNECT":
            raise HttpError(HTTPStatus.NOT_IMPLEMENTED, "CONNECT is not supported")
        for name, value in self._fields.items:
            if name == b"content-length" and int(value) > self._max_body_bytes:
                raise HttpError(
                    HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                    f"body exceeds {self._max_body_bytes} bytes",
                )
            if name == b"expect":
                self.expects_continue = value.lower() == b"100-continue"

    def on_message_complete(self) -> None:
        self.expects_continue = False
        self.started = False
        self._completed.append(
            Request(
                method=self._parser.get_method().decode("ascii"),
                target=self._target.decode("latin-1"),
                fields=self._fields.items,
                body=self._join_body(),
                keep_alive=self._parser.should_keep_alive(),
            )
        )


class ResponseParser(_Parser):
    """Parses received bytes into one response at a time.

    Set ``head_only`` before feeding a response to a HEAD request.
    """

    def __init__(self, *, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        super().__init__(max_body_bytes=max_body_bytes)
        self._parser = httptools.HttpResponseParser(self)
        self._response: Response | None = None
        self.head_only = False

    def feed(self, data: bytes) -> Response | None:
        """Parse bytes and return the response once it is complete.

        Raises ``HttpError``; the connection must then be closed.
        """
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._response is None:
                raise translate_error(error) from None
        response = self._response
        self._response = None
        return response

    def on_headers_complete(self) -> None:
        self._fields.check_framing()
        if self.head_only:
            self._complete(keep_alive=False)

    def on_message_complete(self) -> None:
        if self.head_only or self._parser.get_status_code() < 200:
            return
        self._complete(keep_alive=self._parser.should_keep_alive())

    def _complete(self, *, keep_alive: bool) -> None:
        self._response = Response(
            status=self._parser.get_status_code(),
            fields=self._fields.items,
            body=self._join_body(),
            keep_alive=keep_alive,
        )
