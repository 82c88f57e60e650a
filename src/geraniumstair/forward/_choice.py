"""Chooses the endpoint of a service for each call, by rank and cost."""

from collections.abc import Collection
from collections.abc import Iterable
import random

import trio

from geraniumstair import canary
from geraniumstair import discovery
from geraniumstair.forward import _limits
from geraniumstair.forward import _pacing
from geraniumstair.forward import _pool_settings
from geraniumstair.forward import _replica

# Time that is added to the cost of an endpoint whose calls all fail.
FAILURE_COST_MS = 300.0
# Ranks of endpoints; the lowest comes first.
NEW_VERSION_RANK = -1
HEALTHY_RANK = _pacing.HEALTHY_RANK
STALLED_RANK = 1
AVOIDED_RANK = 2
DOWN_RANK = 3
# Above all ranks.
_WORST_COST = (9, 0.0)


class EndpointChooser:
    """Compares the endpoints of a service.

    Args:
        settings: Identity and location of this node.
        limits: Limits of request rates.
        pacing: The paces of endpoints that start or return.
        versions: Shares of versions during rollouts.
        rng: Breaks ties.

    Attributes:
        zones_out: Availability zones whose endpoints get no calls.
    """

    def __init__(
        self,
        settings: _pool_settings.PoolSettings,
        limits: _limits.EndpointLimits,
        pacing: _pacing.Pacing,
        versions: canary.VersionTracker,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._limits = limits
        self._pacing = pacing
        self._versions = versions
        self._rng = rng
        self.zones_out: frozenset[str] = frozenset()

    def choose(
        self,
        replicas: Iterable[_replica.Replica],
        tried: Collection[str],
        *,
        only_healthy: bool = False,
    ) -> _replica.Replica | None:
        """Returns the endpoint with the lowest cost; None if there is none.

        The call counts against the limits of the endpoint.

        Args:
            replicas: Endpoints of the service that this node uses.
            tried: Ids of endpoints that must not be chosen.
            only_healthy: Returns None if every endpoint is lapsed, avoided,
                down or stalled.
        """
        now_s = trio.current_time()
        candidates: list[_pacing.Candidate] = []
        are_settled = True
        best = None
        best_cost = _WORST_COST
        for replica in replicas:
            if replica.entry.endpoint_id in tried:
                continue
            cost = self._compute_cost(replica, now_s)
            if cost is not None:
                candidates.append((cost, replica))
                are_settled = are_settled and replica.pacing.is_settled
                if cost < best_cost:
                    best, best_cost = replica, cost
        if best is not None and not are_settled:
            best_cost, best = self._pacing.select(
                candidates, (best_cost, best), now_s
            )
        if best is None or (only_healthy and best_cost[0] > HEALTHY_RANK):
            return None
        for limit in self._limits.find_all(best, now_s):
            limit.consume(now_s)
        self.count_version(best)
        return best

    def count_version(self, replica: _replica.Replica) -> None:
        """Counts a call against the share of the endpoint's version."""
        gate = self._versions.find_gate(replica.entry.service)
        if gate is not None:
            gate.count_request(replica.entry.version)

    def _compute_cost(
        self, replica: _replica.Replica, now_s: float
    ) -> tuple[int, float] | None:
        limit = self._limits.find_stated(replica, now_s)
        if limit is not None and not limit.has_token(now_s):
            return None
        return self.compute_unlimited_cost(replica, now_s)

    def is_healthy(self, replica: _replica.Replica, now_s: float) -> bool:
        """Returns whether a healthy endpoint may get calls.

        The limit that it states does not count.
        """
        cost = self.compute_unlimited_cost(replica, now_s)
        return cost is not None and cost[0] <= HEALTHY_RANK

    def compute_unlimited_cost(
        self, replica: _replica.Replica, now_s: float
    ) -> tuple[int, float] | None:
        """Returns the cost regardless of the limit that an endpoint states.

        Returns:
            The rank and the cost in ms; None if the endpoint is unusable. The
            rank of a healthy endpoint is at most `HEALTHY_RANK`.
        """
        entry = replica.entry
        if not replica.accepts_calls or replica.wishes.is_paused(now_s):
            return None
        if entry.availability_zone in self.zones_out:
            return None
        gate = self._versions.find_gate(entry.service)
        if gate is not None and not gate.allows(entry.version):
            return None
        limit = self._limits.find_cold(replica, now_s)
        if limit is not None and not limit.has_token(now_s):
            return None
        health = replica.health
        if health.is_down(now_s) and health.is_avoided(now_s):
            # Endpoints that are down are probed in turn, so that a recovered
            # one is found soon.
            return DOWN_RANK, -replica.since_last_call_s(now_s)
        rank = HEALTHY_RANK
        is_lapsed = entry.state is discovery.EndpointState.LAPSED
        if is_lapsed or health.is_avoided(now_s):
            rank = AVOIDED_RANK
        elif replica.is_stalled(now_s):
            rank = STALLED_RANK
        elif gate is not None and gate.is_new(entry.version):
            # The new version is below its share of requests, and its evaluation
            # needs requests.
            rank = NEW_VERSION_RANK
        return rank, self._estimate_ms(replica, now_s)

    def _estimate_ms(self, replica: _replica.Replica, now_s: float) -> float:
        entry = replica.entry
        load_factor = 1 + replica.load / max(1, entry.slots)
        cost_ms = replica.expected_ms(now_s) * load_factor
        cost_ms += FAILURE_COST_MS * replica.health.failure_share
        if entry.availability_zone != self._settings.availability_zone:
            cost_ms += self._settings.remote_cost_ms
        return cost_ms + self._rng.random()
