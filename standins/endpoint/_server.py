"""HTTP servers of the endpoints and of the control port."""

from collections.abc import Mapping
import dataclasses
import socket

import msgspec
import trio

from standins import lean_http
from standins.endpoint import _control
from standins.endpoint import _model
from standins.endpoint import _settings

# A `struct linger` with timeout 0: closing the socket sends a reset.
_LINGER_RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"
_DEFAULT_DEADLINE_MS = 60000.0


class _SearchBody(msgspec.Struct):
    query: str = ""


_SEARCH_BODY_DECODER = msgspec.json.Decoder(_SearchBody)


@dataclasses.dataclass(frozen=True, slots=True)
class _StatusSnapshot:
    """Headers of `GET /status` as they were at a given time."""

    time_s: float
    headers: lean_http.Headers


class EndpointServer:
    """Serves one endpoint model over HTTP.

    Args:
        model: Behaviour of the endpoint.

    Attributes:
        model: Behaviour of the endpoint.
        port: TCP port; once bound, it stays the same across restarts.
    """

    def __init__(self, model: _model.EndpointModel) -> None:
        self.model = model
        self.port = model.settings.port
        self._streams: set[trio.SocketStream] = set()
        self._started = trio.Event()
        self._started.set()
        self._listener_scope: trio.CancelScope | None = None
        self._status_snapshots: list[_StatusSnapshot] = []

    def kill(self) -> None:
        """Closes the listener and resets all connections."""
        self._started = trio.Event()
        if self._listener_scope is not None:
            self._listener_scope.cancel()
        for stream in list(self._streams):
            stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
            )
            stream.socket.close()

    def start(self, *, cold: bool) -> None:
        """Restarts a killed endpoint with a new boot id."""
        if self._started.is_set():
            return
        self.model.restart(cold=cold)
        self._started.set()

    async def run(
        self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled, except between `kill` and `start`.

        Args:
            task_status: Reports the bound port.
        """
        port_reported = False
        while True:
            await self._started.wait()
            listeners = await trio.open_tcp_listeners(
                self.port, host=self.model.settings.address, backlog=256
            )
            self.port = listeners[0].socket.getsockname()[1]
            if not port_reported:
                port_reported = True
                task_status.started(self.port)
            with trio.CancelScope() as self._listener_scope:
                await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        model = self.model
        model.counters.connections_opened += 1
        if model.counters.connections >= model.settings.connections:
            model.counters.connections_refused += 1
            await stream.aclose()
            return
        model.counters.connections += 1
        self._streams.add(stream)
        try:
            await trio.sleep(model.settings.connection_cost_ms / 1000)
            await lean_http.serve_connection(stream, self._respond)
        finally:
            model.counters.connections -= 1
            self._streams.discard(stream)
            await trio.aclose_forcefully(stream)

    async def _respond(
        self, request: lean_http.HttpRequest
    ) -> lean_http.HttpResponse:
        await self.model.wait_thawed()
        path = request.target.decode("ascii", "replace").split("/")
        if request.method == b"POST" and path[1:2] == ["search"]:
            return await self._handle_search(request, "/".join(path[2:]))
        if request.method == b"POST" and path[1:2] == ["cancel"]:
            found = self.model.cancel("/".join(path[2:]))
            return lean_http.HttpResponse(200 if found else 404, (), b"{}")
        if request.method == b"GET" and path[1:2] == ["status"]:
            return lean_http.HttpResponse(
                200, self._lagged_status_headers(), b"{}"
            )
        return lean_http.HttpResponse(404, (), b"{}")

    async def _handle_search(
        self, request: lean_http.HttpRequest, route: str
    ) -> lean_http.HttpResponse:
        headers = request.headers
        try:
            search = _model.Request(
                request_id=headers[b"x-request-id"].decode("ascii"),
                route=route,
                snapshot=int(headers[b"x-snapshot"]),
                deadline_ms=float(
                    headers.get(b"x-deadline-ms", _DEFAULT_DEADLINE_MS)
                ),
                query=_SEARCH_BODY_DECODER.decode(request.body).query,
            )
        except (KeyError, ValueError, msgspec.MsgspecError):
            return lean_http.HttpResponse(400, ((b"x-not-run", b"1"),), b"{}")
        reply = await self.model.serve(search)
        reply_headers = [
            (b"x-request-id", reply.request_id.encode()),
            (b"x-snapshot", b"%d" % reply.snapshot),
            (b"x-coverage-pct", f"{reply.coverage_pct:g}".encode()),
            *self._state_headers(),
        ]
        if reply.not_run:
            reply_headers.append((b"x-not-run", b"1"))
        return lean_http.HttpResponse(reply.status, reply_headers, reply.body)

    def _state_headers(self) -> list[tuple[bytes, bytes]]:
        model = self.model
        snapshots = ",".join(map(str, model.settings.snapshots))
        headers = [
            (b"x-snapshots", snapshots.encode()),
            (b"x-boot-id", model.boot_id.encode()),
        ]
        if model.draining:
            headers.append((b"x-draining", b"1"))
        return headers

    def _status_headers(self) -> lean_http.Headers:
        settings = self.model.settings
        newest = max(settings.snapshots, default=0)
        return [
            (b"x-request-id", b""),
            (b"x-snapshot", b"%d" % newest),
            (b"x-coverage-pct", f"{settings.coverage_pct:g}".encode()),
            (b"x-in-flight", b"%d" % self.model.counters.in_flight),
            *self._state_headers(),
        ]

    def record_status(self) -> None:
        """Records the current state for later replies to `GET /status`."""
        now_s = trio.current_time()
        self._status_snapshots.append(
            _StatusSnapshot(now_s, self._status_headers())
        )
        reported_s = now_s - self.model.settings.health_lag_ms / 1000
        while (
            len(self._status_snapshots) > 1
            and self._status_snapshots[1].time_s <= reported_s
        ):
            del self._status_snapshots[0]

    def _lagged_status_headers(self) -> lean_http.Headers:
        if self.model.settings.health_lag_ms <= 0:
            return self._status_headers()
        self.record_status()
        return self._status_snapshots[0].headers


@dataclasses.dataclass(frozen=True)
class BoundPorts:
    """Ports of a stand-in process: the control port, and ports by endpoint."""

    control: int
    endpoints: Mapping[str, int]


async def _record_statuses(servers: Mapping[str, EndpointServer]) -> None:
    while True:
        for server in servers.values():
            if server.model.settings.health_lag_ms > 0:
                server.record_status()
        await trio.sleep(0.1)


async def serve(
    settings: _settings.ProcessSettings,
    *,
    task_status: trio.TaskStatus[BoundPorts] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Runs the endpoints and their control port until cancelled.

    Args:
        settings: Endpoints and control listener.
        task_status: Reports the bound ports.
    """
    servers = {
        endpoint.name: EndpointServer(_model.EndpointModel(endpoint))
        for endpoint in settings.endpoints
    }
    control = _control.Control(servers)
    async with trio.open_nursery() as nursery:
        ports = {}
        for name, server in servers.items():
            ports[name] = await nursery.start(server.run)
        listeners = await trio.open_tcp_listeners(
            settings.control_port, host=settings.control_address
        )

        async def serve_control(stream: trio.SocketStream) -> None:
            async with stream:
                await lean_http.serve_connection(stream, control.respond)

        nursery.start_soon(trio.serve_listeners, serve_control, listeners)
        nursery.start_soon(_record_statuses, servers)
        control_port = listeners[0].socket.getsockname()[1]
        task_status.started(BoundPorts(control_port, ports))
