"""The ASGI interface of one request."""

from collections.abc import Mapping
import functools
import http
import time
from typing import Any
from typing import Protocol
import urllib.parse

from geraniumstair.listeners import _head

# Names in HTTP dates, which do not depend on the locale.
_DAYS = ("Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun")
_MONTHS = (
    "Jan", "Feb", "Mar", "Apr", "May", "Jun",
    "Jul", "Aug", "Sep", "Oct", "Nov", "Dec",
)  # fmt: skip
# Larger responses are sent without a copy that joins them with their head.
_MAX_JOINED_BYTES = 16 * 1024
_STATUSES_WITHOUT_BODY = frozenset([204, 304])
_NO_CONTENT = 204


class ResponseWriter(Protocol):
    """Sends the response of a request to its client."""

    async def write(self, parts: list[bytes]) -> None:
        """Sends parts of the response; does nothing if the client is gone."""
        ...

    async def wait_for_disconnect(self) -> None:
        """Returns when the client has closed its connection."""
        ...

    @property
    def closing(self) -> bool:
        """The connection has to close after this response."""
        ...


class Exchange:
    """One request and its response.

    Args:
        head: Head of the request.
        body: Body of the request.
        received_s: When the head had arrived, on trio's clock.
        writer: Sends the response.

    Attributes:
        keep_alive: The connection may carry another request afterwards.
    """

    def __init__(
        self,
        head: _head.Head,
        body: bytes,
        received_s: float,
        writer: ResponseWriter,
    ) -> None:
        self.keep_alive = False
        self._head = head
        self._body: bytes | None = body
        self._received_s = received_s
        self._writer = writer
        self._start: Mapping[str, Any] | None = None
        self._head_sent = False
        self._complete = False
        self._may_keep_alive = head.keep_alive

    def build_scope(self) -> dict[str, Any]:
        """Returns the ASGI scope."""
        path, _, query = self._head.target.partition(b"?")
        return {
            "type": "http",
            "asgi": {"version": "3.0", "spec_version": "2.3"},
            "http_version": self._head.http_version,
            "method": self._head.method.decode("ascii"),
            "scheme": "http",
            "path": urllib.parse.unquote(path.decode("ascii")),
            "raw_path": path,
            "query_string": query,
            "root_path": "",
            "headers": self._head.fields,
            # The caller's time runs from here, not from the end of its body.
            "extensions": {"received_s": self._received_s},
        }

    async def receive(self) -> dict[str, Any]:
        """Returns the whole body, then the end of the connection."""
        if self._body is not None:
            body, self._body = self._body, None
            return {"type": "http.request", "body": body, "more_body": False}
        if not self._complete:
            await self._writer.wait_for_disconnect()
        return {"type": "http.disconnect"}

    async def send(self, message: Mapping[str, Any]) -> None:
        """Sends a part of the response."""
        if message["type"] == "http.response.start":
            self._start = message
            return
        if message["type"] != "http.response.body" or self._complete:
            return
        self._body = None
        body = message.get("body", b"")
        self._complete = not message.get("more_body", False)
        parts = []
        if not self._head_sent:
            parts.append(self._build_head(len(body)))
            self._head_sent = True
        if self._has_body() and body:
            parts.append(body)
        if sum(map(len, parts)) <= _MAX_JOINED_BYTES:
            parts = [b"".join(parts)]
        self.keep_alive = self._complete and self._may_keep_alive
        await self._writer.write(parts)

    @property
    def started(self) -> bool:
        """The application has sent a part of a response."""
        return self._head_sent

    def _has_body(self) -> bool:
        assert self._start is not None
        return (
            self._head.method != b"HEAD"
            and self._start["status"] not in _STATUSES_WITHOUT_BODY
        )

    def _build_head(self, body_bytes: int) -> bytes:
        assert self._start is not None
        status = self._start["status"]
        fields = list(self._start.get("headers", ()))
        if status == _NO_CONTENT:
            fields = [f for f in fields if f[0].lower() != b"content-length"]
        names = {name.lower() for name, _ in fields}
        if b"content-length" not in names and self._has_body():
            if self._complete:
                fields.append((b"content-length", b"%d" % body_bytes))
            else:
                self._may_keep_alive = False
        if any(
            name.lower() == b"connection" and value.lower() == b"close"
            for name, value in fields
        ):
            self._may_keep_alive = False
        elif self._writer.closing or not self._may_keep_alive:
            self._may_keep_alive = False
            fields.append((b"connection", b"close"))
        elif self._head.http_version == "1.0":
            fields.append((b"connection", b"keep-alive"))
        return encode_head(status, fields)


def encode_head(status: int, fields: list[tuple[bytes, bytes]]) -> bytes:
    """Returns the head of a response."""
    lines = [b"HTTP/1.1 %d %b" % (status, _find_phrase(status))]
    lines += [b"%b: %b" % field for field in fields]
    lines.append(b"date: " + _format_date(int(time.time())))
    return b"\r\n".join(lines) + b"\r\n\r\n"


@functools.lru_cache(maxsize=64)
def _find_phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""


@functools.lru_cache(maxsize=2)
def _format_date(at_s: int) -> bytes:
    # `email.utils` has this format, and takes 5 ms to import.
    at = time.gmtime(at_s)
    return (
        f"{_DAYS[at.tm_wday]}, {at.tm_mday:02} {_MONTHS[at.tm_mon - 1]} "
        f"{at.tm_year} {at.tm_hour:02}:{at.tm_min:02}:{at.tm_sec:02} GMT"
    ).encode()
