"""Generated from schema/settings.yaml."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field


class Listener(BaseModel):
    """
    An IP number and TCP port.
    """

    model_config = ConfigDict(
        extra="forbid",
    )
    address: Annotated[str, Field(pattern="^[0-9a-fA-F.:]{2,45}$")]
    port: Annotated[int, Field(ge=0, le=65535)]


class Store(BaseModel):
    """
    The platform's key-value service.
    """

    model_config = ConfigDict(
        extra="forbid",
    )
    urls: Annotated[list[str], Field(max_length=16, min_length=1)]
    timeout_ms: Annotated[float, Field(ge=10.0, le=60000.0)] = 1000
    """
    Limit of one call.
    """
    prefix: Annotated[str, Field(max_length=128)] = "geraniumstair/"
    """
    Start of all keys; the same at all nodes of a site.
    """


class Settings(BaseModel):
    """
    Settings of one node, read at start.
    """

    model_config = ConfigDict(
        extra="forbid",
    )
    node_id: Annotated[str, Field(pattern="^[a-z0-9][a-z0-9._-]{0,62}$")]
    """
    Name of the node; no two nodes of a site share one.
    """
    region: Annotated[str, Field(max_length=63, min_length=1)]
    """
    Region of the node as named in the document.
    """
    availability_zone: Annotated[str, Field(max_length=63, min_length=1)]
    """
    Availability zone of the node as named in the document.
    """
    peer_listener: Listener
    caller_listener: Listener
    operator_listener: Listener
    cluster_key: Annotated[str, Field(max_length=256, min_length=16)]
    """
    Shared secret of the nodes of one site.
    """
    operator_token: Annotated[str, Field(max_length=256, min_length=16)]
    """
    Credential of operators' calls.
    """
    store: Store
    vm_list_url: Annotated[str, Field(max_length=512)] = ""
    """
    Empty if there is no VM list.
    """
    seeds: Annotated[list[Listener], Field(max_length=1000, validate_default=True)] = []
    """
    Peer listeners that a new node contacts first.
    """
    shard_routing: Literal["owner", "local"] = "owner"
    """
    `local` makes every node dispatch alone; for comparison only.
    """
    drain_grace_ms: Annotated[float, Field(ge=0.0, le=600000.0)] = 3000
    """
    Time between becoming not ready and closing the caller listener.
    """
    max_request_body_bytes: Annotated[int, Field(ge=1024, le=67108864)] = 1048576
    """
    Longest body of a search.
    """
    request_body_timeout_ms: Annotated[float, Field(ge=10.0, le=60000.0)] = 5000
    """
    Time for the body of a search to arrive.
    """
    max_concurrent_searches: Annotated[int, Field(ge=1, le=1000000)] = 512
    """
    Searches at the same time; more are refused as OVERLOADED.
    """
    log_format: Literal["human", "json"] = "human"
    """
    Lines for people or one JSON object a line.
    """
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    """
    Least level that is logged.
    """
