"""ASGI applications for callers and for the platform's load balancer."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import MutableMapping
from collections.abc import Sequence
import dataclasses
import logging
from typing import Any
from typing import Protocol

import result
import trio

from geraniumstair import forward
from geraniumstair import listeners
from geraniumstair import observe
from geraniumstair import routing
from geraniumstair.gateway import _authentication
from geraniumstair.gateway import _lifecycle
from geraniumstair.gateway import _start_wait

_LOG = logging.getLogger(__name__)

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Mapping[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

RETRY_AFTER_NO_ROUTES_S = 0.3
# Callers retry on a new connection, which leads to another node.
RETRY_AFTER_SHUTDOWN_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """A caller's request without its body.

    Attributes:
        method: HTTP method.
        target: Path and query, unchanged.
        path: Path without the query.
        headers: Headers in order, names in lower case.
        received_s: When it was received, on trio's clock.
    """

    method: bytes
    target: bytes
    path: str
    headers: Sequence[tuple[bytes, bytes]]
    received_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """The HTTP response to a caller."""

    status: int
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes = b""


class CallerCodec(_authentication.KeyCodec, Protocol):
    """Converts between HTTP messages of callers and internal requests."""

    def parse(
        self, head: RequestHead, body: bytes | None
    ) -> result.Result[forward.CallerRequest, str]:
        """Parses a request; an error describes why it is invalid."""
        ...

    def render(self, outcome: forward.ForwardResult) -> HttpResponse:
        """Returns the response for the outcome of a request."""
        ...


class StateView(Protocol):
    """The part of the desired state that the application reads."""

    table: routing.RouteTable | None


class _CallerDisconnected(Exception):
    """The caller closed the connection before its body was complete."""


class _BodyTooLarge(Exception):
    """The body exceeds the limit."""


class CallerApplication:
    """Serves callers' requests.

    Args:
        state: Holds the routes in force.
        forwarder: Forwards requests to endpoints.
        codec: Converts HTTP messages of callers.
        lifecycle: Reports whether the node is stopping.
        authenticator: Admits requests by their keys; None checks them without
            a bound on revocation.
        start_wait: Holds requests while the node starts; None holds none.
    """

    def __init__(
        self,
        state: StateView,
        forwarder: forward.Forwarder,
        codec: CallerCodec,
        lifecycle: _lifecycle.Lifecycle,
        authenticator: _authentication.Authenticator | None = None,
        start_wait: _start_wait.StartWait | None = None,
    ) -> None:
        self._authenticator = authenticator or _authentication.Authenticator(
            codec
        )
        self._start_wait = start_wait
        self._state = state
        self._forwarder = forwarder
        self._codec = codec
        self._lifecycle = lifecycle
        self._running: set[trio.CancelScope] = set()

    def limits(self) -> routing.CallerLimits:
        """Returns the limits in force; the defaults before any are known."""
        table = self._state.table
        return table.limits if table else routing.CallerLimits()

    async def answer_rest_at_shutdown(self) -> None:
        """Ends the requests that are in progress shortly before the kill."""
        await self._lifecycle.wait_for_final_answers()
        for running in list(self._running):
            running.cancel()

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one ASGI scope."""
        if scope["type"] == "lifespan":
            await listeners.serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve_request(scope, receive, send)

    async def _serve_request(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        response: HttpResponse | None
        try:
            response = await self._handle_request(scope, receive)
        except _CallerDisconnected:
            return
        except Exception:
            _LOG.exception("gateway: unexpected error while serving a request")
            # The request may have run on an endpoint.
            response = HttpResponse(502, [])
        if response is not None:
            await self._send_response(send, response)

    async def _handle_request(
        self, scope: Scope, receive: Receive
    ) -> HttpResponse | None:
        head = _build_request_head(scope)
        try:
            body = await _read_body(head, receive, self.limits().max_body_bytes)
        except _BodyTooLarge:
            _LOG.info("gateway: refused a request: its body exceeds the limit")
            return HttpResponse(413, [(b"connection", b"close")])
        parsed = self._codec.parse(head, body)
        if isinstance(parsed, result.Err):
            _LOG.info("gateway: refused a request: %s", parsed.err_value)
            return HttpResponse(400, [], parsed.err_value.encode())
        if not await self._wait_for_start(parsed.ok_value, receive):
            return None
        admitted = self._admit(parsed.ok_value)
        if isinstance(admitted, forward.Refused):
            return self._codec.render(admitted)
        request, route = admitted
        return await self._forward(request, route, receive)

    async def _wait_for_start(
        self, request: forward.CallerRequest, receive: Receive
    ) -> bool:
        """Waits while the node starts; returns False if the caller leaves."""
        start_wait = self._start_wait
        if start_wait is None or start_wait.is_over:
            return True
        has_left = True
        async with trio.open_nursery() as nursery:
            self._running.add(nursery.cancel_scope)
            try:
                nursery.start_soon(
                    _cancel_on_disconnect, receive, nursery.cancel_scope
                )
                await start_wait.wait(request)
                has_left = False
                nursery.cancel_scope.cancel()
            finally:
                self._running.discard(nursery.cancel_scope)
        return not has_left or self._lifecycle.final_answers_due

    def _admit(
        self, request: forward.CallerRequest
    ) -> forward.Refused | tuple[forward.CallerRequest, routing.Route]:
        """Returns the request to forward and its route, or a refusal."""
        # The routes in force now may be newer than the version whose limits
        # applied to the body.
        table = self._state.table
        if table is None:
            _LOG.info(
                "gateway: refused a request: no routes are loaded yet",
                extra=observe.fields(
                    request_id=request.request_id.decode("latin-1")
                ),
            )
            return forward.Refused(
                forward.RefusalReason.NO_CONFIGURATION,
                True,
                RETRY_AFTER_NO_ROUTES_S,
                "no version of the routes has been loaded yet",
            )
        route = table.match(request.host, request.path)
        if route is None:
            detail = f"version {table.version} of the routes has no match"
            _LOG.info(
                "gateway: refused a request: no route matches it",
                extra=observe.fields(
                    request_id=request.request_id.decode("latin-1"),
                    version=table.version,
                    host=request.host,
                    path=request.path,
                ),
            )
            return _build_no_route_refusal(detail)
        admitted = self._authenticator.admit(request, route, table)
        if isinstance(admitted, forward.Refused):
            return admitted
        return admitted, route

    async def _forward(
        self,
        request: forward.CallerRequest,
        route: routing.Route,
        receive: Receive,
    ) -> HttpResponse | None:
        if self._lifecycle.final_answers_due:
            return self._codec.render(
                _build_shutdown_refusal(request, not_run=True)
            )
        outcome: forward.ForwardResult | None = None
        async with trio.open_nursery() as nursery:
            self._running.add(nursery.cancel_scope)
            try:
                nursery.start_soon(
                    _cancel_on_disconnect, receive, nursery.cancel_scope
                )
                outcome = await self._forwarder.forward(request, route)
                nursery.cancel_scope.cancel()
            finally:
                self._running.discard(nursery.cancel_scope)
        if outcome is None and self._lifecycle.final_answers_due:
            outcome = _build_shutdown_refusal(request, not_run=False)
        if outcome is None:
            _LOG.info(
                "gateway: the caller disconnected before the response",
                extra=observe.fields(
                    request_id=request.request_id.decode("latin-1"),
                    route=route.name,
                ),
            )
            return None
        return self._codec.render(outcome)

    async def _send_response(self, send: Send, response: HttpResponse) -> None:
        headers = list(response.headers)
        headers.append((b"content-length", b"%d" % len(response.body)))
        if self._lifecycle.stopping:
            headers.append((b"connection", b"close"))
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": response.body})


class ReadinessApplication:
    """Serves readiness checks, metrics and the state dump.

    Args:
        lifecycle: Reports whether the node is ready.
        readiness_path: Path that the load balancer requests.
        render_metrics: Returns the metrics as text.
        render_state: Returns the state of the node as JSON.
    """

    def __init__(
        self,
        lifecycle: _lifecycle.Lifecycle,
        readiness_path: str,
        render_metrics: Callable[[], bytes],
        render_state: Callable[[], bytes],
    ) -> None:
        self._render_state = render_state
        self._lifecycle = lifecycle
        self._readiness_path = readiness_path
        self._render_metrics = render_metrics

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one ASGI scope."""
        if scope["type"] == "lifespan":
            await listeners.serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        status, body = self._respond(scope["path"])
        length = (b"content-length", b"%d" % len(body))
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [(b"content-type", b"text/plain"), length],
            }
        )
        await send({"type": "http.response.body", "body": body})

    def _respond(self, path: str) -> tuple[int, bytes]:
        if path == self._readiness_path:
            return (200, b"ready") if self._lifecycle.ready else (503, b"no")
        if path == "/metrics":
            return 200, self._render_metrics()
        if path == "/state":
            return 200, self._render_state()
        return 404, b"not found"


def _build_no_route_refusal(detail: str) -> forward.Refused:
    return forward.Refused(forward.RefusalReason.NO_ROUTE, True, None, detail)


def _build_shutdown_refusal(
    request: forward.CallerRequest, *, not_run: bool
) -> forward.Refused:
    _LOG.info(
        "gateway: ended a request because the node stops",
        extra=observe.fields(
            request_id=request.request_id.decode("latin-1"), not_run=not_run
        ),
    )
    return forward.Refused(
        forward.RefusalReason.TIMEOUT,
        not_run,
        RETRY_AFTER_SHUTDOWN_S if not_run else None,
        "the node stops",
    )


def _build_request_head(scope: Scope) -> RequestHead:
    path = scope["raw_path"]
    query = scope["query_string"]
    target = path + b"?" + query if query else path
    return RequestHead(
        method=scope["method"].encode("ascii"),
        target=target,
        path=path.decode("latin-1"),
        headers=list(scope["headers"]),
        received_s=scope.get("extensions", {}).get(
            "received_s", trio.current_time()
        ),
    )


async def _read_body(
    head: RequestHead, receive: Receive, max_body_bytes: int
) -> bytes | None:
    """Returns the body; None if the request has none."""
    # A list of small chunks would take many times their size.
    received = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise _CallerDisconnected
        received += message.get("body", b"")
        if len(received) > max_body_bytes:
            raise _BodyTooLarge
        if not message.get("more_body", False):
            break
    body = bytes(received)
    names = {name for name, _ in head.headers}
    if b"content-length" in names or b"transfer-encoding" in names:
        return body
    return body or None


async def _cancel_on_disconnect(
    receive: Receive, cancel_scope: trio.CancelScope
) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            cancel_scope.cancel()
            return
