"""Parses the head of a request strictly.

Another server may read ambiguous framing differently, and take a part of a
body for a request. Such heads are refused.
"""

import dataclasses
import re

import httptools

HEAD_END = b"\r\n\r\n"
_LINE_END = b"\r\n"
# Memory of a parsed header; 100 bytes were measured. A head of 16 KiB may have
# 3,000 headers.
_FIELD_BYTES = 128
_REQUEST_LINE = re.compile(rb"[!-~]+ [!-~]+ HTTP/1\.[01]")


class RefusedRequest(Exception):
    """The request is refused, and its connection closes.

    Attributes:
        status: Status of the response.
        reason: Why it is refused.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The head of a request.

    Attributes:
        method: HTTP method.
        target: Target as the client wrote it.
        http_version: `1.0` or `1.1`.
        fields: Headers in order, names in lower case.
        length: Size of the body in bytes; None if it is chunked.
        keep_alive: The client may send another request.
        expects_continue: The client waits for 100 before it sends the body.
    """

    method: bytes
    target: bytes
    http_version: str
    fields: list[tuple[bytes, bytes]]
    length: int | None
    keep_alive: bool
    expects_continue: bool


class _Collector:
    """Receives the callbacks of the parser."""

    def __init__(self) -> None:
        self.target = b""
        self.fields: list[tuple[bytes, bytes]] = []
        self.complete = False

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.fields.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        self.complete = True


def check_partial_head(data: bytes | bytearray) -> None:
    """Refuses the start of a head that cannot become a valid one.

    Raises:
        RefusedRequest: A line ends without a carriage return.
    """
    if data.count(b"\n") != data.count(_LINE_END):
        raise RefusedRequest(400, "a line of the head ends with a bare LF")


def estimate_parsed_bytes(data: bytes) -> int:
    """Returns the memory that a head takes when it is parsed."""
    return len(data) + data.count(_LINE_END) * _FIELD_BYTES


def parse_head(data: bytes) -> Head:
    """Parses a head.

    Args:
        data: The head up to and including the empty line.

    Raises:
        RefusedRequest: It is not valid, or its framing is ambiguous.
    """
    check_partial_head(data)
    if not _REQUEST_LINE.fullmatch(data[: data.index(_LINE_END)]):
        raise RefusedRequest(400, "the request line is not valid")
    collector = _Collector()
    parser = httptools.HttpRequestParser(collector)
    try:
        parser.feed_data(data)
    except httptools.HttpParserUpgrade:
        # The server stays with HTTP/1.1, which the protocol allows.
        pass
    except httptools.HttpParserError as error:
        raise RefusedRequest(400, str(error)) from None
    if not collector.complete:
        raise RefusedRequest(400, "the head is not valid")
    return _build_head(parser, collector)


def _build_head(
    parser: httptools.HttpRequestParser, collector: _Collector
) -> Head:
    version = parser.get_http_version()
    values: dict[bytes, list[bytes]] = {}
    for name, value in collector.fields:
        values.setdefault(name, []).append(value)
    hosts = values.get(b"host", [])
    if len(hosts) > 1 or (not hosts and version == "1.1"):
        raise RefusedRequest(400, "the request has no host, or several")
    options = _list_tokens(values.get(b"connection", []))
    keep_alive = b"close" not in options and (
        version == "1.1" or b"keep-alive" in options
    )
    expectations = _list_tokens(values.get(b"expect", []))
    return Head(
        method=parser.get_method(),
        target=collector.target,
        http_version=version,
        fields=collector.fields,
        length=_find_length(values, version),
        keep_alive=keep_alive,
        expects_continue=version == "1.1" and b"100-continue" in expectations,
    )


def _find_length(values: dict[bytes, list[bytes]], version: str) -> int | None:
    lengths = values.get(b"content-length", [])
    codings = values.get(b"transfer-encoding", [])
    if codings:
        if lengths:
            raise RefusedRequest(400, "the body has both a length and a coding")
        if version != "1.1" or [c.lower() for c in codings] != [b"chunked"]:
            raise RefusedRequest(400, "the transfer coding is not supported")
        return None
    if not lengths:
        return 0
    digits = lengths[0]
    if len(lengths) > 1 or not digits.isdigit():
        raise RefusedRequest(400, "the length is not valid")
    return int(digits)


def _list_tokens(values: list[bytes]) -> set[bytes]:
    return {
        token.strip(b" \t").lower()
        for value in values
        for token in value.split(b",")
    }
