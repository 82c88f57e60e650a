"""Reads the settings file that the platform writes for a node."""

import hashlib
import ipaddress
import math
import pathlib
from typing import Annotated

import msgspec

from geraniumstair import accounts
from geraniumstair import errors
from geraniumstair import forward
from geraniumstair import gateway
from geraniumstair import peers
from geraniumstair.platform import _usage_api

READINESS_PATH = "/api/readiness"
# Traffic between availability zones is charged for, so a node prefers endpoints
# in its own zone while these are not much busier.
REMOTE_COST_MS = 60.0
_USAGE_DUTY = "usage_report"
# An act of the holder takes up to 1.2 s of its lease, so a lease of one second
# would leave no time to act.
_MIN_LEASE_S = 2
_MIB = 1024 * 1024

# msgspec is used in place of pydantic, whose import alone delays the start of
# a node by a tenth of a second.
_Name = Annotated[str, msgspec.Meta(min_length=1)]
_Positive = Annotated[float, msgspec.Meta(gt=0)]
_Ports = Annotated[list[int], msgspec.Meta(min_length=2)]


class _Listen(msgspec.Struct, frozen=True):
    callers: str = msgspec.field(name="Front")
    readiness: str = msgspec.field(name="Ready")
    # The platform calls the listener for other nodes Control.
    peer: str = msgspec.field(name="Control")


class _Bounds(msgspec.Struct, frozen=True):
    grace_s: float = msgspec.field(name="GraceS", default=6.0)
    drain_ms: float = msgspec.field(name="DrainMs", default=3000.0)
    retry_budget_ratio: float = msgspec.field(
        name="RetryBudgetRatio", default=0.2
    )
    budget_window_s: float = msgspec.field(name="BudgetWindowS", default=10.0)
    budget_slack: float = msgspec.field(name="BudgetSlack", default=20.0)
    exposure_share: float = msgspec.field(name="ExposureShare", default=0.1)
    strict_revoke: bool = msgspec.field(name="StrictRevoke", default=False)
    revoke_ms: float = msgspec.field(name="RevokeMs", default=5000.0)
    lease_ms: _Positive = msgspec.field(name="LeaseMs", default=3000.0)
    report_window_s: _Positive = msgspec.field(
        name="ReportWindowS", default=5.0
    )
    usage_delay_s: _Positive = msgspec.field(name="UsageDelayS", default=10.0)


class _Limits(msgspec.Struct, frozen=True):
    # Usable share of each core, and the speed as a multiple of one core.
    core_share: float = msgspec.field(name="CpuShare", default=1.0)
    cores: float = msgspec.field(name="Cores", default=1.0)
    memory_mb: float = msgspec.field(name="MemoryMb", default=512.0)
    max_descriptors: int = msgspec.field(name="MaxFds", default=4096)


class _StoreAddress(msgspec.Struct, frozen=True):
    address: str = msgspec.field(name="Address")
    min_ttl_ms: float = msgspec.field(name="MinTtlMs", default=0.0)


class _DutyApi(msgspec.Struct, frozen=True):
    address: str = msgspec.field(name="Address")
    duties: list[str] = msgspec.field(name="Duties", default_factory=list)


class PlatformSettings(msgspec.Struct, frozen=True):
    """The used fields of the platform's settings file."""

    node_id: _Name = msgspec.field(name="NodeName")
    availability_zone: _Name = msgspec.field(name="Zone")
    listen: _Listen = msgspec.field(name="Listen")
    internal_ports: _Ports = msgspec.field(name="InternalPorts")
    bounds: _Bounds = msgspec.field(name="Bounds")
    store: _StoreAddress = msgspec.field(name="platform")
    limits: _Limits = msgspec.field(name="Limits", default_factory=_Limits)
    seeds: list[str] = msgspec.field(name="Seeds", default_factory=list)
    duty_api: _DutyApi | None = msgspec.field(name="CloudApi", default=None)

    @property
    def usage_api_address(self) -> str | None:
        """Address of the API for usage reports; None if none are wanted."""
        api = self.duty_api
        if api is None or _USAGE_DUTY not in api.duties:
            return None
        return api.address


def load_settings(path: str) -> PlatformSettings:
    """Reads and validates the settings file.

    Raises:
        SettingsError: The file cannot be read or is not valid.
    """
    try:
        return msgspec.json.decode(
            pathlib.Path(path).read_bytes(), type=PlatformSettings
        )
    except OSError as error:
        raise errors.SettingsError(f"cannot read {path}: {error}") from error
    except msgspec.MsgspecError as error:
        raise errors.SettingsError(f"{path} is not valid: {error}") from error


def parse_address(text: str) -> peers.PeerAddress:
    """Parses an IP address and a port.

    Raises:
        ValueError: The address or the port is missing or not valid.
    """
    address, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError(f"{text!r} has no port")
    ipaddress.ip_address(address)
    # `int` also takes signs, spaces, underscores and digits of other scripts.
    if not (port.isascii() and port.isdigit()):
        raise ValueError(f"{text!r} has no decimal port")
    number = int(port)
    if not 0 < number < 65536:
        raise ValueError(f"{text!r} has no valid port")
    return peers.PeerAddress(address, number)


def build_gateway_settings(
    settings: PlatformSettings,
) -> gateway.GatewaySettings:
    """Converts the platform's settings to those of a node.

    Raises:
        SettingsError: An address is not valid.
    """
    bounds = settings.bounds
    try:
        peer_listener = parse_address(settings.listen.peer)
        return gateway.GatewaySettings(
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
            cluster_key=_derive_cluster_key(settings),
            grace_s=bounds.grace_s,
            drain_s=bounds.drain_ms / 1000,
            budget=forward.BudgetLimits(
                ratio=bounds.retry_budget_ratio,
                window_s=bounds.budget_window_s,
                extra_repeats=bounds.budget_slack,
            ),
            remote_cost_ms=REMOTE_COST_MS,
            processor_cores=settings.limits.core_share * settings.limits.cores,
            exposure_share=bounds.exposure_share,
            revocation=accounts.RevocationLimits(
                bounds.strict_revoke, bounds.revoke_ms / 1000
            ),
            usage=_build_usage_settings(settings),
            memory_bytes=int(settings.limits.memory_mb * _MIB),
            max_descriptors=settings.limits.max_descriptors,
        )
    except ValueError as error:
        raise errors.SettingsError(str(error)) from error


def _build_usage_settings(
    settings: PlatformSettings,
) -> gateway.UsageSettings | None:
    if settings.usage_api_address is None:
        return None
    parse_address(settings.usage_api_address)
    bounds = settings.bounds
    # The store takes whole seconds; a longer lease is safe.
    ttl_ms = max(bounds.lease_ms, settings.store.min_ttl_ms)
    return gateway.UsageSettings(
        window_s=bounds.report_window_s,
        delay_s=bounds.usage_delay_s,
        # A call that is held up must not arrive after a successor's first.
        quiet_s=max(bounds.lease_ms / 1000, _usage_api.CALL_TIMEOUT_S),
        ttl_s=max(_MIN_LEASE_S, math.ceil(ttl_ms / 1000)),
    )


def _derive_cluster_key(settings: PlatformSettings) -> str:
    """Derives the key that all nodes of a site share.

    It prevents connections between nodes of different sites. It is not secret,
    because the platform gives its processes no secrets.
    """
    return hashlib.sha256(settings.store.address.encode()).hexdigest()
