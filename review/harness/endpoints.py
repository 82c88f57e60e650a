"""Backends, as the protocol page describes them."""

from collections.abc import Callable
import hashlib
import itertools

import trio

from review.harness import record

RECORD_BYTES = 16


class Request:
    """A request that a backend has received."""

    def __init__(self, head: bytes, body: bytes) -> None:
        lines = head.split(b"\r\n")
        self.method, self.target, _ = lines[0].split(b" ", 2)
        self.headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(b":")
            self.headers[name.strip().lower()] = value.strip()
        self.body = body

    @property
    def request_id(self) -> str:
        """Id of the client attempt."""
        return self.headers.get(b"x-attempt-id", b"").decode()


# Returns bytes that a faulty backend sends before its next answer on the same
# connection, given the answer that it has just sent.
Spoiler = Callable[["Endpoint", bytes, str], bytes]


class Endpoint:
    """One lifetime of a backend.

    Args:
        endpoint_id: Its id.
        service: Its service.
        zone: Its zone.
        log: The record of the run.
        slots: Requests that it processes at the same time.
        queue: Requests that wait for a slot; more are rejected.
        work_s: Returns the time of one request.
        spoil: Returns the extra bytes of a faulty backend.
        version: Version of its software.

    Attributes:
        arrivals: Time and request id of each request, rejected ones included.
        runs: Time and request id of each request that has run.
    """

    def __init__(
        self,
        endpoint_id: str,
        service: str,
        zone: str,
        log: record.Record,
        *,
        slots: int = 2,
        queue: int = 12,
        work_s: Callable[[], float] = lambda: 0.01,
        spoil: Spoiler | None = None,
        version: str = "v1",
    ) -> None:
        self.endpoint_id = endpoint_id
        self.service = service
        self.zone = zone
        self.port = 0
        self.arrivals: list[tuple[float, str]] = []
        self.runs: list[tuple[float, str]] = []
        self.answers: dict[str, bytes] = {}
        self.version = version
        # Returns whether a request that has run is answered with a failure.
        self.fails: Callable[[], bool] = lambda: False
        self._log = log
        self._slots = trio.CapacityLimiter(slots)
        self._room = slots + queue
        self._inside = 0
        self._work_s = work_s
        self._spoil = spoil
        self._numbers = itertools.count()
        self._scope = trio.CancelScope()

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Returns the entry of this backend in the store."""
        return {
            "Service": self.service,
            "Address": f"127.0.0.1:{self.port}",
            "Zone": self.zone,
            "Version": self.version,
            "Slots": int(self._slots.total_tokens),
            "State": state,
            "WarmupLeftMs": 0,
            "Seq": 1,
            "born": 1_790_000_000_000,
        }

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until `exit` is called."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        with self._scope:
            task_status.started()
            await trio.serve_listeners(self._serve, listeners)

    def exit(self) -> None:
        """Ends the backend: its connections and its listener are closed."""
        self._scope.cancel()

    async def _serve(self, stream: trio.SocketStream) -> None:
        extra = b""
        buffer = b""
        try:
            async with stream:
                while True:
                    request, buffer = await _receive(stream, buffer)
                    if request is None:
                        return
                    if extra:
                        await stream.send_all(extra)
                        extra = b""
                    answer = await self._answer(request)
                    await stream.send_all(answer)
                    if self._spoil is not None:
                        extra = self._spoil(self, answer, request.request_id)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _answer(self, request: Request) -> bytes:
        request_id = request.request_id
        expected = request.headers.get(b"x-expected-instance", b"").decode()
        if expected != self.endpoint_id:
            return _encode(421, request_id, [], b"")
        self.arrivals.append((self._log.now_s(), request_id))
        if self._inside >= self._room:
            return _encode(503, request_id, [b"X-Not-Executed: 1"], b"")
        self._inside += 1
        try:
            async with self._slots:
                self.runs.append((self._log.now_s(), request_id))
                await trio.sleep(self._work_s())
        finally:
            self._inside -= 1
        stamp = f"{self.endpoint_id}.{next(self._numbers)}.{request_id}"
        body = b"".join(
            hashlib.sha256(f"{stamp}/{i}".encode()).digest()[:RECORD_BYTES]
            for i in range(4)
        )
        self.answers[stamp] = body
        header = b"X-Response-Stamp: " + stamp.encode()
        if self.fails():
            return _encode(500, request_id, [header], body)
        return _encode(200, request_id, [header], body)


def _encode(
    status: int, request_id: str, headers: list[bytes], body: bytes
) -> bytes:
    lines = [
        b"HTTP/1.1 %d Status" % status,
        b"X-Attempt-Id: " + request_id.encode(),
        b"Content-Length: %d" % len(body),
        b"Keep-Alive: timeout=10",
        *headers,
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def _receive(
    stream: trio.SocketStream, buffer: bytes
) -> tuple[Request | None, bytes]:
    while b"\r\n\r\n" not in buffer:
        data = await stream.receive_some(65536)
        if not data:
            return None, b""
        buffer += bytes(data)
    head, _, rest = buffer.partition(b"\r\n\r\n")
    length = int(Request(head, b"").headers.get(b"content-length", b"0"))
    while len(rest) < length:
        data = await stream.receive_some(65536)
        if not data:
            return None, b""
        rest += bytes(data)
    return Request(head, rest[:length]), rest[length:]
