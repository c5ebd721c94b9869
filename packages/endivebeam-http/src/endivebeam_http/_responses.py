"""Parser of responses from a server that may violate HTTP.

A server may send an unexpected second response, bytes after a complete response, a
response without length that ends with the connection, or a truncated response.
These cases are distinguished, so that no caller receives bytes that do not belong
to its request.
"""

from collections import deque
from http import HTTPStatus

import httptools

from ._framing import check_status
from ._messages import MAX_BODY_BYTES, MAX_HEADER_BYTES, HttpError, Response
from ._parsers import MessageParser, translate_error

# Interim (1xx) responses before one final response.
MAX_INTERIM_RESPONSES = 16
_NO_BODY = frozenset({204, 304})


class ResponseQueue(MessageParser):
    """Parses received bytes into a queue of complete responses.

    Set ``head_only`` before feeding a response to a HEAD request. A connection
    whose queue is ``broken`` must not be reused.
    """

    def __init__(self, *, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        super().__init__(
            max_body_bytes=max_body_bytes,
            max_header_bytes=MAX_HEADER_BYTES,
            body_status=HTTPStatus.BAD_GATEWAY,
        )
        self._parser = httptools.HttpResponseParser(self)
        self._until_close = False
        self._interim_responses = 0
        self._started = False
        self._completed: deque[Response] = deque()
        self.head_only = False
        self.broken = False

    def feed(self, data: bytes) -> None:
        """Parse bytes.

        Malformed bytes set ``broken``; they raise ``HttpError`` unless a complete
        response is queued. Bytes after that are ignored.
        """
        if self.broken:
            return
        try:
            self._feed(self._parser, data)
        except (
            HttpError,
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self.broken = True
            self._until_close = False
            if not self._completed:
                raise translate_error(error) from None

    def finish(self) -> None:
        """Process a regular end of the connection, without an error.

        It completes a response without length, but no other response.
        """
        self.broken = True
        if self._until_close:
            self._until_close = False
            self._complete(keep_alive=False)

    def discard(self) -> None:
        """Drop all responses; nothing may be fed after it."""
        super().discard()
        self.broken = True
        self._until_close = False
        self._completed.clear()

    def pop(self) -> Response | None:
        """Remove and return the next complete response, or None."""
        return self._completed.popleft() if self._completed else None

    @property
    def has_more(self) -> bool:
        """Whether another response is complete or partially received."""
        return bool(self._completed) or self._started

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._started = True

    def on_headers_complete(self) -> None:
        self._complete_header(self._parser.get_http_version())
        status = self._parser.get_status_code()
        check_status(status)
        index = self._index
        framed = b"content-length" in index or b"transfer-encoding" in index
        if self.head_only and status >= 200:
            self._complete(keep_alive=False)
        elif not framed and status >= 200 and status not in _NO_BODY:
            self._until_close = True

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() < 200:
            self._count_interim_response()
            return
        if self.head_only:
            return
        self._until_close = False
        self._complete(keep_alive=self._parser.should_keep_alive())

    def _count_interim_response(self) -> None:
        self._interim_responses += 1
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            raise HttpError(HTTPStatus.BAD_GATEWAY, "too many interim responses")
        self._started = False
        self._start_message()

    def _complete(self, *, keep_alive: bool) -> None:
        self._overhead_bytes = 0
        self._interim_responses = 0
        self._started = False
        self._completed.append(
            Response(
                status=self._parser.get_status_code(),
                fields=self._fields,
                index=self._index,
                body=bytes(self._body),
                keep_alive=keep_alive,
            )
        )
        self._start_message()
