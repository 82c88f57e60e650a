"""Reads the settings file that the platform writes for a process."""

import hashlib
import json
import pathlib

import pydantic

from geraniumstair import edge
from geraniumstair import errors
from geraniumstair import forward
from geraniumstair import peers

READINESS_PATH = "/api/readiness"
# Bytes between availability zones are charged for, so an endpoint of the own
# one is preferred while it is not much busier.
REMOTE_COST_MS = 60.0


def _model(**kwargs: object) -> pydantic.ConfigDict:
    return pydantic.ConfigDict(
        extra="ignore", frozen=True, populate_by_name=True
    )


class _Listen(pydantic.BaseModel):
    model_config = _model()

    callers: str = pydantic.Field(alias="Front")
    readiness: str = pydantic.Field(alias="Ready")
    # The platform calls the listener for other nodes Control.
    peer: str = pydantic.Field(alias="Control")


class _Bounds(pydantic.BaseModel):
    model_config = _model()

    grace_s: float = pydantic.Field(6.0, alias="GraceS")
    retry_budget_ratio: float = pydantic.Field(0.2, alias="RetryBudgetRatio")
    budget_window_s: float = pydantic.Field(10.0, alias="BudgetWindowS")
    budget_slack: float = pydantic.Field(20.0, alias="BudgetSlack")


class _StoreAddress(pydantic.BaseModel):
    model_config = _model()

    address: str = pydantic.Field(alias="Address")


class PlatformSettings(pydantic.BaseModel):
    """The fields of the platform's settings file that are used."""

    model_config = _model()

    node_id: str = pydantic.Field(alias="NodeName", min_length=1)
    availability_zone: str = pydantic.Field(alias="Zone", min_length=1)
    listen: _Listen = pydantic.Field(alias="Listen")
    internal_ports: list[int] = pydantic.Field(
        alias="InternalPorts", min_length=2
    )
    seeds: list[str] = pydantic.Field(default_factory=list, alias="Seeds")
    bounds: _Bounds = pydantic.Field(alias="Bounds")
    store: _StoreAddress = pydantic.Field(alias="platform")


def load_settings(path: str) -> PlatformSettings:
    """Reads and validates the settings file.

    Raises:
        SettingsError: The file cannot be read or is not valid.
    """
    try:
        fields = json.loads(pathlib.Path(path).read_bytes())
        return PlatformSettings.model_validate(fields)
    except OSError as error:
        raise errors.SettingsError(f"cannot read {path}: {error}") from error
    except ValueError as error:
        raise errors.SettingsError(f"{path} is not valid: {error}") from error


def parse_address(text: str) -> peers.PeerAddress:
    """Splits an address and a port.

    Raises:
        ValueError: There is no port, or it is not a number.
    """
    address, separator, port = text.rpartition(":")
    if not separator or not address:
        raise ValueError(f"{text!r} has no port")
    number = int(port)
    if not 0 < number < 65536:
        raise ValueError(f"{text!r} has no valid port")
    return peers.PeerAddress(address, number)


def edge_settings(settings: PlatformSettings) -> edge.EdgeSettings:
    """Returns the product's settings.

    Raises:
        SettingsError: An address is not valid.
    """
    bounds = settings.bounds
    try:
        peer_listener = parse_address(settings.listen.peer)
        return edge.EdgeSettings(
            node_id=settings.node_id,
            availability_zone=settings.availability_zone,
            callers=parse_address(settings.listen.callers),
            readiness=parse_address(settings.listen.readiness),
            readiness_path=READINESS_PATH,
            metrics=peers.PeerAddress(
                peer_listener.address, settings.internal_ports[1]
            ),
            peer_listener=peer_listener,
            seeds=[parse_address(seed) for seed in settings.seeds],
            cluster_key=_cluster_key(settings),
            grace_s=bounds.grace_s,
            budget=forward.BudgetLimits(
                ratio=bounds.retry_budget_ratio,
                window_s=bounds.budget_window_s,
                slack=bounds.budget_slack,
            ),
            remote_cost_ms=REMOTE_COST_MS,
        )
    except ValueError as error:
        raise errors.SettingsError(str(error)) from error


def _cluster_key(settings: PlatformSettings) -> str:
    """Returns a key that all nodes of a site derive alike.

    It keeps nodes of different sites apart. It is no secret, because the
    platform hands none to its processes.
    """
    return hashlib.sha256(settings.store.address.encode()).hexdigest()
