"""Reads HTTP responses of endpoints with httptools."""

import httptools

# Larger headers are no answer of an endpoint.
MAX_HEADER_BYTES = 32 * 1024
_FIRST_FINAL_STATUS = 200


class InvalidResponse(Exception):
    """The endpoint broke the protocol."""


class Response:
    """Status, headers and body of one response.

    Attributes:
        status: HTTP status.
        headers: Header values by lower-case name; the last one of a name.
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


class ResponseReader:
    """Parses the responses of one connection.

    Args:
        max_body_bytes: Larger bodies are refused.

    Attributes:
        reusable: False if the connection must be closed after the response.
    """

    def __init__(self, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._parser = httptools.HttpResponseParser(self)
        self.reusable = True
        self._complete: list[Response] = []
        self._unfinished_bytes = 0
        self._reset()

    def _reset(self) -> None:
        self._fields: list[tuple[bytes, bytes]] = []
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self._in_body = False

    @property
    def started(self) -> bool:
        """True if a part of a response was received."""
        return self._unfinished_bytes > 0

    def feed(self, data: bytes) -> Response | None:
        """Adds received bytes while at most one response is expected.

        Args:
            data: At least one byte.

        Returns:
            The response if it is complete. Bytes after it were not asked
            for and make the connection unusable.

        Raises:
            InvalidResponse: The bytes are no valid response, or a part of
                it is too large.
        """
        responses = self.feed_all(data)
        if not responses:
            return None
        if self._unfinished_bytes or len(responses) > 1:
            self.reusable = False
        return responses[0]

    def feed_all(self, data: bytes) -> list[Response]:
        """Adds received bytes; returns all responses that are complete.

        Args:
            data: At least one byte.

        Raises:
            InvalidResponse: The bytes begin with no valid response, or a
                part of it is too large.
        """
        self._unfinished_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self.reusable = False
            if not self._complete:
                cause = error.__cause__ or error.__context__
                if isinstance(cause, InvalidResponse):
                    raise cause from None
                raise InvalidResponse(str(error)) from error
        if not self._in_body and self._unfinished_bytes > MAX_HEADER_BYTES:
            raise InvalidResponse("the headers are too large")
        responses, self._complete = self._complete, []
        return responses

    def finish(self) -> Response | None:
        """Returns the response that the end of the connection completes.

        A response without a length ends with its connection; any other one
        is cut off.
        """
        self.reusable = False
        if not self._in_body:
            return None
        names = {name.lower() for name, _ in self._fields}
        if b"content-length" in names or b"transfer-encoding" in names:
            return None
        return self._take()

    def _take(self) -> Response:
        response = Response(
            self._parser.get_status_code(),
            self._fields,
            b"".join(self._chunks),
        )
        self._reset()
        self._unfinished_bytes = 0
        return response

    # ---- called by httptools ----

    def on_message_begin(self) -> None:
        """A response begins."""
        if self._complete:
            self._unfinished_bytes = 1

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header is complete."""
        self._fields.append((name, value))

    def on_headers_complete(self) -> None:
        """All headers are complete."""
        self._in_body = True

    def on_body(self, body: bytes) -> None:
        """A part of the body has arrived."""
        self._body_bytes += len(body)
        if self._body_bytes > self._max_body_bytes:
            raise InvalidResponse("the response is too large")
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """The response is complete; informational ones are passed over."""
        if self._parser.get_status_code() < _FIRST_FINAL_STATUS:
            self._reset()
            return
        # httptools tells this only until the next message begins.
        if not self._parser.should_keep_alive():
            self.reusable = False
        self._complete.append(self._take())
