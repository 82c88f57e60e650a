"""Endpoint protocol over HTTP/1.1 on trio sockets.

`httpcore.AsyncHTTP11Connection` is not used here because it hides how many
bytes of a request were written. This number decides whether a failed request
has certainly not run or may have run. The locks and timeouts of httpcore also
cost about twice the processor time of this module. Requests are written from a
template and responses are parsed by httptools; with h11, the parser of
httpcore, parsing alone took 15% of a node's processor time.

The sockets are used without trio's wrappers. The wrappers have a checkpoint
after each send and receive, which costs one more pass of the scheduler.
"""

import math
import re
import select
import socket

import trio

from geraniumstair import configuration
from geraniumstair import endpoint_http
from geraniumstair.dispatch import _client

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
_READ_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 1.0
STATUS_TIMEOUT_S = 1.0
_NOT_RUN_HEADER = b"x-not-run"
# Characters of a route or request id that cannot change the request line.
_SAFE_TOKEN = re.compile(rb"[A-Za-z0-9._-]+")
_SEARCH_HEAD = (
    b"POST /search/%b HTTP/1.1\r\n"
    b"host: %b\r\n"
    b"content-type: application/json\r\n"
    b"content-length: %d\r\n"
    b"x-request-id: %b\r\n"
    b"x-deadline-ms: %.1f\r\n"
    b"x-snapshot: %d\r\n"
    b"\r\n"
)
_CANCEL_HEAD = (
    b"POST /cancel/%b HTTP/1.1\r\nhost: %b\r\ncontent-length: 0\r\n\r\n"
)
_STATUS_HEAD = b"GET /status HTTP/1.1\r\nhost: %b\r\n\r\n"


class HttpClient:
    """Opens HTTP connections to one endpoint."""

    def __init__(
        self,
        spec: configuration.EndpointSpec,
        *,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        self._spec = spec
        self._max_response_bytes = max_response_bytes

    async def connect(self) -> "HttpConnection":
        """Opens a connection.

        Raises:
            OSError: The endpoint cannot be reached in time.
        """
        host = self._spec.address
        endpoint_socket = await endpoint_http.connect(
            host, self._spec.port, CONNECT_TIMEOUT_S
        )
        if ":" in host:
            host = f"[{host}]"
        host_header = f"{host}:{self._spec.port}".encode()
        return HttpConnection(
            endpoint_socket, host_header, self._max_response_bytes
        )


class HttpConnection:
    """Open HTTP/1.1 connection that carries one request at a time."""

    def __init__(
        self,
        endpoint_socket: socket.socket,
        host_header: bytes,
        max_response_bytes: int,
    ) -> None:
        self._socket = endpoint_socket
        self._parser = endpoint_http.ResponseParser(max_response_bytes)
        self._host_header = host_header
        self._open = True
        self._sent_bytes = 0
        # An idle connection is readable only if the endpoint closed it or sent
        # data without a request.
        self._poll = select.poll()
        self._poll.register(endpoint_socket.fileno(), select.POLLIN)

    @property
    def usable(self) -> bool:
        """False if the connection is closed, or readable while idle."""
        return self._open and not self._poll.poll(0)

    async def aclose(self) -> None:
        """Closes the connection."""
        self._close()

    def _close(self) -> None:
        if self._open:
            self._open = False
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()
            self._parser.close()

    async def search(
        self, request: _client.EndpointRequest
    ) -> _client.EndpointReply:
        """Sends a search request and classifies the response."""
        request_id = request.request_id
        route = request.route.encode("utf-8", "replace")
        self._sent_bytes = 0
        if not _SAFE_TOKEN.fullmatch(route) or not _SAFE_TOKEN.fullmatch(
            request_id
        ):
            return _client.EndpointReply(
                _client.Outcome.NOT_SENT,
                "the route or request id is not valid in HTTP",
            )
        head = _SEARCH_HEAD % (
            route,
            self._host_header,
            len(request.body),
            request_id,
            request.remaining_ms,
            request.snapshot,
        )
        try:
            response = await self._exchange(head + request.body)
        except (OSError, trio.ClosedResourceError) as error:
            return self._build_error_reply(error)
        except endpoint_http.InvalidResponse as error:
            self._close()
            return _client.EndpointReply(
                _client.Outcome.INVALID, f"malformed response: {error}"
            )
        reply = _classify_response(
            response, request_id, b"%d" % request.snapshot
        )
        if reply.outcome is _client.Outcome.INVALID:
            self._close()
        return reply

    async def cancel(self, request_id: bytes) -> None:
        """Asks the endpoint to cancel a request of another connection."""
        head = _CANCEL_HEAD % (request_id, self._host_header)
        await self._send_control_request(head)

    async def status(self) -> _client.EndpointReply:
        """Fetches the endpoint's status."""
        response = await self._send_control_request(
            _STATUS_HEAD % self._host_header
        )
        if response is None:
            return _client.EndpointReply(
                _client.Outcome.CONNECTION_LOST,
                "no answer to the status probe",
            )
        if response.status != 200:
            return _client.EndpointReply(
                _client.Outcome.FAILED,
                f"the status probe got HTTP status {response.status}",
            )
        try:
            return _build_reply(_client.Outcome.ANSWERED, response, "")
        except endpoint_http.InvalidResponse as error:
            return _client.EndpointReply(_client.Outcome.INVALID, str(error))

    async def _send_control_request(
        self, data: bytes
    ) -> endpoint_http.Response | None:
        response = None
        with trio.move_on_after(STATUS_TIMEOUT_S):
            try:
                response = await self._exchange(data)
            except (
                OSError,
                trio.ClosedResourceError,
                endpoint_http.InvalidResponse,
            ):
                response = None
        if response is None:
            self._close()
        return response

    def _build_error_reply(self, error: Exception) -> _client.EndpointReply:
        self._close()
        if self._sent_bytes == 0:
            return _client.EndpointReply(
                _client.Outcome.NOT_SENT,
                f"no byte of the request was sent: {error}",
            )
        return _client.EndpointReply(
            _client.Outcome.CONNECTION_LOST, f"connection lost: {error}"
        )

    async def _exchange(self, data: bytes) -> endpoint_http.Response:
        self._sent_bytes = 0
        complete = False
        try:
            if not self._open:
                raise ConnectionResetError("the connection is closed")
            await self._send(data)
            response = await self._receive()
            complete = True
            return response
        finally:
            if not complete:
                self._close()

    async def _send(self, data: bytes) -> None:
        view = memoryview(data)
        while self._sent_bytes < len(data):
            try:
                self._sent_bytes += self._socket.send(view[self._sent_bytes :])
            except BlockingIOError:
                await trio.lowlevel.wait_writable(self._socket)
            except (BrokenPipeError, ConnectionResetError):
                if not self._sent_bytes:
                    raise
                # An endpoint may refuse a long body before reading all of it.
                # Its response may still be readable.
                return

    async def _read(self) -> bytes:
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            try:
                return self._socket.recv(_READ_BYTES)
            except BlockingIOError:
                continue

    async def _receive(self) -> endpoint_http.Response:
        parser = self._parser
        while True:
            data = await self._read()
            if not data:
                if parser.has_partial_response:
                    raise endpoint_http.InvalidResponse(
                        "the response is incomplete"
                    )
                raise ConnectionResetError(
                    "the endpoint closed the connection before a response"
                )
            response = parser.feed(data)
            if response is not None:
                if not parser.reusable:
                    self._close()
                return response


def _build_reply(
    outcome: _client.Outcome, response: endpoint_http.Response, detail: str
) -> _client.EndpointReply:
    headers = response.headers
    snapshots_header = headers.get(b"x-snapshots")
    snapshots = None
    if snapshots_header is not None:
        try:
            snapshots = tuple(
                int(s) for s in snapshots_header.split(b",") if s.strip()
            )
        except ValueError as error:
            raise endpoint_http.InvalidResponse(
                "x-snapshots is not a list of integers"
            ) from error
    return _client.EndpointReply(
        outcome=outcome,
        detail=detail,
        snapshots=snapshots,
        boot_id=headers.get(b"x-boot-id", b"").decode("ascii", "replace"),
        draining=headers.get(b"x-draining") == b"1",
    )


def _classify_response(
    response: endpoint_http.Response, request_id: bytes, snapshot: bytes
) -> _client.EndpointReply:
    headers = response.headers
    outcomes = _client.Outcome
    answered = response.status == 200
    reply_id = headers.get(b"x-request-id")
    if reply_id != request_id and (answered or reply_id is not None):
        return _client.EndpointReply(
            outcomes.INVALID, "the answer belongs to another request"
        )
    not_run = headers.get(_NOT_RUN_HEADER) == b"1"
    try:
        if answered:
            return _parse_answer(response, snapshot)
        if response.status == 503 and not_run:
            return _build_reply(
                outcomes.SHED, response, "the endpoint shed the request"
            )
        if response.status == 409 and not_run:
            return _build_reply(
                outcomes.SNAPSHOT_UNAVAILABLE,
                response,
                "the endpoint does not have the snapshot",
            )
        if response.status == 499:
            return _build_reply(
                outcomes.CANCELLED, response, "the request was cancelled"
            )
        return _build_reply(
            outcomes.FAILED,
            response,
            f"the endpoint answered with HTTP status {response.status}",
        )
    except endpoint_http.InvalidResponse as error:
        return _client.EndpointReply(outcomes.INVALID, str(error))


def _parse_answer(
    response: endpoint_http.Response, snapshot: bytes
) -> _client.EndpointReply:
    if response.headers.get(b"x-snapshot") != snapshot:
        raise endpoint_http.InvalidResponse(
            "the answer is from another snapshot"
        )
    try:
        coverage_pct = float(response.headers.get(b"x-coverage-pct", b""))
    except ValueError as error:
        raise endpoint_http.InvalidResponse(
            "the answer has no valid x-coverage-pct"
        ) from error
    if not math.isfinite(coverage_pct) or not 0 <= coverage_pct <= 100:
        raise endpoint_http.InvalidResponse(
            "x-coverage-pct is not between 0 and 100"
        )
    reply = _build_reply(_client.Outcome.ANSWERED, response, "")
    reply.body = response.body
    reply.coverage_pct = coverage_pct
    return reply
