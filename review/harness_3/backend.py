"""Stand-in of a backend that registers itself in the store."""

import asyncio
from collections.abc import Callable
import dataclasses
import time

from review.harness_3 import http
from review.harness_3 import store as store_lib

HEARTBEAT_S = 1.2
_IDLE_S = 30.0
RECORD_BYTES = 16


@dataclasses.dataclass(slots=True)
class Arrival:
    """One request that reached a backend.

    Attributes:
        at_s: When it arrived, on the monotonic clock.
        attempt: Id of the client's attempt.
        backend: Id of the backend.
        ran: The backend began to work on it.
        status: Status of the answer; 0 without one.
    """

    at_s: float
    attempt: str
    backend: str
    ran: bool = False
    status: int = 0


@dataclasses.dataclass(slots=True)
class Answer:
    """How a backend treats one request.

    Attributes:
        work_s: How long it works.
        status: Status of the answer.
        hangs: It never answers.
    """

    work_s: float
    status: int = 200
    hangs: bool = False


Behaviour = Callable[["Backend", str], Answer]


class Backend:
    """Serves requests within its slots, queue and connections.

    Args:
        store: The platform's store.
        backend_id: Id.
        service: Service.
        zone: Zone.
        behave: Decides how a request is treated, by its attempt.
        version: Version of the software.
        slots: Requests that run at once.
        queue: Requests that may wait.
        max_connections: Connections beyond these are reset.
        port: TCP port; 0 for a free one.

    Attributes:
        arrivals: All requests, but for 421.
        born_ms: Time of the start in ms since 1970.
        cold_until_s: When it is warm, on the monotonic clock.
        state: `ready` or `draining`.
    """

    def __init__(
        self,
        store: store_lib.Store,
        backend_id: str,
        service: str,
        zone: str,
        behave: Behaviour,
        *,
        version: str = "v1",
        slots: int = 2,
        queue: int = 12,
        max_connections: int = 26,
    ) -> None:
        self.backend_id = backend_id
        self.service = service
        self.zone = zone
        self.version = version
        self.arrivals: list[Arrival] = []
        self.born_ms = int(time.time() * 1000)
        self.cold_until_s = 0.0
        self.state = "ready"
        self._store = store
        self._behave = behave
        self._slots = slots
        self._queue = queue
        self._max_connections = max_connections
        self._free = asyncio.Semaphore(slots)
        self._held = 0
        self._connections: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task[None] | None = None
        self._sequence = 0
        self._port = 0

    async def start(self) -> None:
        """Opens the listener and registers."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, backlog=256
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.register()
        self._beat = asyncio.get_running_loop().create_task(self._beat_loop())

    def register(self, state: str = "ready") -> float:
        """Writes its entry; returns the time of the confirmation."""
        self.state = state
        self._sequence += 1
        left_ms = max(0.0, self.cold_until_s - time.monotonic()) * 1000
        return self._store.put(
            f"servers/{self.backend_id}",
            {
                "Service": self.service,
                "Address": f"127.0.0.1:{self._port}",
                "Zone": self.zone,
                "Version": self.version,
                "Slots": self._slots,
                "State": state,
                "WarmupLeftMs": int(left_ms),
                "Seq": self._sequence,
                "born": self.born_ms,
            },
        )

    async def _beat_loop(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register(self.state)

    def pause_beats(self) -> None:
        """Writes no more to the store; serves on."""
        if self._beat is not None:
            self._beat.cancel()

    def stop(self, *, deregister: bool = True) -> None:
        """Ends: closes the listener and all connections."""
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()
        if deregister:
            self._store.remove(f"servers/{self.backend_id}")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._connections) >= self._max_connections:
            writer.transport.abort()
            return
        self._connections.add(writer)
        try:
            while (request := await http.read(reader)) is not None:
                if not await self._handle(request, reader, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _handle(
        self,
        request: http.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serves one request; False if the connection has ended."""
        attempt = request.headers.get("x-attempt-id", "")
        expected = request.headers.get("x-expected-instance", self.backend_id)
        if expected != self.backend_id:
            headers = {"x-instance-id": self.backend_id}
            writer.write(http.encode("HTTP/1.1 421 Misdirected", headers))
            return True
        arrival = Arrival(time.monotonic(), attempt, self.backend_id)
        self.arrivals.append(arrival)
        work = asyncio.create_task(self._work(request, arrival))
        # A backend drops a request when its connection closes.
        closed = asyncio.create_task(_wait_closed(reader))
        await asyncio.wait([work, closed], return_when=asyncio.FIRST_COMPLETED)
        closed.cancel()
        if not work.done():
            work.cancel()
            return False
        writer.write(work.result())
        await writer.drain()
        return True

    async def _work(self, request: http.Message, arrival: Arrival) -> bytes:
        echo = {"x-attempt-id": arrival.attempt}
        if self._held >= self._slots + self._queue:
            arrival.status = 503
            headers = echo | {"x-not-executed": "1"}
            return http.encode("HTTP/1.1 503 Full", headers)
        limit_s = float(request.headers.get("x-time-remaining", 30_000)) / 1000
        ends_s = arrival.at_s + limit_s
        self._held += 1
        try:
            try:
                await asyncio.wait_for(self._free.acquire(), limit_s)
            except TimeoutError:
                arrival.status = 503
                headers = echo | {"x-not-executed": "1"}
                return http.encode("HTTP/1.1 503 Late", headers)
            try:
                arrival.ran = True
                answer = self._behave(self, arrival.attempt)
                left_s = ends_s - time.monotonic()
                if answer.hangs:
                    await asyncio.sleep(3600)
                status = answer.status
                if answer.work_s > left_s:
                    status = 504
                await asyncio.sleep(max(0.0, min(answer.work_s, left_s)))
            finally:
                self._free.release()
        finally:
            self._held -= 1
        arrival.status = status
        stamp = f"{self.backend_id}.{arrival.attempt}.{len(self.arrivals)}"
        headers = echo | {
            "x-response-stamp": stamp,
            "keep-alive": f"timeout={int(_IDLE_S)}",
        }
        body = stamp.encode().ljust(3 * RECORD_BYTES, b".")[: 3 * RECORD_BYTES]
        return http.encode(f"HTTP/1.1 {status} X", headers, body)


async def _wait_closed(reader: asyncio.StreamReader) -> None:
    """Returns when the connection closes; nothing is read meanwhile."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)
