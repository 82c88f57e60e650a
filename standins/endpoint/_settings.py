"""Settings of endpoint stand-ins."""

import pathlib
from typing import Literal

import msgspec


class VersionFault(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A fault of the version that an endpoint runs.

    Attributes:
        kind: `fail` responds with status 500 after the service time, `slow`
            has a longer service time.
        share_pct: Share of requests that are affected.
        factor: Service time multiplier of `slow`.
        after_s: Time from the first request after a start of the process
            until the fault begins.
        least_in_flight: Minimum number of requests in flight for the fault
            to occur.
        route: Affected route; empty for all of them.
    """

    kind: Literal["fail", "slow"]
    share_pct: float = 100.0
    factor: float = 5.0
    after_s: float = 0.0
    least_in_flight: int = 0
    route: str = ""


class EndpointSettings(
    msgspec.Struct, forbid_unknown_fields=True, kw_only=True
):
    """Settings of one endpoint.

    Attributes:
        name: Name in the document and in control commands.
        shard: Qualified shard, `subsidiary/service/shard`; seeds the hits.
        address: IP address of the listener.
        port: TCP port; 0 selects a free one.
        version: Version under which the endpoint counts requests.
        slots: Requests served at the same time.
        queue_limit: Requests that may wait for a slot; more are shed.
        queue_wait_ms: Maximum wait for a slot before a request is shed.
        connections: Maximum number of open connections; more are closed at
            once.
        connection_cost_ms: Delay before the first read from a new connection.
        mean_service_ms: Mean service time.
        gamma_shape: Shape of the service time's gamma distribution.
        straggler_pct: Share of stragglers: requests with a long service time.
        straggler_factor: Service time multiplier of stragglers.
        cold: Whether the endpoint starts cold.
        cold_bearing: Initial capacity of a cold endpoint: number of requests
            in flight that it can handle.
        cold_slowdown: Service time multiplier while cold.
        completions_per_bearing: Number of completed requests after which the
            capacity of a cold endpoint grows by one.
        collapse_ms: Duration of a collapse, which an overload causes while the
            endpoint is cold.
        collapse_slowdown: Service time multiplier during a collapse.
        snapshots: Snapshots that can be served.
        coverage_pct: Share of its shard that the endpoint covers.
        health_lag_ms: Delay after which `GET /status` reports a change.
        crossed_pct: Share of replies with the id of the previous request.
        crossed_snapshot_pct: Share of replies with a wrong snapshot.
        late_pct: Share of replies that are delayed by `late_ms`, regardless
            of deadlines and cancellation.
        late_ms: Delay of late replies.
        faults: Faults of the version.
        seed: Seed of the random numbers, combined with the name.
    """

    name: str
    shard: str = "subsidiary/service/shard"
    address: str = "127.0.0.1"
    port: int = 0
    version: str = "v1"
    slots: int = 2
    queue_limit: int = 2
    queue_wait_ms: float = 50.0
    connections: int = 25
    connection_cost_ms: float = 6.0
    mean_service_ms: float = 10.0
    gamma_shape: float = 4.0
    straggler_pct: float = 1.0
    straggler_factor: float = 10.0
    cold: bool = False
    cold_bearing: int = 1
    cold_slowdown: float = 3.0
    completions_per_bearing: int = 20
    collapse_ms: float = 2000.0
    collapse_slowdown: float = 20.0
    snapshots: tuple[int, ...] = (1,)
    coverage_pct: float = 100.0
    health_lag_ms: float = 0.0
    crossed_pct: float = 0.0
    crossed_snapshot_pct: float = 0.0
    late_pct: float = 0.0
    late_ms: float = 200.0
    faults: tuple[VersionFault, ...] = ()
    seed: int = 1


class ProcessSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Settings of one stand-in process.

    Attributes:
        control_address: IP address of the control listener.
        control_port: TCP port of the control listener; 0 selects a free one.
        endpoints: Endpoints of the process, with unique names.
    """

    control_address: str = "127.0.0.1"
    control_port: int = 0
    endpoints: tuple[EndpointSettings, ...]


def load(path: pathlib.Path) -> ProcessSettings:
    """Reads process settings from a YAML or JSON file.

    Raises:
        msgspec.ValidationError: The file does not match the schema.
    """
    return msgspec.yaml.decode(path.read_bytes(), type=ProcessSettings)
