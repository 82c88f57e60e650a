"""A minimal HTTP/1.1 server with h11 on trio streams.

A general ASGI server needs several times the processor time per request,
which would make the stand-in slower than the nodes under test.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

import h11
import trio

_RECEIVE_BYTES = 16384
_BODY_LIMIT_BYTES = 1 << 20

Headers = Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request with its complete body; header names are in lower case."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response; `serve_connection` adds `content-length`."""

    status: int
    headers: Headers
    body: bytes


Application = Callable[[HttpRequest], Awaitable[HttpResponse]]


async def serve_connection(
    stream: trio.abc.Stream, application: Application
) -> None:
    """Serves the requests of a connection in order, until its end.

    Args:
        stream: The connection; this function does not close it.
        application: Returns the response to a request.
    """
    connection = h11.Connection(h11.SERVER)
    try:
        while True:
            request = await _receive_request(stream, connection)
            if request is None:
                return
            response = await application(request)
            await stream.send_all(_encode_response(connection, response))
            if connection.our_state is h11.MUST_CLOSE:
                return
            connection.start_next_cycle()
    except (h11.ProtocolError, trio.BrokenResourceError):
        return
    except trio.ClosedResourceError:
        return


async def _receive_request(
    stream: trio.abc.Stream, connection: h11.Connection
) -> HttpRequest | None:
    request_head: h11.Request | None = None
    body = b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            received = await stream.receive_some(_RECEIVE_BYTES)
            connection.receive_data(bytes(received))
        elif isinstance(event, h11.Request):
            request_head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > _BODY_LIMIT_BYTES:
                return None
        elif isinstance(event, h11.EndOfMessage) and request_head is not None:
            headers = dict(request_head.headers)
            return HttpRequest(
                request_head.method, request_head.target, headers, body
            )
        else:
            return None


def _encode_response(
    connection: h11.Connection, response: HttpResponse
) -> bytes:
    length = str(len(response.body)).encode()
    headers = [*response.headers, (b"content-length", length)]
    response_head = h11.Response(status_code=response.status, headers=headers)
    chunks = [
        connection.send(response_head),
        connection.send(h11.Data(data=response.body)),
        connection.send(h11.EndOfMessage()),
    ]
    return b"".join(chunk for chunk in chunks if chunk)
