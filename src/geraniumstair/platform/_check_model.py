"""Fills the model of the configuration check from a configuration file."""

import msgspec

from geraniumstair import configuration_check
from geraniumstair.platform import _decoder


def _list_names(struct: type[msgspec.Struct]) -> dict[str, str]:
    return {
        field.name: field.encode_name
        for field in msgspec.structs.fields(struct)
    }


_CONFIGURATION_NAMES = _list_names(_decoder.Config)
_ROUTE_NAMES = _list_names(_decoder.Route)
# Findings name the fields as the operator finds them in the file.
FIELD_NAMES: configuration_check.FieldNames = {
    configuration_check.Section.CONFIGURATION: _CONFIGURATION_NAMES
    | {"accounts": _CONFIGURATION_NAMES["tenants"]},
    configuration_check.Section.ROUTE: _ROUTE_NAMES
    | {"idempotent": _ROUTE_NAMES["route_type"]},
    configuration_check.Section.SERVICE: _list_names(_decoder.Service),
    configuration_check.Section.ACCOUNT: _list_names(_decoder.Tenant),
    configuration_check.Section.LIMITS: _list_names(_decoder.Limits),
}


def decode(value: bytes) -> configuration_check.Configuration:
    """Returns the configuration of a file.

    Raises:
        ValueError: A field is missing or has another type, or the value is not
            JSON. `_decoding_faults` lists the reasons.
    """
    config = _decoder.decode_json(value, _decoder.Config)
    tenants = _decode_tenants(bytes(config.tenants))
    return configuration_check.Configuration(
        version=config.version,
        routes=tuple(_build_route(route) for route in config.routes),
        services=tuple(
            configuration_check.Service(**msgspec.structs.asdict(service))
            for service in config.services
        ),
        limits=configuration_check.Limits(
            **msgspec.structs.asdict(config.limits)
        ),
        accounts=(
            None
            if tenants is None
            else tuple(_build_account(tenant) for tenant in tenants)
        ),
    )


def _decode_tenants(value: bytes) -> list[_decoder.Tenant] | None:
    # As on nodes, null means that callers need no keys.
    if value == b"null":
        return None
    return _decoder.decode_json(value, list[_decoder.Tenant])


def _build_route(route: _decoder.Route) -> configuration_check.Route:
    return configuration_check.Route(
        host=route.host,
        prefix=route.prefix,
        name=route.name,
        idempotent=route.route_type == "idempotent",
        timeout_ms=route.timeout_ms,
        latency_goal_ms=route.latency_goal_ms,
        priority=route.priority,
        max_attempts=route.max_attempts,
        service=route.service,
        split=tuple(
            configuration_check.WeightedService(part.service, part.weight)
            for part in route.split
        ),
        shards=tuple(route.shards),
        top_k=route.top_k,
        min_coverage=route.min_coverage,
        keyless=route.keyless,
    )


def _build_account(tenant: _decoder.Tenant) -> configuration_check.Account:
    # Nodes ignore empty keys.
    return configuration_check.Account(
        tenant.name, tenant.priority, frozenset(filter(None, tenant.keys))
    )
