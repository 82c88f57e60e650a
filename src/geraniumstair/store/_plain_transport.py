"""Exchanges over HTTP/1.1 without TLS, parsed by httptools."""

import select
import urllib.parse

import trio

from geraniumstair import endpoint_http
from geraniumstair.store import _transport

_SCHEME = "http"
_DEFAULT_PORT = 80
_READ_BYTES = 64 * 1024
# Replies of all connections together. One connection may use all of it.
_BUFFER_LIMIT = endpoint_http.BufferLimit(_transport.MAX_REPLY_BYTES)


class PlainTransport:
    """Implements `Transport`.

    Args:
        max_idle_connections: Idle connections that are kept.
    """

    def __init__(self, max_idle_connections: int) -> None:
        self._max_idle_connections = max_idle_connections
        # Least recently used connection first.
        self._idle: list[_Connection] = []

    async def exchange(
        self,
        request: _transport.HttpRequest,
        connect_timeout_s: float,
        trace: _transport.SendTrace,
    ) -> _transport.HttpReply:
        """Sends a request and returns the response; see `Transport`."""
        try:
            connection = self._take_idle(request.base_url)
            if connection is None:
                connection = await _connect(request.base_url, connect_timeout_s)
            try:
                reply = await connection.exchange(request, trace)
            except BaseException:
                connection.close()
                raise
        except (
            OSError,
            ValueError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            endpoint_http.InvalidResponse,
        ) as error:
            detail = f"{type(error).__name__}: {error}"
            raise _transport.ExchangeError(detail) from error
        self._keep(connection)
        return reply

    async def close_idle(self) -> None:
        """Closes the connections that carry no exchange."""
        while self._idle:
            self._idle.pop().close()

    def _take_idle(self, base_url: str) -> "_Connection | None":
        for connection in reversed(self._idle):
            if connection.base_url == base_url:
                self._idle.remove(connection)
                if connection.usable:
                    return connection
                connection.close()
        return None

    def _keep(self, connection: "_Connection") -> None:
        if not connection.usable:
            connection.close()
            return
        self._idle.append(connection)
        if len(self._idle) > self._max_idle_connections:
            self._idle.pop(0).close()


class _Connection:
    """One connection, which carries one exchange at a time."""

    def __init__(self, base_url: str, stream: trio.SocketStream) -> None:
        self.base_url = base_url
        self._stream = stream
        self._parser = endpoint_http.ResponseParser(
            _transport.MAX_REPLY_BYTES, _BUFFER_LIMIT
        )

    @property
    def usable(self) -> bool:
        """True if the service has neither closed it nor sent anything."""
        if not self._parser.reusable:
            return False
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    async def exchange(
        self, request: _transport.HttpRequest, trace: _transport.SendTrace
    ) -> _transport.HttpReply:
        """Sends a request and returns the response; see `Transport`."""
        data = _encode(request)
        trace.sent = True
        await self._stream.send_all(data)
        while True:
            received = await self._stream.receive_some(_READ_BYTES)
            response = (
                self._parser.feed(received)
                if received
                else self._parser.finish()
            )
            if response is not None:
                return _transport.HttpReply(
                    response.status, response.fields, response.body
                )
            if not received:
                raise ConnectionError("the service closed the connection")

    def close(self) -> None:
        """Closes the connection at once."""
        self._parser.close()
        self._stream.socket.close()


async def _connect(base_url: str, timeout_s: float) -> _Connection:
    parts = urllib.parse.urlsplit(base_url)
    if parts.scheme != _SCHEME or not parts.hostname:
        raise ValueError(f"{base_url} is not an HTTP URL")
    try:
        with trio.fail_after(timeout_s):
            stream = await trio.open_tcp_stream(
                parts.hostname, parts.port or _DEFAULT_PORT
            )
    except trio.TooSlowError as error:
        raise TimeoutError("the connection attempt timed out") from error
    return _Connection(base_url, stream)


def _encode(request: _transport.HttpRequest) -> bytes:
    host = urllib.parse.urlsplit(request.base_url).netloc
    head = (
        f"{request.method} {request.path} HTTP/1.1\r\n"
        f"host: {host}\r\n"
        "content-type: application/json\r\n"
        f"content-length: {len(request.body)}\r\n\r\n"
    )
    return head.encode("ascii") + request.body
