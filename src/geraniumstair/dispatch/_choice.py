"""Selection of the endpoint for the next request."""

from collections.abc import Collection
from collections.abc import Sequence
import dataclasses

from geraniumstair import canary
from geraniumstair.dispatch import _endpoint


@dataclasses.dataclass(slots=True)
class SelectionCriteria:
    """Constraints and preferences for the endpoint of one request.

    Attributes:
        availability_zone: The node's own availability zone, whose endpoints are
            preferred.
        snapshot: Snapshot to answer from; endpoints known to lack it rank
            below the others.
        warm_only: Whether cold endpoints are ineligible, as they are under
            limited authority and for hedges.
        prefer_cold: Whether cold endpoints are preferred, so that they warm
            up.
        ineligible: Endpoints that must not get the request.
        tried: Endpoints that got the request before; they get it again only
            if no other endpoint has a free slot.
        gate: Limits the share of a new version; None if no version gate
            applies.
    """

    availability_zone: str
    snapshot: int
    warm_only: bool
    prefer_cold: bool
    ineligible: Collection[_endpoint.Endpoint]
    tried: Collection[_endpoint.Endpoint]
    gate: canary.VersionGate | None


def select_endpoint(
    endpoints: Sequence[_endpoint.Endpoint],
    criteria: SelectionCriteria,
    now_s: float,
) -> _endpoint.Endpoint | None:
    """Returns the best endpoint with a free slot, or None.

    Only endpoints with a free slot are compared, so requests leave the node's
    availability zone as soon as its endpoints are full. An endpoint on a VM
    that is listed as leaving is selected only if no other endpoint is eligible;
    if another one is eligible but has no free slot, the request waits for it.
    Endpoints on leaving VMs are not ruled out, because the list may be wrong.
    """
    avoid_leaving = any(
        _is_eligible(endpoint, criteria, now_s) and not endpoint.on_leaving_vm
        for endpoint in endpoints
    )
    best = None
    best_rank: tuple[bool, bool, bool, bool, bool, float] | None = None
    for endpoint in endpoints:
        if not endpoint.has_free_slot(now_s):
            continue
        if not _is_eligible(endpoint, criteria, now_s):
            continue
        if avoid_leaving and endpoint.on_leaving_vm:
            continue
        is_old_version = False
        if criteria.gate is not None:
            is_old_version = not criteria.gate.is_new(endpoint.spec.version)
        snapshots = endpoint.snapshots
        rank = (
            endpoint in criteria.tried,
            snapshots is not None and criteria.snapshot not in snapshots,
            is_old_version,
            criteria.prefer_cold and endpoint.ramp.warm,
            endpoint.spec.availability_zone != criteria.availability_zone,
            endpoint.in_flight / endpoint.ramp.limit,
        )
        if best_rank is None or rank < best_rank:
            best = endpoint
            best_rank = rank
    return best


def _is_eligible(
    endpoint: _endpoint.Endpoint, criteria: SelectionCriteria, now_s: float
) -> bool:
    """Returns whether the endpoint may get the request once a slot is free."""
    if not endpoint.is_usable() or endpoint in criteria.ineligible:
        return False
    if endpoint.health.ejected_until_s > now_s:
        return False
    if criteria.warm_only and not endpoint.is_warm(now_s):
        return False
    return criteria.gate is None or criteria.gate.allows(endpoint.spec.version)
