"""Choice of the endpoint for the next request."""

from collections.abc import Collection
from collections.abc import Sequence
import dataclasses

from geraniumstair import verdict
from geraniumstair.dispatch import _endpoint


@dataclasses.dataclass(slots=True)
class Needs:
    """What a request needs from an endpoint.

    Attributes:
        availability_zone: The node's own, preferred.
        snapshot: Endpoints known to lack it are the last choice.
        warm_only: Set under limited authority and for hedges.
        prefer_cold: Favours cold endpoints, so that they warm up.
        refused: Endpoints that must not be asked again.
        tried: Endpoints that are asked again only if no other is free.
        gate: Limits the share of a new version; None if no rollout runs.
    """

    availability_zone: str
    snapshot: int
    warm_only: bool
    prefer_cold: bool
    refused: Collection[_endpoint.Endpoint]
    tried: Collection[_endpoint.Endpoint]
    gate: verdict.VersionGate | None


def choose(
    endpoints: Sequence[_endpoint.Endpoint], needs: Needs, now_s: float
) -> _endpoint.Endpoint | None:
    """Returns the best endpoint with a free slot, or None.

    Only free endpoints compete, so the preference for the own availability
    zone ends as soon as its endpoints are full. An endpoint on a VM that is
    listed as leaving serves only if no other endpoint can, now or after a
    wait for a slot: the list may be wrong.
    """
    spare_leaving = any(
        _serves(endpoint, needs, now_s) and not endpoint.on_leaving_vm
        for endpoint in endpoints
    )
    best = None
    best_rank: tuple[bool, bool, bool, bool, bool, float] | None = None
    for endpoint in endpoints:
        if not endpoint.has_slot(now_s):
            continue
        if not _serves(endpoint, needs, now_s):
            continue
        if spare_leaving and endpoint.on_leaving_vm:
            continue
        version_rank = False
        if needs.gate is not None:
            version_rank = not needs.gate.is_new(endpoint.spec.version)
        snapshots = endpoint.snapshots
        rank = (
            endpoint in needs.tried,
            snapshots is not None and needs.snapshot not in snapshots,
            version_rank,
            needs.prefer_cold and endpoint.ramp.warm,
            endpoint.spec.availability_zone != needs.availability_zone,
            endpoint.in_flight / endpoint.ramp.limit,
        )
        if best_rank is None or rank < best_rank:
            best = endpoint
            best_rank = rank
    return best


def _serves(endpoint: _endpoint.Endpoint, needs: Needs, now_s: float) -> bool:
    """Tells whether it may take the request, now or when a slot is free."""
    if not endpoint.prospective() or endpoint in needs.refused:
        return False
    if endpoint.health.ejected_until_s > now_s:
        return False
    if needs.warm_only and not endpoint.is_warm(now_s):
        return False
    return needs.gate is None or needs.gate.allows(endpoint.spec.version)
