"""Plans of searches: the shards to query and the combined policy."""

from collections.abc import Sequence
import dataclasses

import result

from geraniumstair import configuration
from geraniumstair import errors
from geraniumstair._generated import codes
from geraniumstair.search import _request

# A search of several services uses the preference that waits longest, so that
# no service gets less coverage than its policy asks for.
_PREFERENCES_LONGEST_WAIT_FIRST: Sequence[configuration.Preference] = (
    "coverage",
    "latency",
    "early",
)


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedShard:
    """One shard of a search.

    Attributes:
        name: Qualified name, `subsidiary/service/shard`.
        key: Key of the replicas, or None if no region has replicas.
        priority: Priority of the shard's service.
    """

    name: str
    key: configuration.ShardKey | None
    priority: int


@dataclasses.dataclass(frozen=True)
class Plan:
    """The shards and the combined policy of one search, from one topology.

    Attributes:
        revision: Revision of the topology.
        request: The validated request.
        shards: The shards to query.
        preference: Preference between latency and coverage.
        deadline_ms: Time for the whole search.
        soft_deadline_ms: Time after which the preference `latency` waits for
            no more than the least coverage.
        least_coverage_pct: A partial answer with less mean coverage gets the
            result code COVERAGE_TOO_LOW.
    """

    revision: int
    request: _request.SearchRequest
    shards: Sequence[PlannedShard]
    preference: configuration.Preference
    deadline_ms: float
    soft_deadline_ms: float
    least_coverage_pct: float


def _resolve_service_names(
    topology: configuration.Topology, request: _request.SearchRequest
) -> result.Result[Sequence[str], errors.Refusal]:
    prefix = f"{request.subsidiary}/"
    names: Sequence[str] | None
    if request.service_set is not None:
        names = topology.service_sets.get(prefix + request.service_set)
    else:
        names = [prefix + name for name in request.services]
    if names and all(name in topology.services for name in names):
        return result.Ok(tuple(dict.fromkeys(names)))
    if not any(name.startswith(prefix) for name in topology.services):
        return result.Err(
            errors.Refusal(
                codes.Code.UNKNOWN_SUBSIDIARY, "The subsidiary does not exist."
            )
        )
    return result.Err(
        errors.Refusal(
            codes.Code.UNKNOWN_SERVICE,
            "The service or service set does not exist.",
        )
    )


def build_plan(
    topology: configuration.Topology,
    request: _request.SearchRequest,
    region: str,
) -> result.Result[Plan, errors.Refusal]:
    """Resolves a request to the shards of its services.

    Args:
        topology: The configuration in force.
        request: The validated request.
        region: Region of this node, preferred for the replicas.

    Returns:
        The plan, or a refusal with UNKNOWN_SUBSIDIARY, UNKNOWN_SERVICE,
        NOT_REPEATABLE_SCOPE or MISSING_IDEMPOTENCY_KEY.
    """
    resolved = _resolve_service_names(topology, request)
    if isinstance(resolved, result.Err):
        return resolved
    services = [topology.services[name] for name in resolved.ok_value]
    shards = [
        PlannedShard(
            name=f"{service.name}/{shard}",
            key=topology.find_shard_key(service.name, shard, region),
            priority=service.policy.priority,
        )
        for service in services
        for shard in service.shards
    ]
    refusal = _check_repeatable(request, len(shards))
    if refusal is not None:
        return result.Err(refusal)
    return result.Ok(
        _combine_policies(topology.revision, request, services, shards)
    )


def _check_repeatable(
    request: _request.SearchRequest, shard_count: int
) -> errors.Refusal | None:
    if request.repeatable:
        return None
    if shard_count != 1:
        return errors.Refusal(
            codes.Code.NOT_REPEATABLE_SCOPE,
            "A request with repeatable=false must name one service "
            "with one shard.",
        )
    if not request.idempotency_key:
        return errors.Refusal(
            codes.Code.MISSING_IDEMPOTENCY_KEY,
            "A request with repeatable=false needs an idempotency key.",
        )
    return None


def _combine_policies(
    revision: int,
    request: _request.SearchRequest,
    services: Sequence[configuration.ServiceSpec],
    shards: Sequence[PlannedShard],
) -> Plan:
    policies = [service.policy for service in services]
    preferences = {policy.preference for policy in policies}
    preference = next(
        p for p in _PREFERENCES_LONGEST_WAIT_FIRST if p in preferences
    )
    deadline_ms = request.deadline_ms
    if deadline_ms is None:
        deadline_ms = max(policy.default_deadline_ms for policy in policies)
    least_coverage_pct = request.least_coverage_pct
    if least_coverage_pct is None:
        least_coverage_pct = max(p.least_coverage_pct for p in policies)
    return Plan(
        revision=revision,
        request=request,
        shards=tuple(shards),
        preference=preference,
        deadline_ms=deadline_ms,
        soft_deadline_ms=max(policy.soft_deadline_ms for policy in policies),
        least_coverage_pct=least_coverage_pct,
    )
