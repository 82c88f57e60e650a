"""Minimal HTTP client of an endpoint: h11 over a trio stream."""

import dataclasses

import h11
import trio

_RECEIVE_BYTES = 16384


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointReply:
    """Reply of an endpoint.

    Attributes:
        status: HTTP status.
        request_id: Value of the `x-request-id` header; empty if missing.
        body: Body as received.
    """

    status: int
    request_id: bytes
    body: bytes


class EndpointConnection:
    """HTTP/1.1 connection that sends one request at a time.

    Args:
        stream: Connected stream.
    """

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._connection = h11.Connection(h11.CLIENT)

    async def search(
        self, route: str, request_id: str, snapshot: int, body: bytes
    ) -> EndpointReply:
        """Sends one search request and returns the reply.

        Raises:
            h11.RemoteProtocolError: The connection broke.
            trio.BrokenResourceError: The connection broke.
        """
        connection = self._connection
        request = h11.Request(
            method="POST",
            target=f"/search/{route}",
            headers=[
                ("host", "endpoint"),
                ("x-request-id", request_id),
                ("x-deadline-ms", "5000"),
                ("x-snapshot", str(snapshot)),
                ("content-length", str(len(body))),
            ],
        )
        chunks = [
            connection.send(request),
            connection.send(h11.Data(data=body)),
            connection.send(h11.EndOfMessage()),
        ]
        await self._stream.send_all(
            b"".join(chunk for chunk in chunks if chunk)
        )
        reply = await self._receive()
        connection.start_next_cycle()
        return reply

    async def _receive(self) -> EndpointReply:
        status = 0
        request_id = b""
        body = b""
        while True:
            event = self._connection.next_event()
            if event is h11.NEED_DATA:
                received = await self._stream.receive_some(_RECEIVE_BYTES)
                self._connection.receive_data(bytes(received))
            elif isinstance(event, h11.Response):
                status = event.status_code
                request_id = dict(event.headers).get(b"x-request-id", b"")
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return EndpointReply(status, request_id, body)
            else:
                raise h11.RemoteProtocolError(
                    "endpoint closed the connection before the end of its reply"
                )

    async def aclose(self) -> None:
        """Closes the connection."""
        await trio.aclose_forcefully(self._stream)


class EndpointPool:
    """Pool of persistent connections to one endpoint.

    Args:
        port: Port of the endpoint on loopback.
        limit: Maximum number of connections.
    """

    def __init__(self, port: int, limit: int) -> None:
        self._port = port
        self._idle: list[EndpointConnection] = []
        self._limiter = trio.CapacityLimiter(limit)

    async def search(
        self, route: str, request_id: str, snapshot: int, body: bytes
    ) -> EndpointReply:
        """Sends a request on an idle connection, or on a new one."""
        borrower = object()
        await self._limiter.acquire_on_behalf_of(borrower)
        try:
            if self._idle:
                connection = self._idle.pop()
            else:
                connection = await self._open()
            try:
                reply = await connection.search(
                    route, request_id, snapshot, body
                )
            except BaseException:
                await connection.aclose()
                raise
            self._idle.append(connection)
            return reply
        finally:
            self._limiter.release_on_behalf_of(borrower)

    async def warm_up(self) -> None:
        """Opens one connection."""
        self._idle.append(await self._open())

    async def _open(self) -> EndpointConnection:
        stream = await trio.open_tcp_stream("127.0.0.1", self._port)
        return EndpointConnection(stream)
