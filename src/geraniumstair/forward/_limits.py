"""Limits of this node's request rates to cold and limited endpoints."""

from collections.abc import Collection
from collections.abc import Iterable
import random

from geraniumstair import routing
from geraniumstair.forward import _pool_settings
from geraniumstair.forward import _rates
from geraniumstair.forward import _replica
from geraniumstair.forward import _sharing

# Share of the request rate limit of a cold endpoint that the nodes use.
WARMUP_USED_SHARE = 0.9


class EndpointLimits:
    """This node's parts of the rates that endpoints accept from all nodes.

    Args:
        settings: Identity and location of this node.
        sharing: The nodes that share the rates.
        rng: Chooses when a node without a full part sends a request.
    """

    def __init__(
        self,
        settings: _pool_settings.PoolSettings,
        sharing: _sharing.SharingNodes,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._sharing = sharing
        self._table: routing.RouteTable | None = None
        self._cold: dict[str, _rates.TokenBucket] = {}
        self._stated = _rates.StatedLimits(settings.node_id, sharing.infos, rng)

    def set_route_table(self, table: routing.RouteTable) -> None:
        """Sets the routes, which hold the limits of the services."""
        self._table = table

    def get_service_limits(self, service: str) -> routing.ServiceLimits:
        """Returns the limits that the configuration states for a service."""
        if self._table is None:
            return routing.ServiceLimits()
        return self._table.service_limits(service)

    def apply_nodes(self) -> None:
        """Computes the parts of stated limits for the present nodes."""
        self._stated.set_nodes(self._sharing.infos)

    def find_all(
        self, replica: _replica.Replica, now_s: float
    ) -> Iterable[_rates.RateLimit]:
        """Returns the rate limits that hold for an endpoint."""
        limits = (
            self.find_cold(replica, now_s),
            self.find_stated(replica, now_s),
        )
        return (limit for limit in limits if limit is not None)

    def find_stated(
        self, replica: _replica.Replica, now_s: float
    ) -> _rates.RateLimit | None:
        """Returns the limit that an endpoint states; None if it states none."""
        statement = replica.rate_statement
        return self._stated.find_limit(
            replica.entry,
            statement.limit_per_s,
            statement.limited_since_s,
            now_s,
        )

    def find_cold(
        self, replica: _replica.Replica, now_s: float
    ) -> _rates.TokenBucket | None:
        """Returns the limit of an endpoint that warms up; None without one."""
        if now_s >= replica.cold_until_s:
            return None
        endpoint_id = replica.entry.endpoint_id
        limit = self._cold.get(endpoint_id)
        if limit is None:
            service_limits = self.get_service_limits(replica.entry.service)
            limit_per_s = service_limits.warmup_per_s
            if limit_per_s <= 0:
                return None
            per_s = _rates.compute_cold_rate_per_s(
                self._settings.node_id,
                endpoint_id,
                limit_per_s * WARMUP_USED_SHARE,
                self._sharing.recent,
            )
            limit = _rates.TokenBucket(per_s, now_s, min(1.0, per_s))
            self._cold[endpoint_id] = limit
        return limit

    def list_full_nodes(
        self, replica: _replica.Replica, limit_per_s: float
    ) -> Collection[str]:
        """Returns the nodes that have a full part of a stated limit."""
        return self._stated.divide(replica.entry, limit_per_s).full.keys()

    def forget_unknown(self, known_ids: Collection[str]) -> None:
        """Drops the limits of endpoints that do not exist any more."""
        self._stated.forget_unknown(known_ids)
        for endpoint_id in self._cold.keys() - set(known_ids):
            del self._cold[endpoint_id]
