"""Immutable, indexed form of one accepted document."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import datetime
import hashlib
import types
from typing import Literal
from typing import NamedTuple

from geraniumstair._generated import document as document_models

Preference = Literal["latency", "coverage", "early"]


class ShardKey(NamedTuple):
    """Identifies the replicas of one shard in one region.

    The class is a named tuple, because the hash of a data class is computed in
    Python and each request looks up this key in several tables.

    Attributes:
        service: Qualified name, `subsidiary/service`.
        shard: Name of the shard within the service.
        region: Region of the replicas.
    """

    service: str
    shard: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointSpec:
    """One replica of a shard, as configured."""

    name: str
    address: str
    port: int
    availability_zone: str
    vm: str
    version: str
    slots: int
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Settings of a service that balance latency, coverage and load."""

    preference: Preference
    default_deadline_ms: float
    soft_deadline_ms: float
    least_coverage_pct: float
    priority: int
    queue_limit: int
    hedge_budget_pct: float
    retry_budget_pct: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service with the names of its shards, in the document's order."""

    name: str
    policy: ServicePolicy
    shards: Sequence[str]


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutRule:
    """A rule that moves a service's traffic to another version.

    Attributes:
        name: Name of the rollout.
        service: Qualified name of the service.
        old_version: Version that traffic moves away from.
        new_version: Version that traffic moves to.
        start_s: Start time in s since 1970.
        done_by_s: Time in s since 1970 by which all traffic has moved.
        steps_pct: Increasing shares of traffic for the new version, in per
            cent.
    """

    name: str
    service: str
    old_version: str
    new_version: str
    start_s: float
    done_by_s: float
    steps_pct: Sequence[float]

    @property
    def key(self) -> str:
        """Identifies the rollout in the store and in messages.

        A rule that reuses a name for another service, other versions or
        another start time is a different rollout, to which the final state of
        the first one does not apply. The steps and the done-by time are not
        part of the key, so they can change during the rollout.
        """
        parts = (
            self.service,
            self.old_version,
            self.new_version,
            f"{self.start_s:.3f}",
        )
        digest = hashlib.blake2b("|".join(parts).encode(), digest_size=5)
        return f"{self.name}.{digest.hexdigest()}"


@dataclasses.dataclass(frozen=True, slots=True)
class AvailabilityZoneSpec:
    """An availability zone.

    Attributes:
        name: Name of the availability zone.
        region: Name of its region.
        out: Whether operators have taken it out of service.
    """

    name: str
    region: str
    out: bool


@dataclasses.dataclass(frozen=True)
class Topology:
    """One accepted document, indexed for lookups by name.

    Attributes:
        revision: Revision of the document; greater ones are newer.
        availability_zones: Availability zones by name.
        services: Services by qualified name.
        service_sets: Qualified service names by qualified set name.
        endpoints: Replicas by shard key, in the document's order.
        rollouts: Rollout rules by name.
    """

    revision: int
    availability_zones: Mapping[str, AvailabilityZoneSpec]
    services: Mapping[str, ServiceSpec]
    service_sets: Mapping[str, Sequence[str]]
    endpoints: Mapping[ShardKey, Sequence[EndpointSpec]]
    rollouts: Mapping[str, RolloutRule]

    def is_availability_zone_out(self, availability_zone: str) -> bool:
        """Returns whether operators have taken the zone out of service."""
        spec = self.availability_zones.get(availability_zone)
        return spec is not None and spec.out

    def find_shard_key(
        self, service: str, shard: str, home_region: str
    ) -> ShardKey | None:
        """Returns the shard's key in the home region, or in another region.

        Args:
            service: Qualified service name.
            shard: Name of the shard.
            home_region: Region to prefer.

        Returns:
            The key, or None if no region has replicas of the shard.
        """
        regions = sorted({z.region for z in self.availability_zones.values()})
        regions.sort(key=lambda region: region != home_region)
        for region in regions:
            key = ShardKey(service, shard, region)
            if key in self.endpoints:
                return key
        return None


def _build_endpoint_spec(endpoint: document_models.Endpoint) -> EndpointSpec:
    return EndpointSpec(
        name=endpoint.name,
        address=endpoint.address,
        port=endpoint.port,
        availability_zone=endpoint.availability_zone,
        vm=endpoint.vm,
        version=endpoint.version,
        slots=endpoint.slots,
        connections=endpoint.connections,
    )


def _build_service_spec(
    name: str, service: document_models.Service
) -> ServiceSpec:
    policy = ServicePolicy(
        preference=service.preference,
        default_deadline_ms=service.default_deadline_ms,
        soft_deadline_ms=service.soft_deadline_ms,
        least_coverage_pct=service.least_coverage_pct,
        priority=service.priority,
        queue_limit=service.queue_limit,
        hedge_budget_pct=service.hedge_budget_pct,
        retry_budget_pct=service.retry_budget_pct,
    )
    shards = tuple(shard.name for shard in service.shards)
    return ServiceSpec(name=name, policy=policy, shards=shards)


def _to_timestamp_s(time_utc: datetime.datetime) -> float:
    return time_utc.timestamp()


def _build_rollout_rule(rollout: document_models.Rollout) -> RolloutRule:
    return RolloutRule(
        name=rollout.name,
        service=f"{rollout.subsidiary}/{rollout.service}",
        old_version=rollout.old_version,
        new_version=rollout.new_version,
        start_s=_to_timestamp_s(rollout.start_utc),
        done_by_s=_to_timestamp_s(rollout.done_by_utc),
        steps_pct=tuple(rollout.steps_pct),
    )


def _index_shard(
    endpoints: dict[ShardKey, list[EndpointSpec]],
    zone_regions: Mapping[str, str],
    service: str,
    shard: document_models.Shard,
) -> None:
    for endpoint in shard.endpoints:
        region = zone_regions[endpoint.availability_zone]
        key = ShardKey(service, shard.name, region)
        endpoints.setdefault(key, []).append(_build_endpoint_spec(endpoint))


def build_topology(
    document: document_models.Document, revision: int
) -> Topology:
    """Indexes a validated document.

    Args:
        document: A document without unresolved references.
        revision: Revision of the document.

    Returns:
        The topology.
    """
    availability_zones = {
        z.name: AvailabilityZoneSpec(z.name, z.region, z.state == "out")
        for z in document.availability_zones
    }
    zone_regions = {z.name: z.region for z in availability_zones.values()}
    services: dict[str, ServiceSpec] = {}
    service_sets: dict[str, Sequence[str]] = {}
    endpoints: dict[ShardKey, list[EndpointSpec]] = {}
    for subsidiary in document.subsidiaries:
        for service in subsidiary.services:
            name = f"{subsidiary.name}/{service.name}"
            services[name] = _build_service_spec(name, service)
            for shard in service.shards:
                _index_shard(endpoints, zone_regions, name, shard)
        for service_set in subsidiary.service_sets:
            set_name = f"{subsidiary.name}/{service_set.name}"
            service_sets[set_name] = tuple(
                f"{subsidiary.name}/{member}" for member in service_set.services
            )
    return Topology(
        revision=revision,
        availability_zones=types.MappingProxyType(availability_zones),
        services=types.MappingProxyType(services),
        service_sets=types.MappingProxyType(service_sets),
        endpoints=types.MappingProxyType(
            {key: tuple(specs) for key, specs in endpoints.items()}
        ),
        rollouts=types.MappingProxyType(
            {r.name: _build_rollout_rule(r) for r in document.rollouts}
        ),
    )
