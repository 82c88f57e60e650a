"""ASGI application for callers, to be served by hypercorn."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import MutableMapping
import logging
from typing import Any
from typing import Protocol

import result
import trio

from geraniumstair import errors
from geraniumstair import listeners
from geraniumstair._generated import codes
from geraniumstair._generated import settings as settings_models
from geraniumstair.search import _answer
from geraniumstair.search import _metrics
from geraniumstair.search import _readiness
from geraniumstair.search import _request

_LOGGER = logging.getLogger(__name__)

_MAX_OPEN_REQUESTS_PER_SEARCH = 2
_MAX_HEADERS = 64
_MAX_HEADER_BYTES = 8192
# A proxy may use another value of a repeated header than this node, so these
# headers must not be repeated.
_SINGLE_HEADERS = (
    b"idempotency-key",
    b"content-type",
    b"content-length",
    b"content-encoding",
)

Scope = MutableMapping[str, Any]
Event = Mapping[str, Any]
Receive = Callable[[], Awaitable[Event]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]


class SearchRunner(Protocol):
    """The part of a searcher that the application needs."""

    metrics: _metrics.SearchMetrics

    @property
    def node_id(self) -> str:
        """Id of this node."""

    async def search(
        self, request: _request.SearchRequest
    ) -> _answer.SearchAnswer:
        """Runs a search."""


class _Disconnected(errors.GeraniumstairError):
    """The caller closed the connection before its body was complete."""


def _check_headers(
    headers: list[tuple[bytes, bytes]],
) -> errors.Refusal | None:
    def invalid(detail: str) -> errors.Refusal:
        return errors.Refusal(codes.Code.INVALID_HEADER, detail)

    if len(headers) > _MAX_HEADERS:
        return invalid(f"More than {_MAX_HEADERS} headers.")
    names = [name.lower() for name, _ in headers]
    if any(len(n) + len(v) > _MAX_HEADER_BYTES for n, v in headers):
        return invalid(f"A header is longer than {_MAX_HEADER_BYTES} bytes.")
    for name in _SINGLE_HEADERS:
        if names.count(name) > 1:
            return invalid(f"{name.decode()} is given more than once.")
    values = _headers_by_name(headers)
    media_type = values.get(b"content-type", b"application/json")
    if media_type.split(b";")[0].strip().lower() != b"application/json":
        return invalid("Content-Type must be application/json.")
    if values.get(b"content-encoding", b"identity").lower() != b"identity":
        return invalid("Content-Encoding is not supported.")
    if not values.get(b"content-length", b"0").isdigit():
        return invalid("Content-Length is not a number.")
    return None


def _headers_by_name(headers: list[tuple[bytes, bytes]]) -> dict[bytes, bytes]:
    return {name.lower(): value for name, value in headers}


class _CallerApplication:
    """ASGI application of one node; see `build_caller_application`."""

    def __init__(
        self,
        searcher: SearchRunner,
        readiness: _readiness.ReadinessState,
        settings: settings_models.Settings,
    ) -> None:
        self._searcher = searcher
        self._readiness = readiness
        self._max_body_bytes = settings.max_request_body_bytes
        # Bounds the memory for bodies that are still being received.
        self._max_open_requests = (
            _MAX_OPEN_REQUESTS_PER_SEARCH * settings.max_concurrent_searches
        )
        self._open_request_count = 0
        self._body_timeout_s = settings.request_body_timeout_ms / 1000

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        if scope["type"] == "lifespan":
            await listeners.serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            # Rejects the WebSocket handshake.
            await send({"type": "websocket.close", "code": 1000})
            return
        send = self._wrap_send(scope, send)
        try:
            await self._handle_request(scope, receive, send)
        except _Disconnected:
            self._searcher.metrics.count_result(codes.Code.CANCELLED)
        except Exception:
            _LOGGER.exception("search: handling a caller's request failed")
            refusal = errors.Refusal(
                codes.Code.INTERNAL_ERROR, "The node had an internal error."
            )
            await self._try_send_refusal(send, refusal)

    def _wrap_send(self, scope: Scope, send: Send) -> Send:
        """Returns a `send` that omits the body of a response to HEAD.

        While the node is not ready, the returned `send` also closes HTTP/1
        connections.
        """
        is_http_1 = scope.get("http_version", "1.1").startswith("1")
        is_head = scope["method"] == "HEAD"

        async def wrapped_send(event: dict[str, Any]) -> None:
            if event["type"] == "http.response.start":
                if is_http_1 and not self._readiness.is_ready():
                    # Makes callers with open connections reconnect, which
                    # leads them to another node.
                    event["headers"].append((b"connection", b"close"))
            elif is_head:
                event["body"] = b""
            await send(event)

        return wrapped_send

    async def _handle_request(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        path = scope["path"]
        methods = {
            "/v1/search": ("POST",),
            "/ready": ("GET", "HEAD"),
            "/healthz": ("GET", "HEAD"),
        }.get(path)
        if methods is None:
            refusal = errors.Refusal(codes.Code.NOT_FOUND, "No such path.")
            await self._send_refusal(send, refusal)
        elif scope["method"] not in methods:
            refusal = errors.Refusal(
                codes.Code.METHOD_NOT_ALLOWED, f"Use {methods[0]}."
            )
            allow = (b"allow", ", ".join(methods).encode())
            await self._send_refusal(send, refusal, allow)
        elif path == "/v1/search":
            await self._admit_search(scope, receive, send)
        else:
            ready = path == "/healthz" or self._readiness.is_ready()
            body = b'{"ready":true}' if ready else b'{"ready":false}'
            if path == "/healthz":
                body = b'{"alive":true}'
            await self._send_response(send, 200 if ready else 503, body)

    async def _admit_search(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        if self._open_request_count >= self._max_open_requests:
            refusal = errors.Refusal(
                codes.Code.OVERLOADED, "The node has too many open requests."
            )
            await self._send_refusal(send, refusal)
            return
        self._open_request_count += 1
        try:
            await self._handle_search(scope, receive, send)
        finally:
            self._open_request_count -= 1

    async def _handle_search(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        headers = list(scope["headers"])
        refusal = _check_headers(headers)
        if refusal is not None:
            await self._send_refusal(send, refusal)
            return
        values = _headers_by_name(headers)
        body = await self._read_body(
            receive, int(values.get(b"content-length", b"0"))
        )
        if isinstance(body, result.Err):
            await self._send_refusal(send, body.err_value)
            return
        key = values.get(b"idempotency-key")
        parsed = _request.parse_request(
            body.ok_value, None if key is None else key.decode("latin-1")
        )
        if isinstance(parsed, result.Err):
            await self._send_refusal(send, parsed.err_value)
            return
        answer = await self._run_search(parsed.ok_value, receive)
        if answer is not None:
            await self._send_answer(send, answer)

    async def _read_body(
        self, receive: Receive, content_length_bytes: int
    ) -> result.Result[bytes, errors.Refusal]:
        too_large = errors.Refusal(
            codes.Code.BODY_TOO_LARGE,
            f"The body is larger than {self._max_body_bytes} bytes.",
        )
        if content_length_bytes > self._max_body_bytes:
            return result.Err(too_large)
        body = bytearray()
        with trio.move_on_after(self._body_timeout_s):
            while True:
                event = await receive()
                if event["type"] == "http.disconnect":
                    raise _Disconnected
                body += event.get("body", b"")
                if len(body) > self._max_body_bytes:
                    return result.Err(too_large)
                if not event.get("more_body", False):
                    return result.Ok(bytes(body))
        return result.Err(
            errors.Refusal(
                codes.Code.BODY_TOO_SLOW, "The body did not arrive in time."
            )
        )

    async def _run_search(
        self, request: _request.SearchRequest, receive: Receive
    ) -> _answer.SearchAnswer | None:
        """Returns the answer, or None if the caller disconnected."""
        answer: _answer.SearchAnswer | None = None

        async def cancel_on_disconnect(scope: trio.CancelScope) -> None:
            event = await receive()
            while event["type"] != "http.disconnect":
                event = await receive()
            scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(cancel_on_disconnect, nursery.cancel_scope)
            answer = await self._searcher.search(request)
            nursery.cancel_scope.cancel()
        return answer

    async def _send_refusal(
        self,
        send: Send,
        refusal: errors.Refusal,
        *headers: tuple[bytes, bytes],
    ) -> None:
        self._searcher.metrics.count_result(refusal.code)
        answer = _answer.build_refusal_answer(refusal)
        await self._send_answer(send, answer, *headers)

    async def _try_send_refusal(
        self, send: Send, refusal: errors.Refusal
    ) -> None:
        try:
            await self._send_refusal(send, refusal)
        except Exception:
            # Part of a response was already sent, or the caller disconnected.
            _LOGGER.debug("search: could not send an error to the caller")

    async def _send_answer(
        self,
        send: Send,
        answer: _answer.SearchAnswer,
        *headers: tuple[bytes, bytes],
    ) -> None:
        if not answer.node:
            answer = _answer.with_node(answer, self._searcher.node_id)
        status = codes.INFO[answer.code].http_status
        body = _answer.encode_answer(answer)
        await self._send_response(send, status, body, *headers)

    async def _send_response(
        self,
        send: Send,
        status: int,
        body: bytes,
        *headers: tuple[bytes, bytes],
    ) -> None:
        all_headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            *headers,
        ]
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": all_headers,
            }
        )
        await send({"type": "http.response.body", "body": body})


def build_caller_application(
    searcher: SearchRunner,
    readiness: _readiness.ReadinessState,
    settings: settings_models.Settings,
) -> Application:
    """Returns the ASGI application for callers.

    It serves `POST /v1/search`, `GET /ready` (503 while not ready) and
    `GET /healthz`. Every refusal is a JSON answer with a result code.

    Args:
        searcher: Runs the searches.
        readiness: Readiness of this node.
        settings: Limits of request bodies and of concurrent searches.
    """
    return _CallerApplication(searcher, readiness, settings)
