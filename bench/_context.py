"""Options, site, capacity and load shared by the benchmarks."""

from collections.abc import Mapping
import dataclasses
import pathlib
from typing import Any

from bench import _senders
import devsite
from geraniumstair._generated import document as document_models

# Mean service time, relative to that without stragglers, if 1% of requests
# are stragglers that take ten times as long.
STRAGGLER_MEAN_FACTOR = 1.09
# Each generator process polls the readiness of all nodes; at the default
# interval, the polls would cost the nodes more than the searches do. A load
# balancer polls each node about once a second. Benchmarks in which nodes stop
# need the short default interval.
SLOW_READY_POLL_S = 3.0


@dataclasses.dataclass(frozen=True)
class BenchOptions:
    """Options of a benchmark.

    Attributes:
        seed: Seed of schedules, random choices and stand-ins.
        quick: Limit the run to 40 s.
        workers: Generator processes.
        endpoint_processes: Processes that share the endpoint stand-ins, in
            benchmarks with many endpoint requests per second.
        profile_directory: Where the nodes write their profiles; None for no
            profiles.
        routing: Value of the nodes' setting `shard_routing`.
        slot_use_pct: The only slot use in % that `cost` and `tail` measure;
            None for the slot uses that have targets.
        duration_s: Length of each load in `tail`; None for the default.
        mean_service_ms: Mean service time of the endpoints in `tail`.
    """

    seed: int = 1
    quick: bool = False
    workers: int = 3
    endpoint_processes: int = 6
    profile_directory: pathlib.Path | None = None
    routing: str = "owner"
    slot_use_pct: float | None = None
    mean_service_ms: float = 10.0
    duration_s: float | None = None


BenchResult = Mapping[str, Any]


def shard_targets(
    document: document_models.Document, service_set: str
) -> list[_senders.ShardTarget]:
    """Returns the shards of a service set of the first subsidiary."""
    subsidiary = document.subsidiaries[0]
    sets = {s.name: s.services for s in subsidiary.service_sets}
    targets = []
    for service in subsidiary.services:
        if service.name not in sets.get(service_set, [service_set]):
            continue
        for shard in service.shards:
            targets.append(
                _senders.ShardTarget(
                    name=f"{subsidiary.name}/{service.name}/{shard.name}",
                    ports=[endpoint.port for endpoint in shard.endpoints],
                    connections=shard.endpoints[0].connections,
                )
            )
    return targets


def search_capacity_per_s(
    group: devsite.ServiceGroup, mean_service_ms: float
) -> float:
    """Returns the searches per second that use all slots of each shard."""
    slots = group.replicas * group.slots
    return slots * 1000 / (mean_service_ms * STRAGGLER_MEAN_FACTOR)


def build_load(
    site: devsite.Site,
    options: BenchOptions,
    *,
    rate_per_s: float,
    duration_s: float,
    mode: str = "nodes",
    deadline_ms: float = 1000.0,
    ready_poll_s: float = _senders.READY_POLL_S,
) -> _senders.LoadSpec:
    """Returns a load on the first service set of a site's document."""
    subsidiary = site.document.subsidiaries[0]
    service_set = subsidiary.service_sets[0].name
    return _senders.LoadSpec(
        mode=mode,
        caller_ports=[site.caller_port(node_id) for node_id in site.node_ids],
        subsidiary=subsidiary.name,
        service_set=service_set,
        shards=shard_targets(site.document, service_set),
        rate_per_s=rate_per_s,
        duration_s=duration_s,
        deadline_ms=deadline_ms,
        ready_poll_s=ready_poll_s,
        seed=options.seed,
        workers=options.workers,
    )


def build_site(
    options: BenchOptions,
    size: devsite.SiteSize,
    *,
    node_count: int = 7,
    endpoint_processes: int = 2,
    endpoint_settings: Mapping[str, Any] | None = None,
    node_settings: Mapping[str, Any] | None = None,
) -> devsite.Site:
    """Returns a site that is not started yet, by default of 7 nodes."""
    return devsite.Site(
        devsite.SiteOptions(
            size=size,
            node_count=node_count,
            endpoint_processes=endpoint_processes,
            seed=options.seed,
            endpoint_settings=endpoint_settings or {},
            node_settings={
                "shard_routing": options.routing,
                **(node_settings or {}),
            },
            profile_directory=options.profile_directory,
        )
    )


def search_size(services: int, preference: str = "latency") -> devsite.SiteSize:
    """Returns the size of a site with one service set."""
    group = devsite.ServiceGroup(
        "search", services=services, preference=preference
    )
    return devsite.SiteSize("association", "osrednja", (group,))
