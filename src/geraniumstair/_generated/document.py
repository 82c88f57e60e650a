"""Generated from schema/document.yaml."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import AwareDatetime, BaseModel, ConfigDict, Field


class Region(BaseModel):
    """
    A region of availability zones.
    """

    model_config = ConfigDict(
        extra="forbid",
    )
    name: Annotated[str, Field(pattern="^[a-z0-9][a-z0-9._-]{0,62}$")]
    """
    Lower case letters, digits, dots, dashes and underscores.
    """


class AvailabilityZone(BaseModel):
    """
    An availability zone and whether it takes new work.
    """

    model_config = ConfigDict(
        extra="forbid",
    )
    name: Annotated[str, Field(pattern="^[a-z0-9][a-z0-9._-]{0,62}$")]
    """
    Lower case letters, digits, dots, dashes and underscores.
    """
    region: Annotated[str, Field(pattern="^[a-z0-9][a-z0-9._-]{0,62}$")]
    """
    Lower case letters, digits, dots, dashes and underscores.
    """
    state: Literal["in", "out"] = "in"
    """
    `out`: no new work for its endpoints and nodes.
    """


class ServiceSet(BaseModel):
    """
    Services that one search may name together.
    """

    model_config = ConfigDict(
        extra="forbid",
    )
    name: Annotated[str, Field(pattern="^[a-z0-9][a-z0-9._-]{0,62}$")]
    """
    Lower case letters, digits, dots, dashes and underscores.
    """
    services: Annotated[list[str], Field(max_length=2000, min_length=1)]


class Endpoint(BaseModel):
    """
    One replica of a shard.
    """

    model_config = ConfigDict(
        extra="forbid",
    )
    name: Annotated[str, Field(pattern="^[a-z0-9][a-z0-9._-]{0,62}$")]
    """
    Lower case letters, digits, dots, dashes and underscores.
    """
    address: Annotated[str, Field(pattern="^[0-9a-fA-F.:]{2,45}$")]
    """
    IP number.
    """
    port: Annotated[int, Field(ge=1, le=65535)]
    availability_zone: Annotated[str, Field(pattern="^[a-z0-9][a-z0-9._-]{0,62}$")]
    """
    Lower case letters, digits, dots, dashes and underscores.
    """
    vm: Annotated[str, Field(max_length=63)] = ""
    """
    Name in the VM list.
    """
    version: Annotated[str, Field(max_length=63)] = "v1"
    """
    Version that rollouts tell apart.
    """
    slots: Annotated[int, Field(ge=1, le=1000)] = 2
    """
    Requests served at the same time.
    """
    connections: Annotated[int, Field(ge=1, le=10000)] = 25
    """
    Connections that the endpoint accepts.
    """


class Rollout(BaseModel):
    """
    A rule that moves a service's traffic to another version.
    """

    model_config = ConfigDict(
        extra="forbid",
    )
    name: Annotated[str, Field(pattern="^[a-z0-9][a-z0-9._-]{0,62}$")]
    """
    Lower case letters, digits, dots, dashes and underscores.
    """
    subsidiary: Annotated[str, Field(pattern="^[a-z0-9][a-z0-9._-]{0,62}$")]
    """
    Lower case letters, digits, dots, dashes and underscores.
    """
    service: Annotated[str, Field(pattern="^[a-z0-9][a-z0-9._-]{0,62}$")]
    """
    Lower case letters, digits, dots, dashes and underscores.
    """
    old_version: Annotated[str, Field(max_length=63, min_length=1)]
    new_version: Annotated[str, Field(max_length=63, min_length=1)]
    start_utc: AwareDatetime
    done_by_utc: AwareDatetime
    steps_pct: Annotated[list[float], Field(max_length=16, min_length=1)] = [
        5,
        25,
        50,
        100,
    ]
    """
    Shares of the new version; the first is at most 5.
    """


class Shard(BaseModel):
    """
    A shard and its replicas.
    """

    model_config = ConfigDict(
        extra="forbid",
    )
    name: Annotated[str, Field(pattern="^[a-z0-9][a-z0-9._-]{0,62}$")]
    """
    Lower case letters, digits, dots, dashes and underscores.
    """
    endpoints: Annotated[list[Endpoint], Field(max_length=64, min_length=1)]


class Service(BaseModel):
    """
    A searchable service, its policy and its shards.
    """

    model_config = ConfigDict(
        extra="forbid",
    )
    name: Annotated[str, Field(pattern="^[a-z0-9][a-z0-9._-]{0,62}$")]
    """
    Lower case letters, digits, dots, dashes and underscores.
    """
    preference: Literal["latency", "coverage", "early"] = "latency"
    """
    `latency` answers at the soft deadline, `early` at the least coverage, `coverage` waits until the deadline.
    """
    default_deadline_ms: Annotated[float, Field(ge=1.0, le=60000.0)] = 1000
    """
    Time of a search that names no deadline.
    """
    soft_deadline_ms: Annotated[float, Field(ge=1.0, le=60000.0)] = 300
    """
    With preference latency: answer then if the least coverage is met.
    """
    least_coverage_pct: Annotated[float, Field(ge=0.0, le=100.0)] = 0
    """
    Below it a search is answered with COVERAGE_TOO_LOW.
    """
    priority: Annotated[int, Field(ge=0, le=9)] = 5
    """
    Order in the queue of a shard; 0 is served first.
    """
    queue_limit: Annotated[int, Field(ge=1, le=100000)] = 256
    """
    Waiting requests per shard.
    """
    hedge_budget_pct: Annotated[float, Field(ge=0.0, le=50.0)] = 5
    """
    Hedges as a share of the requests.
    """
    retry_budget_pct: Annotated[float, Field(ge=0.0, le=100.0)] = 10
    """
    Retries as a share of the requests.
    """
    shards: Annotated[list[Shard], Field(max_length=5000, min_length=1)]


class Subsidiary(BaseModel):
    """
    A customer with services of its own.
    """

    model_config = ConfigDict(
        extra="forbid",
    )
    name: Annotated[str, Field(pattern="^[a-z0-9][a-z0-9._-]{0,62}$")]
    """
    Lower case letters, digits, dots, dashes and underscores.
    """
    services: Annotated[list[Service], Field(max_length=2000)]
    service_sets: Annotated[
        list[ServiceSet], Field(max_length=256, validate_default=True)
    ] = []


class Document(BaseModel):
    """
    The operators' configuration document, accepted whole or refused.
    """

    model_config = ConfigDict(
        extra="forbid",
    )
    format: Literal[1]
    """
    Version of the document format.
    """
    regions: Annotated[list[Region], Field(max_length=16, min_length=1)]
    availability_zones: Annotated[
        list[AvailabilityZone], Field(max_length=64, min_length=1)
    ]
    subsidiaries: Annotated[list[Subsidiary], Field(max_length=64)]
    rollouts: Annotated[
        list[Rollout], Field(max_length=256, validate_default=True)
    ] = []
