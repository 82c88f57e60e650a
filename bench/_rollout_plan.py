"""Services of the benchmark `rollout` and the faults of new versions."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Any

import devsite
from geraniumstair._generated import document as document_models

OLD_VERSION = "v1"
NEW_VERSION = "v2"
STEPS_PCT = (5, 25, 50, 100)
ROUTES = ("search", "history")
GROUP = "search"
REPLICAS = 4
_MEAN_SERVICE_MS = 10.0
_SLOWDOWN_FACTOR = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One service and its rollout.

    Attributes:
        name: Name of the rollout; describes the new version.
        fault: Fields of a `VersionFault`; None for a good version.
        fault_start_fraction: Fraction of the rollout's duration, 0 to 1,
            after which the fault begins; at 0, it begins before the rollout.
        slowdown_start_fraction: Fraction of the rollout's duration after
            which both versions get slower; None if they never do.
        cold: The new version's endpoints are cold when the rollout starts.
        new_replicas: Number of endpoints of the new version.
    """

    name: str
    fault: Mapping[str, Any] | None = None
    fault_start_fraction: float = 0.0
    slowdown_start_fraction: float | None = None
    cold: bool = False
    new_replicas: int = REPLICAS // 2


def _failing(share_pct: float, **fields: Any) -> dict[str, Any]:
    return {"kind": "fail", "share_pct": share_pct, **fields}


def _slow(factor: float, **fields: Any) -> dict[str, Any]:
    return {"kind": "slow", "factor": factor, **fields}


PLANS: Sequence[Plan] = (
    Plan("fails-at-once", _failing(100)),
    Plan("fails-half-at-once", _failing(50)),
    Plan("slow-at-once", _slow(5)),
    Plan("fails-later", _failing(60), fault_start_fraction=0.4),
    Plan("slow-later", _slow(4), fault_start_fraction=0.4),
    Plan("fails-under-load", _failing(80, least_in_flight=2), new_replicas=1),
    Plan("slow-under-load", _slow(6, least_in_flight=2), new_replicas=1),
    Plan("fails-on-one-route", _failing(100, route="history")),
    Plan("slow-on-one-route", _slow(5, route="history")),
    Plan("good-steady"),
    Plan("good-under-slowdown", slowdown_start_fraction=0.35),
    Plan("good-with-cold-endpoints", cold=True, new_replicas=1),
    Plan("good-plain"),
)


def set_versions(site: devsite.Site) -> None:
    """Assigns the new version to the last endpoints of each service.

    Args:
        site: A site that is not started yet.
    """
    services = site.document.subsidiaries[0].services
    for index, service in enumerate(services):
        new_names = new_endpoints(index)
        for spec in service.shards[0].endpoints:
            if spec.name in new_names:
                spec.version = NEW_VERSION
                site.endpoint_fleet.endpoints[spec.name].version = NEW_VERSION


def service_name(index: int) -> str:
    """Returns the name of the service of the plan with this index."""
    return f"{GROUP}-{index}"


def new_endpoints(index: int) -> list[str]:
    """Returns the names of the new version's endpoints of a plan."""
    return all_endpoints(index)[-PLANS[index].new_replicas :]


def all_endpoints(index: int) -> list[str]:
    """Returns the names of all endpoints of a plan's service."""
    return [f"{service_name(index)}-p0-e{n}" for n in range(REPLICAS)]


def build_rollouts(
    subsidiary: str, start_utc: str, done_by_utc: str
) -> list[document_models.Rollout]:
    """Returns the rollouts of all plans for the operators' document."""
    return [
        document_models.Rollout.model_validate(
            {
                "name": plan.name,
                "subsidiary": subsidiary,
                "service": service_name(index),
                "old_version": OLD_VERSION,
                "new_version": NEW_VERSION,
                "start_utc": start_utc,
                "done_by_utc": done_by_utc,
                "steps_pct": list(STEPS_PCT),
            }
        )
        for index, plan in enumerate(PLANS)
    ]


async def begin_fault(site: devsite.Site, index: int) -> None:
    """Activates the fault of the new version of a plan's service."""
    await site.endpoint_fleet.control(
        "configure",
        new_endpoints(index),
        settings={"faults": [dict(PLANS[index].fault or {})]},
    )


async def begin_slowdown(site: devsite.Site, index: int) -> None:
    """Increases the service time of all endpoints of a plan's service."""
    await site.endpoint_fleet.control(
        "configure",
        all_endpoints(index),
        settings={"mean_service_ms": _MEAN_SERVICE_MS * _SLOWDOWN_FACTOR},
    )
