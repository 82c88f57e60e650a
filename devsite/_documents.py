"""Builds documents and endpoint settings for sites of different sizes."""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
from typing import Any

import msgspec
import yaml

from geraniumstair._generated import document as document_models
from standins import endpoint as endpoint_standin


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceGroup:
    """Services with the same properties.

    Attributes:
        name: Prefix of the names of the services and of the service set.
        services: Number of services.
        shards: Number of shards of each service.
        replicas: Number of endpoints of each shard.
        slots: Number of requests that an endpoint serves at the same time.
        connections: Maximum number of open connections of an endpoint.
        connection_cost_ms: Delay before an endpoint reads from a new
            connection.
        preference: Value of the services' `preference` field, which weighs
            latency against coverage.
    """

    name: str
    services: int = 1
    shards: int = 1
    replicas: int = 2
    slots: int = 2
    connections: int = 25
    connection_cost_ms: float = 6.0
    preference: str = "latency"


@dataclasses.dataclass(frozen=True, slots=True)
class SiteSize:
    """Services and endpoints of one client account in one region.

    Attributes:
        subsidiary: Name of the client account.
        region: Name of the region.
        groups: Groups of services.
        availability_zones: Number of availability zones.
    """

    subsidiary: str
    region: str
    groups: Sequence[ServiceGroup]
    availability_zones: int = 3

    def availability_zone(self, index: int) -> str:
        """Returns the name of an availability zone; the index wraps around."""
        letter = "abcdefgh"[index % self.availability_zones]
        return f"{self.region}-{letter}"

    def endpoint_count(self) -> int:
        """Returns the number of endpoints of all groups."""
        return sum(g.services * g.shards * g.replicas for g in self.groups)


SMALL = SiteSize("acme", "r1", (ServiceGroup("search", services=4),))

ASSOCIATION = SiteSize(
    "association",
    "osrednja",
    (
        ServiceGroup("registration-desk", services=20),
        ServiceGroup("member-portal", services=30),
        ServiceGroup(
            "die-line-library",
            replicas=5,
            slots=4,
            connections=100,
            connection_cost_ms=1.0,
        ),
        ServiceGroup(
            "billing-ledger",
            replicas=3,
            slots=4,
            connections=100,
            connection_cost_ms=1.0,
        ),
    ),
)

COOPERATIVE = SiteSize(
    "cooperative",
    "bas-fleuve",
    (
        ServiceGroup("search-desk", services=20, preference="coverage"),
        ServiceGroup("billing", services=30, preference="coverage"),
        ServiceGroup(
            "plot-care-register",
            replicas=3,
            slots=6,
            connections=50,
            connection_cost_ms=1.0,
            preference="coverage",
        ),
        ServiceGroup(
            "crew-roster",
            replicas=3,
            slots=6,
            connections=50,
            connection_cost_ms=1.0,
            preference="early",
        ),
    ),
)

SIZES = {"small": SMALL, "association": ASSOCIATION, "cooperative": COOPERATIVE}


def _service_name(group: ServiceGroup, index: int) -> str:
    return group.name if group.services == 1 else f"{group.name}-{index}"


def _build_shard(
    size: SiteSize,
    group: ServiceGroup,
    service: str,
    shard_index: int,
    ports: Iterator[int],
) -> document_models.Shard:
    endpoints = [
        document_models.Endpoint(
            name=f"{service}-p{shard_index}-e{replica}",
            address="127.0.0.1",
            port=next(ports),
            availability_zone=size.availability_zone(replica),
            vm=f"vm-{service}-p{shard_index}-e{replica}",
            slots=group.slots,
            connections=group.connections,
        )
        for replica in range(group.replicas)
    ]
    return document_models.Shard(name=f"p{shard_index}", endpoints=endpoints)


def build_document(
    size: SiteSize, ports: Sequence[int]
) -> document_models.Document:
    """Returns the document of a site.

    Args:
        size: Size of the site; each of its groups becomes a service set.
        ports: One port for each endpoint, in document order.
    """
    remaining_ports = iter(ports)
    services = []
    service_sets = []
    for group in size.groups:
        names = [_service_name(group, i) for i in range(group.services)]
        for name in names:
            shards = [
                _build_shard(size, group, name, index, remaining_ports)
                for index in range(group.shards)
            ]
            services.append(
                document_models.Service.model_validate(
                    {
                        "name": name,
                        "shards": shards,
                        "preference": group.preference,
                    }
                )
            )
        set_name = f"{group.name}-set" if names == [group.name] else group.name
        service_sets.append(
            document_models.ServiceSet(name=set_name, services=names)
        )
    availability_zones = [
        document_models.AvailabilityZone(
            name=size.availability_zone(index), region=size.region
        )
        for index in range(size.availability_zones)
    ]
    return document_models.Document(
        format=1,
        regions=[document_models.Region(name=size.region)],
        availability_zones=availability_zones,
        subsidiaries=[
            document_models.Subsidiary(
                name=size.subsidiary,
                services=services,
                service_sets=service_sets,
            )
        ],
    )


def render_document(document: document_models.Document) -> str:
    """Returns the document as YAML text."""
    return yaml.safe_dump(document.model_dump(mode="json"), sort_keys=False)


def build_endpoint_settings(
    size: SiteSize,
    document: document_models.Document,
    *,
    seed: int,
    **overrides: Any,
) -> list[endpoint_standin.EndpointSettings]:
    """Returns stand-in settings for all endpoints of a document.

    Args:
        size: Size from which the document was built.
        document: The document.
        seed: Seed of the stand-ins' random numbers.
        **overrides: Fields of `EndpointSettings` that replace those of all
            endpoints.
    """
    connection_costs_ms = {
        _service_name(group, index): group.connection_cost_ms
        for group in size.groups
        for index in range(group.services)
    }
    settings = []
    for subsidiary in document.subsidiaries:
        for service in subsidiary.services:
            for shard in service.shards:
                for spec in shard.endpoints:
                    fields: dict[str, Any] = {
                        "name": spec.name,
                        "shard": f"{subsidiary.name}/{service.name}"
                        f"/{shard.name}",
                        "address": spec.address,
                        "port": spec.port,
                        "version": spec.version,
                        "slots": spec.slots,
                        "queue_limit": spec.slots,
                        "connections": spec.connections,
                        "connection_cost_ms": connection_costs_ms.get(
                            service.name, 6.0
                        ),
                        "seed": seed,
                    }
                    settings.append(
                        msgspec.convert(
                            fields | overrides,
                            endpoint_standin.EndpointSettings,
                        )
                    )
    return settings
