"""Decodes and encodes entries of the platform's store."""

import hashlib
import logging
from typing import TypeVar

import msgspec

from geraniumstair import accounts
from geraniumstair import canary
from geraniumstair import discovery
from geraniumstair import gateway
from geraniumstair import mirror
from geraniumstair import routing
from geraniumstair import store
from geraniumstair.platform import _settings

_LOG = logging.getLogger(__name__)
_T = TypeVar("_T")
CONFIG_KEY = "op/config"
_EVACUATION_PREFIX = "op/evacuate/"
_SERVER_PREFIX = "servers/"
_ROLLOUT_PREFIX = "op/rollout/"
_ROLLOUT_STATUS_PREFIX = "status/rollout/"
_ENDPOINT_STATES = {
    "ready": discovery.EndpointState.READY,
    "draining": discovery.EndpointState.DRAINING,
}


_ROLLOUT_STATES = {
    "running": canary.Progress.GOING_ON,
    "completed": canary.Progress.DONE,
    "rolled_back": canary.Progress.TAKEN_BACK,
}
_ROLLOUT_STATE_NAMES = {
    progress: name for name, progress in _ROLLOUT_STATES.items()
}


class _SplitPart(msgspec.Struct):
    service: str = msgspec.field(name="Service")
    weight: float = msgspec.field(name="Weight")


class Route(msgspec.Struct):
    """A route, as an operator writes it."""

    host: str = msgspec.field(name="Host")
    prefix: str = msgspec.field(name="Prefix")
    name: str = msgspec.field(name="Name", default="")
    # `idempotent` or `non_idempotent`; only the former may be repeated.
    route_type: str = msgspec.field(name="RouteType", default="")
    timeout_ms: float = msgspec.field(name="TimeoutMs", default=30_000.0)
    latency_goal_ms: float = msgspec.field(name="LatencyGoalMs", default=1000.0)
    priority: int = msgspec.field(name="Priority", default=1)
    max_attempts: int = msgspec.field(name="MaxAttempts", default=1)
    service: str = msgspec.field(name="Service", default="")
    split: list[_SplitPart] = msgspec.field(
        name="WeightedSplit", default_factory=list
    )
    shards: list[str] = msgspec.field(
        name="FanoutServices", default_factory=list
    )
    top_k: int = msgspec.field(name="TopK", default=0)
    min_coverage: float = msgspec.field(name="MinShardRatio", default=0.0)
    keyless: bool = msgspec.field(name="Keyless", default=False)


class Service(msgspec.Struct):
    """The limits of a service, as an operator writes them."""

    name: str = msgspec.field(name="Name")
    max_connections: int = msgspec.field(name="MaxConns", default=16)
    warmup_s: float = msgspec.field(name="WarmupS", default=0.0)
    warmup_per_s: float = msgspec.field(name="WarmupPerS", default=0.0)


class Tenant(msgspec.Struct):
    """A client account, as an operator writes it."""

    name: str = msgspec.field(name="Name")
    keys: list[str] = msgspec.field(name="ApiKeys", default_factory=list)
    priority: float | None = msgspec.field(name="Priority", default=None)


class Limits(msgspec.Struct):
    """The limits of callers' requests, as an operator writes them."""

    max_body_bytes: int = msgspec.field(
        name="MaxBodyBytes", default=1024 * 1024
    )
    max_header_bytes: int = msgspec.field(
        name="MaxHeaderBytes", default=16 * 1024
    )
    header_timeout_ms: float = msgspec.field(
        name="HeaderTimeoutMs", default=3000.0
    )
    idle_timeout_ms: float = msgspec.field(
        name="IdleTimeoutMs", default=15_000.0
    )


class Config(msgspec.Struct):
    """A version of the configuration, as an operator writes it."""

    version: int = msgspec.field(name="Version")
    routes: list[Route] = msgspec.field(name="Routes")
    services: list[Service] = msgspec.field(
        name="Services", default_factory=list
    )
    limits: Limits = msgspec.field(name="Limits", default_factory=Limits)
    # Decoded only if it differs from that of the last version.
    tenants: msgspec.Raw = msgspec.field(
        name="Tenants", default=msgspec.Raw(b"null")
    )


class _Server(msgspec.Struct):
    service: str = msgspec.field(name="Service")
    address: str = msgspec.field(name="Address")
    availability_zone: str = msgspec.field(name="Zone")
    state: str = msgspec.field(name="State")
    version: str = msgspec.field(name="Version", default="")
    slots: int = msgspec.field(name="Slots", default=1)
    warmup_left_ms: float = msgspec.field(name="WarmupLeftMs", default=0.0)
    started_ms: int = msgspec.field(name="born", default=0)
    sequence: int = msgspec.field(name="Seq", default=0)


class _Rollout(msgspec.Struct):
    version: str = msgspec.field(name="TargetVersion")
    duration_s: float = msgspec.field(name="DurationS")


class _RolloutStatus(msgspec.Struct):
    state: str = msgspec.field(name="State")
    version: str = msgspec.field(name="TargetVersion")


class _Directories:
    """Builds the directory of accounts, once for each change of them.

    100,000 keys take 0.2 s of processor time, during which a node serves
    nothing. Most versions of the configuration change routes only.
    """

    def __init__(self) -> None:
        self._digest = b""
        self._directory: accounts.AccountDirectory | None = None

    def decode(self, encoded: msgspec.Raw) -> accounts.AccountDirectory | None:
        """Returns the directory; None if the configuration has no accounts.

        Raises:
            ValueError: The accounts are not valid.
        """
        digest = hashlib.blake2b(encoded).digest()
        if digest != self._digest:
            text = bytes(encoded)
            self._directory = (
                None
                if text == b"null"
                else _build_directory(decode_json(text, list[Tenant]))
            )
            self._digest = digest
        return self._directory


class PlatformDecoder:
    """Decodes the entries of operators and endpoints."""

    def __init__(self) -> None:
        self._directories = _Directories()

    def decode(self, item: mirror.MirrorItem) -> gateway.StateChange | None:
        """Returns the change that an item makes; None if it makes none."""
        if item.key == CONFIG_KEY:
            return self._decode_config(item)
        if item.key.startswith(_SERVER_PREFIX):
            return self._decode_server(item)
        if item.key.startswith(_EVACUATION_PREFIX):
            zone = item.key.removeprefix(_EVACUATION_PREFIX)
            return gateway.ZoneChanged(zone, item.value is not None)
        if item.key.startswith(_ROLLOUT_PREFIX):
            return _decode_rollout(item)
        if item.key.startswith(_ROLLOUT_STATUS_PREFIX):
            return _decode_rollout_status(item)
        return None

    def _decode_config(
        self, item: mirror.MirrorItem
    ) -> gateway.RoutesChanged | None:
        if item.value is None:
            _LOG.warning(
                "platform: the configuration was removed; the last one stays"
            )
            return None
        try:
            config = decode_json(item.value, Config)
            directory = self._directories.decode(config.tenants)
        except ValueError as error:
            _LOG.error("platform: the configuration is invalid: %s", error)
            return None
        return gateway.RoutesChanged(_build_route_table(config, directory))

    def _decode_server(
        self, item: mirror.MirrorItem
    ) -> gateway.EndpointChanged | gateway.EndpointEntryRemoved:
        endpoint_id = item.key.removeprefix(_SERVER_PREFIX)
        if item.value is None:
            return gateway.EndpointEntryRemoved(endpoint_id)
        try:
            server = decode_json(item.value, _Server)
            entry = _build_endpoint_entry(endpoint_id, server, item.revision)
        except ValueError as error:
            # A warning suffices: other writers may use the same prefix.
            _LOG.warning(
                "platform: the entry of endpoint %s is invalid: %s",
                endpoint_id,
                error,
            )
            return gateway.EndpointEntryRemoved(endpoint_id)
        return gateway.EndpointChanged(entry)


class PlatformEncoder:
    """Encodes the rollout status that operators read."""

    def encode_rollout(
        self, service: str, version: str, progress: canary.Progress
    ) -> store.Put:
        """Returns the write that records the progress of a rollout."""
        status = _RolloutStatus(_ROLLOUT_STATE_NAMES[progress], version)
        return store.Put(
            _ROLLOUT_STATUS_PREFIX + service, msgspec.json.encode(status)
        )


def decode_json(value: bytes, value_type: type[_T]) -> _T:
    """Decodes a value of the store.

    Raises:
        ValueError: The value is not valid.
    """
    try:
        return msgspec.json.decode(value, type=value_type)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from error
    except RecursionError as error:
        raise ValueError("the value is nested too deeply") from error


def _decode_rollout(
    item: mirror.MirrorItem,
) -> gateway.RolloutOrder | gateway.RolloutOrderRemoved | None:
    service = item.key.removeprefix(_ROLLOUT_PREFIX)
    if item.value is None:
        return gateway.RolloutOrderRemoved(service)
    try:
        order = decode_json(item.value, _Rollout)
    except ValueError as error:
        _LOG.error("platform: the rollout of %s is invalid: %s", service, error)
        return None
    return gateway.RolloutOrder(
        service, order.version, order.duration_s, item.revision
    )


def _decode_rollout_status(
    item: mirror.MirrorItem,
) -> gateway.RolloutRecord | gateway.RolloutRecordRemoved | None:
    service = item.key.removeprefix(_ROLLOUT_STATUS_PREFIX)
    if item.value is None:
        return gateway.RolloutRecordRemoved(service)
    try:
        status = decode_json(item.value, _RolloutStatus)
        progress = _ROLLOUT_STATES[status.state]
    except (ValueError, KeyError) as error:
        _LOG.error(
            "platform: the rollout status of %s is invalid: %s", service, error
        )
        return None
    return gateway.RolloutRecord(
        service, status.version, progress, item.revision
    )


def _build_endpoint_entry(
    endpoint_id: str, server: _Server, revision: int
) -> discovery.EndpointEntry:
    state = _ENDPOINT_STATES.get(server.state)
    if state is None:
        raise ValueError(f"unknown state {server.state!r}")
    if not server.service or not endpoint_id:
        raise ValueError("the service or the endpoint id is empty")
    address = _settings.parse_address(server.address)
    return discovery.EndpointEntry(
        endpoint_id=endpoint_id,
        started_ms=server.started_ms,
        service=server.service,
        address=address.address,
        port=address.port,
        availability_zone=server.availability_zone,
        version=server.version,
        slots=max(1, server.slots),
        state=state,
        warmup_left_ms=max(0.0, server.warmup_left_ms),
        sequence=server.sequence,
        revision=revision,
    )


def _build_route_table(
    config: Config, directory: accounts.AccountDirectory | None
) -> routing.RouteTable:
    return routing.RouteTable(
        config.version,
        [_build_route(route, config.version) for route in config.routes],
        {
            s.name: routing.ServiceLimits(
                max_connections=s.max_connections,
                warmup_s=s.warmup_s,
                warmup_per_s=s.warmup_per_s,
            )
            for s in config.services
        },
        _build_caller_limits(config.limits),
        directory,
    )


def _build_caller_limits(limits: Limits) -> routing.CallerLimits:
    """Returns the limits; a value that would end all requests has no effect."""
    defaults = routing.CallerLimits()
    header_timeout_s = limits.header_timeout_ms / 1000
    idle_timeout_s = limits.idle_timeout_ms / 1000
    return routing.CallerLimits(
        max_body_bytes=limits.max_body_bytes,
        max_header_bytes=(
            limits.max_header_bytes
            if limits.max_header_bytes > 0
            else defaults.max_header_bytes
        ),
        header_timeout_s=(
            header_timeout_s
            if header_timeout_s > 0
            else defaults.header_timeout_s
        ),
        idle_timeout_s=(
            idle_timeout_s if idle_timeout_s > 0 else defaults.idle_timeout_s
        ),
    )


def _build_directory(
    tenants: list[Tenant],
) -> accounts.AccountDirectory:
    entries = []
    for tenant in tenants:
        # The name becomes the value of a header, and an empty one means that a
        # request has no account. The other accounts stay usable, so that a
        # fault in one does not keep a revoked key of another in force.
        if not tenant.name or not tenant.name.isprintable():
            _LOG.error("platform: ignored a client account with a bad name")
            continue
        keys = [key.encode() for key in tenant.keys]
        entries.append((accounts.Account(tenant.name, tenant.priority), keys))
    directory = accounts.AccountDirectory(entries)
    if directory.shared_key_accounts:
        _LOG.error(
            "platform: some accounts have a key of an earlier one, which gets "
            "their requests: %s",
            ", ".join(sorted(directory.shared_key_accounts)),
        )
    return directory


def _build_route(route: Route, version: int) -> routing.Route:
    parts = tuple(
        routing.SplitPart(part.service, part.weight) for part in route.split
    )
    if route.service and not parts:
        parts = (routing.SplitPart(route.service, 1.0),)
    return routing.Route(
        name=route.name or f"{route.host}{route.prefix}",
        host=route.host.lower(),
        prefix=route.prefix,
        # Requests of an unknown type may not be repeated.
        idempotent=route.route_type == "idempotent",
        max_attempts=max(1, route.max_attempts),
        timeout_ms=route.timeout_ms,
        latency_goal_ms=route.latency_goal_ms,
        priority=route.priority,
        parts=() if route.shards else parts,
        shards=tuple(dict.fromkeys(route.shards)),
        top_k=route.top_k,
        min_coverage=route.min_coverage,
        keyless=route.keyless,
        version=version,
    )
