"""The nodes that share the endpoints' connections, rates and repeats."""

from collections.abc import Mapping
from collections.abc import Sequence

from geraniumstair import routing
from geraniumstair.forward import _delegation_nodes
from geraniumstair.forward import _pool_settings

# Searches of at least this many shards are divided into groups. For fewer
# shards, a node of half a core sends the calls in less time than a hop to
# another node takes.
LARGE_SEARCH_SHARDS = 45
# Number of nodes that call a shard whose search is divided into groups.
GROUPED_SERVICE_NODES = 12
# Share of a grouped service's fixed number of repeats that the nodes calling it
# for others divide among themselves. The rest is for all other nodes: single
# requests reach the service through any node, and so do searches whose groups
# cannot be delegated.
GROUPED_REPEATS_SHARE = 0.5
# A node that is no longer a member still counts for this time, because the
# store may have removed its registration while it serves. Equal to the duration
# of the registration's lease.
MEMBER_RETENTION_S = 30.0


class SharingNodes:
    """Knows the nodes of the site and which of them call a service.

    Args:
        settings: Identity and location of this node.

    Attributes:
        infos: What is known about the nodes, this one included.
        recent: Ids of the nodes, in order. Includes former members for
            `MEMBER_RETENTION_S`.
    """

    def __init__(self, settings: _pool_settings.PoolSettings) -> None:
        self._node_id = settings.node_id
        self.infos: dict[str, _delegation_nodes.NodeInfo] = {
            settings.node_id: _delegation_nodes.NodeInfo(
                settings.availability_zone
            )
        }
        self.recent: Sequence[str] = (settings.node_id,)
        self._current: frozenset[str] = frozenset([settings.node_id])
        self._last_member_at_s: dict[str, float] = {}
        # By zone, the nodes that call grouped services for others.
        self._group_nodes: Mapping[str, Sequence[str]] = {}
        # True if this node is one of them, or none is known yet.
        self._calls_groups = True
        # Weights of the nodes that call a grouped service for others, by the
        # zones of its endpoints and the keys of its blocks. Ranking nodes takes
        # longer than a call, so changes of endpoints must not repeat it.
        self._group_callers: dict[
            tuple[frozenset[str], frozenset[str]], Mapping[str, float]
        ] = {}
        self._grouped_services: frozenset[str] = frozenset()
        self._block_keys: Mapping[str, frozenset[str]] = {}

    def set_route_table(self, table: routing.RouteTable) -> None:
        """Sets the routes, which show the searches divided into groups."""
        searches = [
            route.shards
            for route in table.routes()
            if len(route.shards) >= LARGE_SEARCH_SHARDS
        ]
        self._grouped_services = frozenset(
            service for shards in searches for service in shards
        )
        self._block_keys = _delegation_nodes.find_block_keys(searches)
        self._group_callers.clear()

    def set_members(
        self, nodes: Mapping[str, _delegation_nodes.NodeInfo], now_s: float
    ) -> bool:
        """Sets the present members; returns whether `recent` changed."""
        current = frozenset({*nodes, self._node_id})
        infos = self.infos | {
            # A node whose registration has lapsed stays in its zone.
            n: info
            for n, info in nodes.items()
            if info.availability_zone or n not in self.infos
        }
        if infos != self.infos:
            self._group_callers.clear()
        self.infos = infos
        self._last_member_at_s.update(
            dict.fromkeys(self._current | current, now_s)
        )
        self._current = current
        # A node that restarts stays among them, so a restart of a whole site
        # does not make each node process all endpoints for each other node.
        return self.drop_former(now_s)

    def drop_former(self, now_s: float) -> bool:
        """Drops nodes that went long ago; returns whether `recent` changed."""
        cutoff_s = now_s - MEMBER_RETENTION_S
        self._last_member_at_s = {
            node_id: at_s
            for node_id, at_s in self._last_member_at_s.items()
            if at_s > cutoff_s or node_id in self._current
        }
        recent = sorted(self._current | self._last_member_at_s.keys())
        if recent == self.recent:
            return False
        self.recent = recent
        self.infos = {n: self.infos[n] for n in recent}
        return True

    def set_group_nodes(self, nodes: Mapping[str, Sequence[str]]) -> bool:
        """Sets the nodes that call grouped services for others, by zone.

        Returns:
            Whether this node became one of them, or ceased to be one.
        """
        if nodes == self._group_nodes:
            return False
        self._group_nodes = nodes
        self._group_callers.clear()
        calls_groups = any(
            self._node_id in node_ids for node_ids in nodes.values()
        )
        changed = calls_groups != self._calls_groups
        self._calls_groups = calls_groups
        return changed

    def is_grouped(self, service: str) -> bool:
        """Returns whether a large search calls a service."""
        return service in self._grouped_services

    def calls(self, service: str) -> bool:
        """Returns whether this node calls a service regularly."""
        return not self.is_grouped(service) or self._calls_groups

    def select_ungrouped(self, services: frozenset[str]) -> frozenset[str]:
        """Returns the services that no large search calls."""
        return services - self._grouped_services

    def count_nodes(self, service: str) -> int:
        """Returns the number of nodes that call a service."""
        if self.is_grouped(service):
            return min(GROUPED_SERVICE_NODES, len(self.recent))
        return len(self.recent)

    def compute_repeat_share(
        self, service: str, zones: frozenset[str]
    ) -> float:
        """Returns this node's share of a service's fixed number of repeats.

        The shares of all nodes add up to 1 at most.

        Args:
            service: The service.
            zones: Availability zones of its endpoints.
        """
        node_count = len(self.recent)
        if not self.is_grouped(service):
            return 1 / node_count
        callers = self._find_group_callers(service, zones)
        other_count = node_count - len(callers)
        if not callers or other_count <= 0:
            return 1 / node_count
        weight = callers.get(self._node_id)
        if weight is not None:
            return GROUPED_REPEATS_SHARE * weight / sum(callers.values())
        return (1 - GROUPED_REPEATS_SHARE) / other_count

    def _find_group_callers(
        self, service: str, zones: frozenset[str]
    ) -> Mapping[str, float]:
        block_keys = self._block_keys.get(service, frozenset())
        callers = self._group_callers.get((zones, block_keys))
        if callers is None:
            callers = _delegation_nodes.weigh_group_callers(
                {z: n for z, n in self._group_nodes.items() if z in zones},
                block_keys,
                self.infos,
            )
            self._group_callers[zones, block_keys] = callers
        return callers
