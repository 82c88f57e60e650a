"""Tells whether the endpoints of a service can answer calls at present."""

from collections.abc import Collection
from collections.abc import Sequence

import trio

from geraniumstair import discovery
from geraniumstair.forward import _choice
from geraniumstair.forward import _health
from geraniumstair.forward import _limits
from geraniumstair.forward import _replica


class Availability:
    """Judges the endpoints of a service that this node uses.

    Args:
        chooser: Knows which endpoints may get calls.
        limits: Limits of request rates.
    """

    def __init__(
        self,
        chooser: _choice.EndpointChooser,
        limits: _limits.EndpointLimits,
    ) -> None:
        self._chooser = chooser
        self._limits = limits

    def is_at_stated_limit(self, replicas: Sequence[_replica.Replica]) -> bool:
        """Returns whether only limits that endpoints state prevent a call."""
        now_s = trio.current_time()
        limited = False
        for replica in replicas:
            if self._chooser.compute_unlimited_cost(replica, now_s) is None:
                continue
            limit = self._limits.find_stated(replica, now_s)
            if limit is None or limit.has_token(now_s):
                return False
            limited = True
        return limited

    def find_limited(
        self, replicas: Sequence[_replica.Replica]
    ) -> list[tuple[_replica.Replica, Collection[str]]]:
        """Returns the healthy endpoints that state a limit.

        Returns:
            Each endpoint with the nodes that have a full part of its limit.
        """
        now_s = trio.current_time()
        found: list[tuple[_replica.Replica, Collection[str]]] = []
        for replica in replicas:
            is_healthy = self._chooser.is_healthy(replica, now_s)
            limit_per_s = replica.rate_limit_per_s
            if is_healthy and limit_per_s is not None:
                full = self._limits.list_full_nodes(replica, limit_per_s)
                found.append((replica, full))
        return found

    def healthy_zones(
        self, replicas: Sequence[_replica.Replica]
    ) -> frozenset[str]:
        """Returns the availability zones with a healthy endpoint."""
        now_s = trio.current_time()
        return frozenset(
            r.entry.availability_zone
            for r in replicas
            if self._chooser.is_healthy(r, now_s)
        )

    def has_usable_endpoint(self, replicas: Sequence[_replica.Replica]) -> bool:
        """Returns whether some endpoint may get calls."""
        return any(
            r.accepts_calls
            and r.entry.availability_zone not in self._chooser.zones_out
            for r in replicas
        )

    def is_known_down(self, replicas: Sequence[_replica.Replica]) -> bool:
        """Returns whether no endpoint can answer a call now.

        Returns False if a probe is due: none of the endpoints that are down was
        called within `PROBE_INTERVAL_S`.
        """
        now_s = trio.current_time()
        accepting = [r for r in replicas if r.accepts_calls]
        awake = [r for r in accepting if not r.wishes.is_paused(now_s)]
        if not awake:
            return bool(accepting)
        down = [r for r in awake if r.health.is_down(now_s)]
        if not down:
            return False
        for replica in awake:
            if (
                replica not in down
                and self._chooser.compute_unlimited_cost(replica, now_s)
                is not None
            ):
                return False
        last_call_age_s = min(r.since_last_call_s(now_s) for r in down)
        return last_call_age_s < _health.PROBE_INTERVAL_S

    def retry_after_s(
        self, replicas: Sequence[_replica.Replica]
    ) -> float | None:
        """Returns the time until an endpoint may answer; None if unknown."""
        now_s = trio.current_time()
        waits = [
            self._compute_wait_s(r, now_s)
            for r in replicas
            if r.entry.state is discovery.EndpointState.READY
            and r.accepts_calls
        ]
        return min(waits) if waits else None

    def _compute_wait_s(self, replica: _replica.Replica, now_s: float) -> float:
        wait_s = replica.retry_in_s(now_s)
        limit = self._limits.find_stated(replica, now_s)
        return wait_s if limit is None else max(wait_s, limit.wait_s(now_s))
