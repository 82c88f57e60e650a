"""Stand-in of a backend, as the pages describe a sound one."""

import asyncio
import dataclasses
import itertools
import random

from review.harness_2 import http1
from review.harness_2 import record
from review.harness_2 import store

KEEP_ALIVE_S = 15
_STAMPS = itertools.count(1)


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """What all servers of a service have in common.

    Attributes:
        service: Name of the service.
        slots: Requests that a server processes at once.
        queue: Requests that wait for a slot; further ones are rejected.
        max_connections: Connections that it accepts.
        work_s: Mean time that a request takes.
        body_bytes: Size of a successful answer.
    """

    service: str
    slots: int
    queue: int
    max_connections: int
    work_s: float
    body_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A success that a server gave."""

    attempt: str
    service: str
    body: bytes


class Server:
    """One server.

    Args:
        server_id: Its id.
        kind: What it has in common with the others of its service.
        zone: Its zone.
        platform: Where it registers.
        log: Gets what arrives and what it runs.
        answers: Gets its successes by their stamps.
        version: Version of its software.
        runs: Gets the servers by attempt, in place of lines in the log; for
            cases with very many runs.

    Attributes:
        slowness: Factor of the work.
        fails: Returns whether a request that it runs fails; replaced by cases.
        arrivals: Time and attempt of each request, without rejected ones that
            expected another server.
        failures: Times of its failures.
    """

    def __init__(
        self,
        server_id: str,
        kind: Kind,
        zone: str,
        platform: store.Store,
        log: record.Record,
        answers: dict[str, Answer],
        version: str = "v1",
        runs: dict[str, list[str]] | None = None,
    ) -> None:
        self._runs = runs
        self.server_id = server_id
        self.kind = kind
        self.slowness = 1.0
        self.fails = lambda: False
        self.arrivals: list[tuple[float, str]] = []
        self.failures: list[float] = []
        self._zone = zone
        self._version = version
        self._platform = platform
        self._log = log
        self._answers = answers
        self._rng = random.Random(server_id)
        self._slots = asyncio.Semaphore(kind.slots)
        self._held = 0
        self._sequence = 0
        self._state = "ready"
        self._address = ("127.0.0.1", 0)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Opens the listener and registers the server."""
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", 0, backlog=512
        )
        self._address = self._server.sockets[0].getsockname()[:2]
        self.register("ready")

    def register(self, state: str) -> None:
        """Writes the server's entry."""
        self._state = state
        self._sequence += 1
        self._platform.put(
            f"servers/{self.server_id}",
            {
                "Service": self.kind.service,
                "Address": f"{self._address[0]}:{self._address[1]}",
                "Zone": self._zone,
                "Version": self._version,
                "Slots": self.kind.slots,
                "State": state,
                "WarmupLeftMs": 0,
                "Seq": self._sequence,
                "born": 1_700_000_000_000,
            },
        )

    def stop(self) -> None:
        """Ends the server at once; its entry goes."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._platform.remove(f"servers/{self.server_id}")

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._writers) >= self.kind.max_connections:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            await http1.serve_connection(reader, writer, self._respond)
        finally:
            self._writers.discard(writer)

    async def _respond(self, request: http1.Message) -> bytes | None:
        if request.target == "/health":
            status = 200 if self._state == "ready" else 503
            return http1.encode_response(
                status, {"X-Instance-Id": self.server_id}
            )
        attempt = request.headers.get("x-attempt-id", "")
        headers = {
            "X-Attempt-Id": attempt,
            "Keep-Alive": f"timeout={KEEP_ALIVE_S}",
        }
        if request.headers.get("x-expected-instance") != self.server_id:
            headers["X-Instance-Id"] = self.server_id
            return http1.encode_response(421, headers)
        self.arrivals.append((self._log.now_s, attempt))
        if self._runs is None:
            self._log.add(f"{attempt} arrives at {self.server_id}")
        if self._held >= self.kind.slots + self.kind.queue:
            headers["X-Not-Executed"] = "1"
            return http1.encode_response(503, headers)
        self._held += 1
        try:
            left_s = float(request.headers["x-time-remaining"]) / 1000
            return await self._run(attempt, headers, left_s)
        finally:
            self._held -= 1

    async def _run(
        self, attempt: str, headers: dict[str, str], left_s: float
    ) -> bytes:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + left_s
        try:
            async with asyncio.timeout_at(end_s):
                await self._slots.acquire()
        except TimeoutError:
            headers["X-Not-Executed"] = "1"
            return http1.encode_response(503, headers)
        try:
            self._record_run(attempt)
            work_s = self._rng.lognormvariate(0, 0.4) * self.kind.work_s
            work_s *= self.slowness
            in_time = loop.time() + work_s < end_s
            await asyncio.sleep(min(work_s, max(0.0, end_s - loop.time())))
        finally:
            self._slots.release()
        stamp = f"{self.server_id}.{next(_STAMPS):x}"
        headers["X-Response-Stamp"] = stamp
        if not in_time:
            return http1.encode_response(504, headers)
        if self.fails():
            self.failures.append(self._log.now_s)
            self._log.add(f"{attempt} fails on {self.server_id}")
            return http1.encode_response(500, headers)
        body = self._rng.randbytes(self.kind.body_bytes)
        self._answers[stamp] = Answer(attempt, self.kind.service, body)
        return http1.encode_response(200, headers, body)

    def _record_run(self, attempt: str) -> None:
        if self._runs is None:
            self._log.add(f"{attempt} runs on {self.server_id}")
        else:
            self._runs.setdefault(attempt, []).append(self.server_id)
