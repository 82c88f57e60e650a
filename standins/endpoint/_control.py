"""HTTP interface of the control port.

It changes the state of endpoints and reports their counters.
"""

from collections.abc import Mapping
from typing import Any
from typing import Literal
from typing import Protocol

import msgspec

from standins import lean_http
from standins.endpoint import _counters
from standins.endpoint import _model
from standins.endpoint import _settings


class ControllableServer(Protocol):
    """Interface of an endpoint's server that the control port uses."""

    model: _model.EndpointModel
    port: int

    def kill(self) -> None:
        """Closes the listener and resets all connections."""

    def start(self, *, cold: bool) -> None:
        """Restarts a killed endpoint."""


Action = Literal[
    "configure",
    "turn_cold",
    "drain",
    "undrain",
    "kill",
    "start",
    "freeze",
    "thaw",
    "reset_counters",
]


class Command(msgspec.Struct, forbid_unknown_fields=True):
    """Body of `POST /control`.

    Attributes:
        action: Name of the action.
        endpoints: Names of the endpoints; empty for all of them.
        settings: For `configure`: fields of `EndpointSettings` to change.
        cold: For `start`: whether the endpoint starts cold.
    """

    action: Action
    endpoints: tuple[str, ...] = ()
    settings: dict[str, Any] = {}
    cold: bool = True


class EndpointReport(msgspec.Struct, kw_only=True):
    """State of one endpoint in the reply to `GET /control`.

    Attributes:
        port: TCP port of the listener.
        boot_id: Current boot id.
        bearing: Current capacity: number of requests in flight that the
            endpoint can handle.
        cold: Whether the capacity is less than the number of slots.
        counters: Counters since the last reset.
        executed_ids: Number of executions by request id; only with
            `?executed`.
        executed_queries: Number of executions by query text; only with
            `?executed`.
    """

    port: int
    boot_id: str
    bearing: int
    cold: bool
    counters: _counters.Counters
    executed_ids: dict[str, int] = {}
    executed_queries: dict[str, int] = {}


class ControlReport(msgspec.Struct):
    """Reply to `GET /control`: reports by endpoint name."""

    endpoints: dict[str, EndpointReport]


class Control:
    """Application that serves the control port.

    Args:
        servers: Endpoint servers by name.
    """

    def __init__(self, servers: Mapping[str, ControllableServer]) -> None:
        self._servers = servers

    async def respond(
        self, request: lean_http.HttpRequest
    ) -> lean_http.HttpResponse:
        """Answers `GET /control[?executed]` and `POST /control`."""
        path, _, query = request.target.partition(b"?")
        if path != b"/control":
            return _json_response(404, {"error": "no such path"})
        if request.method == b"GET":
            return _json_response(200, self.report(query == b"executed"))
        try:
            command = msgspec.json.decode(request.body, type=Command)
            self.execute(command)
        except (msgspec.MsgspecError, KeyError) as error:
            return _json_response(400, {"error": str(error)})
        return _json_response(200, {})

    def report(self, executed: bool) -> ControlReport:
        """Returns the reports of all endpoints.

        Args:
            executed: Whether to include executed request ids and queries.
        """
        reports = {}
        for name, server in self._servers.items():
            model = server.model
            reports[name] = EndpointReport(
                port=server.port,
                boot_id=model.boot_id,
                bearing=model.capacity,
                cold=model.cold,
                counters=model.counters,
                executed_ids=model.executed_ids if executed else {},
                executed_queries=model.executed_queries if executed else {},
            )
        return ControlReport(reports)

    def execute(self, command: Command) -> None:
        """Runs a command on the endpoints that it names.

        Raises:
            KeyError: The command names an unknown endpoint.
            msgspec.ValidationError: A setting is unknown or invalid.
        """
        names = command.endpoints or tuple(self._servers)
        for server in [self._servers[name] for name in names]:
            _execute_on_server(server, command)


def _execute_on_server(server: ControllableServer, command: Command) -> None:
    model = server.model
    match command.action:
        case "configure":
            fields = msgspec.to_builtins(model.settings) | command.settings
            model.settings = msgspec.convert(fields, _settings.EndpointSettings)
        case "drain" | "undrain":
            model.draining = command.action == "drain"
        case "start":
            server.start(cold=command.cold)
        case "kill":
            server.kill()
        case _:
            getattr(model, command.action)()


def _json_response(status: int, value: object) -> lean_http.HttpResponse:
    return lean_http.HttpResponse(
        status,
        ((b"content-type", b"application/json"),),
        msgspec.json.encode(value),
    )
