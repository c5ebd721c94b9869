"""Parser of responses from a server that may violate HTTP.

A server may send an unexpected second response, bytes after a complete response, a
response without length that ends with the connection, or a truncated response.
These cases are distinguished, so that no caller receives bytes that do not belong
to its request.
"""

from collections import deque
from http import HTTPStatus

import httptools

from ._messages import MAX_BODY_BYTES, HttpError, Response
from ._parsers import FieldCollector, translate_error

_NO_BODY = frozenset({204, 304})


class ResponseQueue:
    """Parses received bytes into a queue of complete responses.

    Set ``head_only`` before feeding a response to a HEAD request. A connection
    whose queue is ``broken`` must not be reused.
    """

    def __init__(self, *, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self._max_body_bytes = max_body_bytes
        self._parser = httptools.HttpResponseParser(self)
        self._fields = FieldCollector()
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._until_close = False
        self._completed: deque[Response] = deque()
        self.head_only = False
        self.broken = False

    def feed(self, data: bytes) -> None:
        """Parse bytes.

        Malformed bytes set ``broken``; they raise ``HttpError`` unless a complete
        response is queued.
        """
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.broken = True
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

    def pop(self) -> Response | None:
        """Remove and return the next complete response, or None."""
        return self._completed.popleft() if self._completed else None

    @property
    def has_more(self) -> bool:
        """Whether another response is complete or partially received."""
        return bool(self._completed) or bool(self._fields.items)

    def on_message_begin(self) -> None:
        self._fields = FieldCollector()
        self._body = []
        self._body_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self._fields.add(name, value)

    def on_headers_complete(self) -> None:
        self._fields.check_framing()
        status = self._parser.get_status_code()
        names = {field.name for field in self._fields.items}
        framed = b"content-length" in names or b"transfer-encoding" in names
        if self.head_only and status >= 200:
            self._complete(keep_alive=False)
        elif not framed and status >= 200 and status not in _NO_BODY:
            self._until_close = True

    def on_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes > self._max_body_bytes:
            raise HttpError(
                HTTPStatus.BAD_GATEWAY,
                f"response body exceeds {self._max_body_bytes} bytes",
            )
        self._body.append(data)

    def on_message_complete(self) -> None:
        if self.head_only or self._parser.get_status_code() < 200:
            self._fields = FieldCollector()
            return
        self._until_close = False
        self._complete(keep_alive=self._parser.should_keep_alive())

    def _complete(self, *, keep_alive: bool) -> None:
        body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        self._completed.append(
            Response(
                status=self._parser.get_status_code(),
                fields=self._fields.items,
                body=body,
                keep_alive=keep_alive,
            )
        )
        self._fields = FieldCollector()
        self._body = []
