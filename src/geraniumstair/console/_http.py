"""Requests and responses of the operators' application."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import json
from typing import Any
import urllib.parse

import result
import trio

from geraniumstair import errors
from geraniumstair._generated import codes

# Leaves room for form encoding, which makes the largest document longer.
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_LOGIN_BYTES = 4096
BODY_TIMEOUT_S = 10.0

Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]
Scope = Mapping[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        headers: Header values by lower case name.
        query: First value of each query parameter.
        body: The body; empty before it is read.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    query: Mapping[str, str]
    body: bytes

    def json(self) -> result.Result[dict[str, Any], errors.Refusal]:
        """Returns the body as a JSON object."""
        try:
            value = json.loads(self.body)
        except (ValueError, RecursionError):
            value = None
        if isinstance(value, dict):
            return result.Ok(value)
        return result.Err(
            errors.Refusal(
                codes.Code.MALFORMED_BODY, "The body is not a JSON object."
            )
        )

    def form(self) -> dict[str, str]:
        """Returns the first value of each field of an HTML form."""
        text = self.body.decode("utf-8", "replace")
        return _parse_first_values(text)

    def cookie(self, name: str) -> str:
        """Returns the value of a cookie, or an empty string."""
        for part in self.headers.get("cookie", "").split(";"):
            key, _, value = part.strip().partition("=")
            if key == name:
                return value
        return ""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response."""

    status: int
    content_type: str
    body: bytes
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


def _parse_first_values(text: str) -> dict[str, str]:
    values: dict[str, str] = {}
    pairs = urllib.parse.parse_qsl(text, keep_blank_values=True)
    for key, value in pairs:
        values.setdefault(key, value)
    return values


def json_response(
    value: Any, status: int = 200, headers: Mapping[str, str] | None = None
) -> Response:
    """Returns a JSON response."""
    body = json.dumps(value, ensure_ascii=False).encode()
    return Response(status, "application/json", body, headers or {})


def refusal_response(
    refusal: errors.Refusal, headers: Mapping[str, str] | None = None
) -> Response:
    """Returns a refusal as JSON with the HTTP status of its code."""
    value = {
        "code": int(refusal.code),
        "name": refusal.code.name,
        "detail": refusal.detail,
        "not_run": refusal.not_run,
    }
    status = codes.INFO[refusal.code].http_status
    return json_response(value, status, headers)


async def _receive_body(
    receive: Receive, max_bytes: int
) -> result.Result[bytes, errors.Refusal]:
    chunks = []
    size_bytes = 0
    while True:
        event = await receive()
        if event["type"] != "http.request":
            return result.Err(
                errors.Refusal(codes.Code.CANCELLED, "The client disconnected.")
            )
        chunk = event.get("body", b"")
        size_bytes += len(chunk)
        if size_bytes > max_bytes:
            return result.Err(
                errors.Refusal(
                    codes.Code.BODY_TOO_LARGE,
                    f"The body has more than {max_bytes} bytes.",
                )
            )
        chunks.append(chunk)
        if not event.get("more_body", False):
            return result.Ok(b"".join(chunks))


def parse_head(scope: Scope) -> Request:
    """Returns the request of an ASGI scope with an empty body."""
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in scope["headers"]
    }
    query = scope.get("query_string", b"").decode("latin-1")
    return Request(
        method=scope["method"],
        path=scope["path"],
        headers=headers,
        query=_parse_first_values(query),
        body=b"",
    )


async def read_body(
    receive: Receive, max_bytes: int
) -> result.Result[bytes, errors.Refusal]:
    """Reads a body of at most `max_bytes` within `BODY_TIMEOUT_S`."""
    with trio.move_on_after(BODY_TIMEOUT_S):
        return await _receive_body(receive, max_bytes)
    return result.Err(
        errors.Refusal(
            codes.Code.BODY_TOO_SLOW, "The body did not arrive in time."
        )
    )


async def send_response(response: Response, send: Send) -> None:
    """Sends a response and adds the headers that all responses share."""
    headers = {
        "content-type": response.content_type,
        "content-length": str(len(response.body)),
        "cache-control": "no-store",
        "x-content-type-options": "nosniff",
        "referrer-policy": "same-origin",
        "content-security-policy": (
            "default-src 'none'; style-src 'self'; form-action 'self'; "
            "frame-ancestors 'none'; base-uri 'none'"
        ),
        **response.headers,
    }
    pairs = [(k.encode(), v.encode("latin-1")) for k, v in headers.items()]
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": pairs,
        }
    )
    await send({"type": "http.response.body", "body": response.body})
