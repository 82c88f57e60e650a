"""Simulated endpoints that record the requests that they run."""

import collections
import dataclasses
import enum
import hashlib
import random

import trio

from soak import _limits
from standins import lean_http

RECORD_BYTES = 16
RECORDS_PER_RESPONSE = 8


class EndpointFault(enum.Enum):
    """Faults of an endpoint.

    Attributes:
        NONE: The endpoint works.
        SLOW: The service time is ten times as long.
        SILENT: The response takes 3 s longer.
        RESET: The endpoint closes the connection before it responds.
        SHED: The endpoint rejects the request as not run.
        FAILING: The endpoint responds with status 500.
        TRUNCATED: The endpoint closes the connection before the end of the
            response.
        MISMATCHED: The endpoint first sends a response with a wrong request
            id.
    """

    NONE = "none"
    SLOW = "slow"
    SILENT = "silent"
    RESET = "reset"
    SHED = "shed"
    FAILING = "failing"
    TRUNCATED = "cut"
    MISMATCHED = "doubled"


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointResponse:
    """A response of an endpoint."""

    request_id: str
    service: str
    body: bytes


class RunLog:
    """Requests that the endpoints ran, and their responses.

    Attributes:
        responses: Successful responses by signature.
        runs: Number of runs by request id and service.
        limits: Requests at endpoints that stated a limit.
    """

    def __init__(self) -> None:
        self.responses: dict[str, EndpointResponse] = {}
        self.runs: collections.Counter[tuple[str, str]] = collections.Counter()
        self.limits: list[_limits.LimitRecord] = []

    def record_run(self, request_id: str, service: str) -> None:
        """Counts one run of a request."""
        self.runs[request_id, service] += 1


class SimulatedEndpoint:
    """One instance of an endpoint, with injectable faults.

    Attributes:
        endpoint_id: Id of this instance.
        service: Name of the service.
        fault: Active fault.
        deregistered: Whether the endpoint has been deregistered.
        arrivals: Time and request id of each request, on trio's clock.
        limit: The limit that the endpoint states; None without one.
        port: TCP port of the listener; 0 before `run` has bound it.
    """

    def __init__(
        self,
        endpoint_id: str,
        service: str,
        run_log: RunLog,
        rng: random.Random,
    ) -> None:
        self.endpoint_id = endpoint_id
        self.service = service
        self.fault = EndpointFault.NONE
        self.deregistered = False
        self.arrivals: list[tuple[float, str]] = []
        self.limit: _limits.LimitRecord | None = None
        self.port = 0
        self._run_log = run_log
        self._rng = rng

    def state_limit(self, per_s: float) -> None:
        """States a limit in all answers from now on.

        Args:
            per_s: Requests a second of all nodes together.
        """
        self.limit = _limits.LimitRecord(self.endpoint_id, per_s)
        self._run_log.limits.append(self.limit)

    async def run(
        self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled; reports the port."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started(self.port)
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        async def respond(
            request: lean_http.HttpRequest,
        ) -> lean_http.HttpResponse:
            return await self._respond_to_request(stream, request)

        async with stream:
            await lean_http.serve_connection(stream, respond)

    async def _respond_to_request(
        self, stream: trio.SocketStream, request: lean_http.HttpRequest
    ) -> lean_http.HttpResponse:
        request_id = request.headers.get(b"x-attempt-id", b"").decode()
        expected_id = request.headers.get(b"x-expected-instance", b"").decode()
        if expected_id != self.endpoint_id:
            return lean_http.HttpResponse(421, [], b"")
        self.arrivals.append((trio.current_time(), request_id))
        if self.limit is not None:
            self.limit.arrivals.append((trio.current_time(), request_id))
        # An active fault affects about half of the requests.
        fault = self.fault if self._rng.random() < 0.5 else EndpointFault.NONE
        if fault is EndpointFault.SHED:
            return lean_http.HttpResponse(503, [(b"x-not-executed", b"1")], b"")
        self._run_log.record_run(request_id, self.service)
        slowdown = 10 if fault is EndpointFault.SLOW else 1
        await trio.sleep(self._rng.uniform(0.005, 0.02) * slowdown)
        if fault is EndpointFault.SILENT:
            await trio.sleep(3.0)
        if fault is EndpointFault.RESET:
            await stream.aclose()
        return await self._send_response(stream, request_id, fault)

    async def _send_response(
        self,
        stream: trio.SocketStream,
        request_id: str,
        fault: EndpointFault,
    ) -> lean_http.HttpResponse:
        digest = hashlib.sha256(
            f"{request_id}/{self.endpoint_id}/{self._rng.random()}".encode()
        )
        signature = digest.hexdigest()[:24]
        body = b"".join(
            hashlib.md5(f"{signature}/{i}".encode()).digest()  # noqa: S324
            for i in range(RECORDS_PER_RESPONSE)
        )
        headers = [
            (b"x-response-stamp", signature.encode()),
            (b"x-attempt-id", request_id.encode()),
        ]
        if self.limit is not None:
            per_s = f"{self.limit.limit_per_s}".encode()
            headers.append((b"server-limit", per_s))
            self.limit.stated.append((trio.current_time(), request_id))
        if fault is EndpointFault.FAILING:
            return lean_http.HttpResponse(500, headers, b"failed")
        encoded_headers = b"".join(b"%b: %b\r\n" % field for field in headers)
        encoded_response = (
            b"HTTP/1.1 200 OK\r\n%bcontent-length: %d\r\n\r\n%b"
            % (
                encoded_headers,
                len(body),
                body,
            )
        )
        if fault is EndpointFault.TRUNCATED:
            await stream.send_all(encoded_response[:-20])
            await stream.aclose()
        self._run_log.responses[signature] = EndpointResponse(
            request_id, self.service, body
        )
        if fault is EndpointFault.MISMATCHED:
            # The expected response follows this one.
            mismatched = encoded_response.replace(
                request_id.encode(), b"0" * len(request_id)
            )
            await stream.send_all(mismatched)
        return lean_http.HttpResponse(200, headers, body)
