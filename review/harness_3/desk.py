"""A desk's service: two backends with two slots and 26 connections each.

As the sheets of the small deployments have it, with one route to it.
"""

from typing import Any

from review.harness_3 import backend as backend_lib
from review.harness_3 import case
from review.harness_3 import client as client_lib

SERVICE = "kafi81c"
PATH = "/timi402/2f"
LOOKUP_LIMIT_MS = 6000
_MEAN_WORK_S = 0.16
# Doses of a site file for backends that hang on a share of their requests.
HANG_SHARE = 0.5
HANG_FOR_S = 6.9


def write_config(
    site: case.Site,
    version: int,
    *,
    idempotent: bool,
    limit_ms: int,
    goal_ms: int,
    limits: dict[str, int] | None = None,
    warmup_per_s: float = 0.0,
) -> float:
    """Writes a desired state; returns the time of the confirmation."""
    route: dict[str, Any] = {
        "Name": "r-s4qmv29",
        "Host": client_lib.HOST,
        "Prefix": "/timi402/",
        "RouteType": "idempotent" if idempotent else "non_idempotent",
        "TimeoutMs": limit_ms,
        "LatencyGoalMs": goal_ms,
        "Priority": 2,
        "Service": SERVICE,
        "MaxAttempts": 2,
    }
    service = {
        "Name": SERVICE,
        "HealthPath": "/health",
        "MaxConns": 26,
        "Protocol": "h1",
        "Tls": False,
        "WarmupS": 3.0,
        "WarmupPerS": warmup_per_s,
    }
    return site.store.put(
        "op/config",
        {
            "Version": version,
            "Routes": [route],
            "Services": [service],
            "Limits": limits or case.LIMITS,
        },
    )


class HangingDesk:
    """Backends for lookups that may run once, some of which hang.

    Args:
        site: The site.
        limit_ms: Time limit of the lookups.

    Attributes:
        hanging: Whether the backends hang on a share of their requests.
    """

    def __init__(
        self, site: case.Site, limit_ms: int = LOOKUP_LIMIT_MS
    ) -> None:
        self.hanging = False
        self._site = site
        write_config(site, 7, idempotent=False, limit_ms=limit_ms, goal_ms=600)

    async def add_backend(self, name: str, zone: str) -> backend_lib.Backend:
        """Starts a backend."""
        backend = backend_lib.Backend(
            self._site.store, name, SERVICE, zone, self._behave
        )
        await backend.start()
        return backend

    def _behave(
        self, backend: backend_lib.Backend, attempt: str
    ) -> backend_lib.Answer:
        rng = self._site.rng
        work_s = rng.lognormvariate(-0.12, 0.5) * _MEAN_WORK_S
        hangs = self.hanging and rng.random() < HANG_SHARE
        return backend_lib.Answer(work_s, hangs=hangs)


def judge_late(
    site: case.Site, backend: backend_lib.Backend, due_s: float
) -> bool:
    """Notes all arrivals; returns whether some came after `due_s`."""
    late = [a for a in backend.arrivals if a.at_s > due_s]
    for arrival in backend.arrivals:
        site.note(
            f"{arrival.attempt} arrives at {backend.backend_id}"
            + (", LATE" if arrival.at_s > due_s else "")
            + f"; ran: {arrival.ran}",
            arrival.at_s,
        )
    site.note(
        f"{len(late)} requests reached {backend.backend_id} too late; "
        f"{sum(a.ran for a in late)} of them ran"
    )
    return bool(late)
