"""Stand-ins of endpoints that record what they ran."""

import collections
import dataclasses
import enum
import hashlib
import random

import trio

from standins import lean_http

RECORD_BYTES = 16
RECORDS = 8


class EndpointFault(enum.Enum):
    """How an endpoint misbehaves."""

    NONE = "none"
    SLOW = "slow"
    SILENT = "silent"
    RESET = "reset"
    SHED = "shed"
    FAILING = "failing"
    CUT = "cut"
    DOUBLED = "doubled"


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """An answer that an endpoint gave."""

    request_id: str
    service: str
    body: bytes


class RunLog:
    """What all endpoints ran.

    Attributes:
        parts: Good answers by signature.
        runs: Runs by request id and service.
    """

    def __init__(self) -> None:
        self.parts: dict[str, Part] = {}
        self.runs: collections.Counter[tuple[str, str]] = collections.Counter()

    def add(self, request_id: str, service: str) -> None:
        """Notes that a request runs."""
        self.runs[request_id, service] += 1


class StandInEndpoint:
    """One start of one endpoint.

    Attributes:
        endpoint_id: Its identity.
        fault: How it misbehaves now.
        gone: It has ended.
    """

    def __init__(
        self, endpoint_id: str, service: str, log: RunLog, rng: random.Random
    ) -> None:
        self.endpoint_id = endpoint_id
        self.service = service
        self.fault = EndpointFault.NONE
        self.gone = False
        self.port = 0
        self._log = log
        self._rng = rng

    async def run(
        self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled; reports the port."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started(self.port)
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        async def answer(
            request: lean_http.HttpRequest,
        ) -> lean_http.HttpResponse:
            return await self._answer(stream, request)

        async with stream:
            await lean_http.serve_connection(stream, answer)

    async def _answer(
        self, stream: trio.SocketStream, request: lean_http.HttpRequest
    ) -> lean_http.HttpResponse:
        request_id = request.headers.get(b"x-attempt-id", b"").decode()
        wanted = request.headers.get(b"x-expected-instance", b"").decode()
        if wanted != self.endpoint_id:
            return lean_http.HttpResponse(421, [], b"")
        # A fault that is on hits some of the requests.
        fault = self.fault if self._rng.random() < 0.5 else EndpointFault.NONE
        if fault is EndpointFault.SHED:
            return lean_http.HttpResponse(503, [(b"x-not-executed", b"1")], b"")
        self._log.add(request_id, self.service)
        slow = 10 if fault is EndpointFault.SLOW else 1
        await trio.sleep(self._rng.uniform(0.005, 0.02) * slow)
        if fault is EndpointFault.SILENT:
            await trio.sleep(3.0)
        if fault is EndpointFault.RESET:
            await stream.aclose()
        return await self._respond(stream, request_id, fault)

    async def _respond(
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
            for i in range(RECORDS)
        )
        headers = [
            (b"x-response-stamp", signature.encode()),
            (b"x-attempt-id", request_id.encode()),
        ]
        if fault is EndpointFault.FAILING:
            return lean_http.HttpResponse(500, headers, b"failed")
        head = b"".join(b"%b: %b\r\n" % field for field in headers)
        whole = b"HTTP/1.1 200 OK\r\n%bcontent-length: %d\r\n\r\n%b" % (
            head,
            len(body),
            body,
        )
        if fault is EndpointFault.CUT:
            await stream.send_all(whole[:-20])
            await stream.aclose()
        self._log.parts[signature] = Part(request_id, self.service, body)
        if fault is EndpointFault.DOUBLED:
            # A second answer before the one that is expected.
            late = whole.replace(request_id.encode(), b"0" * len(request_id))
            await stream.send_all(late)
        return lean_http.HttpResponse(200, headers, body)
