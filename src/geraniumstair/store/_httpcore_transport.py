"""Exchanges by httpcore, with TLS where the URL asks for it.

The node on the users' platform uses `_plain_transport` instead, because
importing httpcore takes a tenth of the start of its process.
"""

from collections.abc import Mapping
from typing import Any

import httpcore
import trio

from geraniumstair.store import _transport

_HEADERS = [("content-type", "application/json")]
_CLOSE_TIMEOUT_S = 0.1
HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.UnsupportedProtocol,
    OSError,
)
# Trace events of httpcore after which bytes of a request may have been sent.
_SEND_EVENTS = frozenset(
    [
        "http11.send_request_headers.started",
        "http2.send_request_headers.started",
    ]
)


class HttpcoreTransport:
    """Implements `Transport`.

    Args:
        max_idle_connections: Idle connections that are kept.

    Attributes:
        pool: The connections.
    """

    def __init__(self, max_idle_connections: int) -> None:
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=None, max_keepalive_connections=max_idle_connections
        )

    async def exchange(
        self,
        request: _transport.HttpRequest,
        connect_timeout_s: float,
        trace: _transport.SendTrace,
    ) -> _transport.HttpReply:
        """Sends a request and returns the response; see `Transport`."""

        async def on_event(event: str, info: Mapping[str, Any]) -> None:
            if event in _SEND_EVENTS:
                trace.sent = True

        timeouts = {"connect": connect_timeout_s, "pool": connect_timeout_s}
        try:
            async with self.pool.stream(
                request.method,
                request.base_url + request.path,
                headers=_HEADERS,
                content=request.body,
                extensions={"timeout": timeouts, "trace": on_event},
            ) as response:
                return _transport.HttpReply(
                    response.status, response.headers, await _read(response)
                )
        except HTTP_ERRORS as error:
            detail = f"{type(error).__name__}: {error}"
            raise _transport.ExchangeError(detail) from error

    async def close_idle(self) -> None:
        """Closes the connections that carry no exchange."""
        with trio.move_on_after(_CLOSE_TIMEOUT_S):
            for connection in self.pool.connections:
                if connection.is_idle():
                    await connection.aclose()


async def _read(response: httpcore.Response) -> bytes:
    # A list of small chunks would take many times their size.
    received = bytearray()
    async for chunk in response.aiter_stream():
        received += chunk
        if len(received) > _transport.MAX_REPLY_BYTES:
            raise _transport.ExchangeError("the reply is too large")
    return bytes(received)
