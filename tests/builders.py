"""Builders of test data shared by several packages' tests."""

from geraniumstair import configuration
from geraniumstair._generated import document as document_models


def build_endpoint(
    name: str,
    *,
    availability_zone: str = "az-a",
    port: int = 9001,
    version: str = "v1",
    slots: int = 2,
) -> document_models.Endpoint:
    """Returns an endpoint of a document, with a loopback address."""
    return document_models.Endpoint(
        name=name,
        address="127.0.0.1",
        port=port,
        availability_zone=availability_zone,
        version=version,
        slots=slots,
    )


def build_document(
    *, service_count: int = 2, shard_count: int = 1, replica_count: int = 2
) -> document_models.Document:
    """Returns a valid document of one subsidiary with one service set.

    Args:
        service_count: Number of services, named `s0`, `s1`, …
        shard_count: Shards of each service, named `p0`, `p1`, …
        replica_count: Endpoints of each shard, assigned to `az-a`, `az-b` and
            `az-c` in turn.

    Returns:
        The document. Each endpoint has its own port, counted from 20000.
    """
    port = 20000
    services = []
    for service_index in range(service_count):
        shards = []
        for shard_index in range(shard_count):
            endpoints = []
            for replica_index in range(replica_count):
                endpoints.append(
                    build_endpoint(
                        f"s{service_index}-p{shard_index}-e{replica_index}",
                        availability_zone=f"az-{'abc'[replica_index % 3]}",
                        port=port,
                    )
                )
                port += 1
            shards.append(
                document_models.Shard(
                    name=f"p{shard_index}", endpoints=endpoints
                )
            )
        services.append(
            document_models.Service(name=f"s{service_index}", shards=shards)
        )
    subsidiary = document_models.Subsidiary(
        name="acme",
        services=services,
        service_sets=[
            document_models.ServiceSet(
                name="all", services=[s.name for s in services]
            )
        ],
    )
    return document_models.Document(
        format=1,
        regions=[document_models.Region(name="r1")],
        availability_zones=[
            document_models.AvailabilityZone(name=f"az-{letter}", region="r1")
            for letter in "abc"
        ],
        subsidiaries=[subsidiary],
    )


def build_topology(
    *,
    service_count: int = 2,
    shard_count: int = 1,
    replica_count: int = 2,
    revision: int = 1,
) -> configuration.Topology:
    """Returns the topology of `build_document`."""
    document = build_document(
        service_count=service_count,
        shard_count=shard_count,
        replica_count=replica_count,
    )
    return configuration.build_topology(document, revision)
