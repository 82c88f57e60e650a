"""Parses HTTP responses of endpoints with httptools."""

import httptools

from geraniumstair.endpoint_http import _buffer_limit

# Responses with larger headers are invalid. The same limit holds for trailers,
# and for chunk extensions and other framing between two parts of a body.
MAX_HEADER_BYTES = 32 * 1024
# Statuses that HTTP defines. An endpoint in trouble may send others, with which
# nothing says whether the request has run.
_STATUSES = range(100, 600)
_FIRST_FINAL_STATUS = 200


class InvalidResponse(Exception):
    """The endpoint sent an invalid HTTP response."""


class Response:
    """Status, headers and body of one response.

    Attributes:
        status: HTTP status.
        headers: Header values by lower-case name; the last value of each name.
        fields: All headers in order, as the endpoint wrote them.
        body: The whole body.
    """

    __slots__ = ("body", "fields", "headers", "status")

    def __init__(
        self, status: int, fields: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        self.status = status
        self.fields = fields
        self.headers = {name.lower(): value for name, value in fields}
        self.body = body


class ResponseParser:
    """Parses the responses of one connection.

    Args:
        max_body_bytes: Larger bodies raise `InvalidResponse`.
        buffer_limit: Limits the bodies of all parsers of a process together.

    Attributes:
        reusable: False if the connection must be closed after the response.
    """

    def __init__(
        self,
        max_body_bytes: int,
        buffer_limit: _buffer_limit.BufferLimit = _buffer_limit.PROCESS_LIMIT,
    ) -> None:
        self._max_body_bytes = max_body_bytes
        self._buffer_limit = buffer_limit
        self._parser = httptools.HttpResponseParser(self)
        self.reusable = True
        self._complete_responses: list[Response] = []
        self._unfinished_bytes = 0
        self._dropped = False
        self._reset()

    def _reset(self) -> None:
        self._fields: list[tuple[bytes, bytes]] = []
        # One buffer, because each small chunk would take many times its size.
        self._body = bytearray()
        self._body_grew = False
        self._framing_bytes = 0
        self._trailer_bytes = 0
        self._in_body = False
        self._buffer_limit.release(self)

    @property
    def has_partial_response(self) -> bool:
        """True if a part of a response was received."""
        return self._unfinished_bytes > 0

    def feed(self, data: bytes) -> Response | None:
        """Parses received bytes while at most one response is expected.

        Args:
            data: At least one byte.

        Returns:
            The response if it is complete. Bytes after it belong to no request
            and make the connection unusable.

        Raises:
            InvalidResponse: The bytes are no valid response, or a part of it is
                too large.
        """
        responses = self.parse_all(data)
        if not responses:
            return None
        if self._unfinished_bytes or len(responses) > 1:
            self.reusable = False
        return responses[0]

    def parse_all(self, data: bytes) -> list[Response]:
        """Parses received bytes; returns all responses that are complete.

        Args:
            data: At least one byte.

        Raises:
            InvalidResponse: The bytes begin with no valid response, or a part
                of it is too large.
        """
        if self._dropped:
            raise InvalidResponse("too many bytes of responses are buffered")
        self._unfinished_bytes += len(data)
        self._body_grew = False
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self.reusable = False
            if not self._complete_responses:
                cause = error.__cause__ or error.__context__
                if isinstance(cause, InvalidResponse):
                    raise cause from None
                raise InvalidResponse(str(error)) from error
        self._check_framing(len(data))
        responses, self._complete_responses = self._complete_responses, []
        return responses

    def _check_framing(self, received_bytes: int) -> None:
        if not self._in_body:
            if self._unfinished_bytes > MAX_HEADER_BYTES:
                raise InvalidResponse("the headers are too large")
        elif self._body_grew:
            self._framing_bytes = 0
        else:
            self._framing_bytes += received_bytes
            if self._framing_bytes > MAX_HEADER_BYTES:
                raise InvalidResponse("the chunk framing is too large")

    def drop(self) -> None:
        """Discards the body received so far; the next bytes are refused."""
        self._body.clear()
        self._dropped = True

    def close(self) -> None:
        """Frees what is buffered; call it when the connection has closed."""
        self._body.clear()
        self._buffer_limit.release(self)

    def finish(self) -> Response | None:
        """Returns the response that the end of the connection completes.

        A response without a length ends with its connection. Any other response
        that is incomplete by then is truncated, and None is returned.
        """
        self.reusable = False
        if not self._in_body or self._dropped:
            return None
        names = {name.lower() for name, _ in self._fields}
        if b"content-length" in names or b"transfer-encoding" in names:
            return None
        return self._build_response()

    def _build_response(self) -> Response:
        response = Response(
            self._parser.get_status_code(),
            self._fields,
            bytes(self._body),
        )
        self._reset()
        self._unfinished_bytes = 0
        return response

    # ---- called by httptools ----

    def on_message_begin(self) -> None:
        """Called when a response begins."""
        # Marks bytes that follow a complete response as a partial one.
        if self._complete_responses:
            self._unfinished_bytes = 1

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called when a header or a trailer is complete; ignores trailers."""
        if not self._in_body:
            self._fields.append((name, value))
            return
        self._trailer_bytes += len(name) + len(value)
        if self._trailer_bytes > MAX_HEADER_BYTES:
            raise InvalidResponse("the trailers are too large")

    def on_headers_complete(self) -> None:
        """Called when all headers are complete."""
        status = self._parser.get_status_code()
        if status not in _STATUSES:
            raise InvalidResponse(f"status {status:03} is out of range")
        self._in_body = True

    def on_body(self, body: bytes) -> None:
        """Called when a part of the body has arrived."""
        body_bytes = len(self._body) + len(body)
        if body_bytes > self._max_body_bytes:
            raise InvalidResponse("the response is too large")
        self._body_grew = True
        self._body += body
        self._buffer_limit.record(self, body_bytes)
        if self._dropped:
            raise InvalidResponse("too many bytes of responses are buffered")

    def on_message_complete(self) -> None:
        """Called when a response is complete; skips informational ones."""
        if self._parser.get_status_code() < _FIRST_FINAL_STATUS:
            self._reset()
            return
        # httptools reports this only until the next message begins.
        if not self._parser.should_keep_alive():
            self.reusable = False
        self._complete_responses.append(self._build_response())
